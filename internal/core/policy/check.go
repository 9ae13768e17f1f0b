package policy

import (
	"fmt"
	"strings"
	"time"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

// controlConnections is the number of a server's connections for the polls of two leaders and the probes of witnesses.
const controlConnections = 6

// Limits of a route's durations.
const (
	maxTimeout = time.Hour
	maxMaxAge  = 24 * time.Hour
)

// check collects the faults of a manifest that its schema cannot express.
type check struct {
	partner   spool.Partner
	prefix    string
	teams     names
	keys      names
	groups    names
	servers   names
	addresses names
	routes    names
	faults    spool.Faults
}

// names maps each name to the path at which it stands first.
type names map[string]string

func newCheck(partner spool.Partner) *check {
	return &check{
		partner:   partner,
		prefix:    string(partner) + ".",
		teams:     names{},
		keys:      names{},
		groups:    names{},
		servers:   names{},
		addresses: names{},
		routes:    names{},
	}
}

func (check *check) manifest(manifest *spool.Manifest) {
	if manifest.Partner != check.partner {
		check.fault("Partner", "%q is not the partner %q to whom the object belongs", manifest.Partner, check.partner)
	}
	for i, team := range manifest.Teams {
		check.name(check.teams, strict.IndexPath("Teams", i)+".Name", string(team.Name))
	}
	for i, key := range manifest.Keys {
		check.key(strict.IndexPath("Keys", i), key)
	}
	for i, group := range manifest.Groups {
		check.group(strict.IndexPath("Groups", i), group)
	}
	for i, route := range manifest.Routes {
		check.route(strict.IndexPath("Routes", i), route)
	}
}

func (check *check) key(path string, key spool.KeySpec) {
	check.name(check.keys, path+".Name", key.Name)
	check.teamReference(path+".Team", key.Team)
	if _, err := spool.ParseVerifier(key.Verifier); err != nil {
		check.fault(path+".Verifier", "%v", err)
	}
}

func (check *check) group(path string, group spool.GroupSpec) {
	check.name(check.groups, path+".Name", string(group.Name))
	for i, server := range group.Servers {
		check.server(strict.IndexPath(path+".Servers", i), server)
	}
}

func (check *check) server(path string, server spool.ServerSpec) {
	check.name(check.servers, path+".Name", string(server.Name))
	if needed := 2*server.Slots + controlConnections; server.Connections < needed {
		check.fault(path+".Connections", "%d slots need %d connections, so that a new leader gets its own beside those "+
			"of a frozen one", server.Slots, needed)
	}
	address, err := strict.ParsePeerAddress(server.Address)
	if err != nil {
		check.fault(path+".Address", "%v", err)
		return
	}
	check.unique(check.addresses, path+".Address", address.String())
}

func (check *check) route(path string, route spool.RouteSpec) {
	check.name(check.routes, path+".Name", route.Name)
	if _, found := check.groups[string(route.Group)]; !found {
		check.fault(path+".Group", "group %q is not in this manifest", route.Group)
	}
	check.routeTeams(path, route)
	check.prefixes(path+".Reads", route.Reads)
	check.prefixes(path+".Idempotent", route.Idempotent)
	if route.Timeout <= 0 || time.Duration(route.Timeout) > maxTimeout {
		check.fault(path+".Timeout", "timeout is not above 0s and at most %v", maxTimeout)
	}
	if route.MaxAge < 0 || time.Duration(route.MaxAge) > maxMaxAge {
		check.fault(path+".MaxAge", "age is not between 0s and %v", maxMaxAge)
	}
}

func (check *check) routeTeams(path string, route spool.RouteSpec) {
	if len(route.Teams) == 0 {
		reason := "route admits no team"
		if route.Open {
			reason = "open route has no team whose rate its requests count against"
		}
		check.fault(path+".Teams", "%s", reason)
	}
	seen := names{}
	for i, team := range route.Teams {
		teamPath := strict.IndexPath(path+".Teams", i)
		check.teamReference(teamPath, team)
		check.unique(seen, teamPath, string(team))
	}
}

func (check *check) prefixes(path string, prefixes []string) {
	seen := names{}
	for i, prefix := range prefixes {
		prefixPath := strict.IndexPath(path, i)
		if strings.TrimSpace(prefix) == "" {
			check.fault(prefixPath, "statement prefix is blank")
		}
		check.unique(seen, prefixPath, prefix)
	}
}

func (check *check) teamReference(path string, team spool.Team) {
	if _, found := check.teams[string(team)]; found {
		return
	}
	if !strings.HasPrefix(string(team), check.prefix) {
		check.fault(path, "team %q does not belong to partner %q", team, check.partner)
		return
	}
	check.fault(path, "team %q is not in this manifest", team)
}

// name checks that a name has the partner's prefix and is given once.
func (check *check) name(seen names, path, name string) {
	if !strings.HasPrefix(name, check.prefix) || len(name) == len(check.prefix) {
		check.fault(path, "name %q does not begin with %q", name, check.prefix)
	}
	check.unique(seen, path, name)
}

func (check *check) unique(seen names, path, name string) {
	first, found := seen[name]
	if found {
		check.fault(path, "%q is given already at %s", name, first)
		return
	}
	seen[name] = path
}

func (check *check) fault(path, format string, args ...any) {
	check.faults.Add(path, fmt.Sprintf(format, args...))
}
