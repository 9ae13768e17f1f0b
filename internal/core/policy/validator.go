package policy

import (
	"fmt"
	"strings"
	"time"

	"corianderspool.example/spool/internal/strict"
	"corianderspool.example/spool/pkg/spool"
)

// controlConnections is the number of connections that a server must allow, beside those for its slots, for the status
// polls of two leaders and the probes of witnesses.
const controlConnections = 6

// Limits of a route's durations.
const (
	maxTimeout = time.Hour
	maxMaxAge  = 24 * time.Hour
)

// validator checks the rules for a manifest that its schema cannot express and collects the faults.
type validator struct {
	partner   spool.Partner
	prefix    string
	teams     namePaths
	keys      namePaths
	groups    namePaths
	servers   namePaths
	addresses namePaths
	routes    namePaths
	faults    spool.Faults
}

// namePaths maps each name to the path of its first occurrence.
type namePaths map[string]string

func newValidator(partner spool.Partner) *validator {
	return &validator{
		partner:   partner,
		prefix:    string(partner) + ".",
		teams:     namePaths{},
		keys:      namePaths{},
		groups:    namePaths{},
		servers:   namePaths{},
		addresses: namePaths{},
		routes:    namePaths{},
	}
}

func (validator *validator) checkManifest(manifest *spool.Manifest) {
	if manifest.Partner != validator.partner {
		validator.addFault("Partner", "%q is not the partner %q to whom the object belongs",
			manifest.Partner, validator.partner)
	}
	for i, team := range manifest.Teams {
		validator.checkName(validator.teams, strict.IndexPath("Teams", i)+".Name", string(team.Name))
	}
	for i, key := range manifest.Keys {
		validator.checkKey(strict.IndexPath("Keys", i), key)
	}
	for i, group := range manifest.Groups {
		validator.checkGroup(strict.IndexPath("Groups", i), group)
	}
	for i, route := range manifest.Routes {
		validator.checkRoute(strict.IndexPath("Routes", i), route)
	}
}

func (validator *validator) checkKey(path string, key spool.KeySpec) {
	validator.checkName(validator.keys, path+".Name", key.Name)
	validator.checkTeamReference(path+".Team", key.Team)
	if _, err := spool.ParseVerifier(key.Verifier); err != nil {
		validator.addFault(path+".Verifier", "%v", err)
	}
}

func (validator *validator) checkGroup(path string, group spool.GroupSpec) {
	validator.checkName(validator.groups, path+".Name", string(group.Name))
	for i, server := range group.Servers {
		validator.checkServer(strict.IndexPath(path+".Servers", i), server)
	}
}

func (validator *validator) checkServer(path string, server spool.ServerSpec) {
	validator.checkName(validator.servers, path+".Name", string(server.Name))
	if needed := 2*server.Slots + controlConnections; server.Connections < needed {
		validator.addFault(path+".Connections", "%d slots need %d connections, so that a new leader gets its own beside "+
			"those of a frozen one", server.Slots, needed)
	}
	address, err := strict.ParsePeerAddress(server.Address)
	if err != nil {
		validator.addFault(path+".Address", "%v", err)
		return
	}
	validator.checkUnique(validator.addresses, path+".Address", address.String())
}

func (validator *validator) checkRoute(path string, route spool.RouteSpec) {
	validator.checkName(validator.routes, path+".Name", route.Name)
	if _, found := validator.groups[string(route.Group)]; !found {
		validator.addFault(path+".Group", "group %q is not in this manifest", route.Group)
	}
	validator.checkRouteTeams(path, route)
	validator.checkPrefixes(path+".Reads", route.Reads)
	validator.checkPrefixes(path+".Idempotent", route.Idempotent)
	if route.Timeout <= 0 || time.Duration(route.Timeout) > maxTimeout {
		validator.addFault(path+".Timeout", "timeout is not above 0s and at most %v", maxTimeout)
	}
	if route.MaxAge < 0 || time.Duration(route.MaxAge) > maxMaxAge {
		validator.addFault(path+".MaxAge", "age is not between 0s and %v", maxMaxAge)
	}
}

func (validator *validator) checkRouteTeams(path string, route spool.RouteSpec) {
	if len(route.Teams) == 0 {
		reason := "route admits no team"
		if route.Open {
			reason = "open route has no team whose rate its requests count against"
		}
		validator.addFault(path+".Teams", "%s", reason)
	}
	seen := namePaths{}
	for i, team := range route.Teams {
		teamPath := strict.IndexPath(path+".Teams", i)
		validator.checkTeamReference(teamPath, team)
		validator.checkUnique(seen, teamPath, string(team))
	}
}

func (validator *validator) checkPrefixes(path string, prefixes []string) {
	seen := namePaths{}
	for i, prefix := range prefixes {
		prefixPath := strict.IndexPath(path, i)
		if strings.TrimSpace(prefix) == "" {
			validator.addFault(prefixPath, "statement prefix is blank")
		}
		validator.checkUnique(seen, prefixPath, prefix)
	}
}

func (validator *validator) checkTeamReference(path string, team spool.Team) {
	if _, found := validator.teams[string(team)]; found {
		return
	}
	if !strings.HasPrefix(string(team), validator.prefix) {
		validator.addFault(path, "team %q does not belong to partner %q", team, validator.partner)
		return
	}
	validator.addFault(path, "team %q is not in this manifest", team)
}

// checkName checks that a name has the prefix of the partner and is unique.
func (validator *validator) checkName(seen namePaths, path, name string) {
	if !strings.HasPrefix(name, validator.prefix) || len(name) == len(validator.prefix) {
		validator.addFault(path, "name %q does not begin with %q", name, validator.prefix)
	}
	validator.checkUnique(seen, path, name)
}

func (validator *validator) checkUnique(seen namePaths, path, name string) {
	first, found := seen[name]
	if found {
		validator.addFault(path, "%q is given already at %s", name, first)
		return
	}
	seen[name] = path
}

func (validator *validator) addFault(path, format string, args ...any) {
	validator.faults.Add(path, fmt.Sprintf(format, args...))
}
