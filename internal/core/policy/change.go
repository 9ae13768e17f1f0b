package policy

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Change tells what a newly accepted manifest alters; its lists are sorted and name what was added, altered or removed.
type Change struct {
	Accepted  bool
	Partner   spool.Partner
	Version   spool.Version
	Withdrawn []string // keys that worked before and are now withdrawn or absent
	Replaced  []string // keys that go on with another verifier or team; sessions under the old one must end as well
	Teams     []spool.Team
	Groups    []spool.Group
	Servers   []spool.Server
	Routes    []string
}

// diff compares two manifests of one partner.
func diff(before, after spool.Manifest) Change {
	keysBefore := index(before.Keys, func(key spool.KeySpec) string { return key.Name })
	keysAfter := index(after.Keys, func(key spool.KeySpec) string { return key.Name })
	change := Change{}
	for _, name := range differing(keysBefore, keysAfter) {
		old, current := keysBefore[name], keysAfter[name]
		switch {
		case old.Name == "" || old.Withdrawn:
		case current.Name == "" || current.Withdrawn:
			change.Withdrawn = append(change.Withdrawn, name)
		default:
			change.Replaced = append(change.Replaced, name)
		}
	}
	teamName := func(team spool.TeamSpec) spool.Team { return team.Name }
	groupName := func(group spool.GroupSpec) spool.Group { return group.Name }
	serverName := func(server spool.ServerSpec) spool.Server { return server.Name }
	routeName := func(route spool.RouteSpec) string { return route.Name }
	change.Teams = differing(index(before.Teams, teamName), index(after.Teams, teamName))
	change.Groups = differing(index(before.Groups, groupName), index(after.Groups, groupName))
	change.Servers = differing(index(servers(before), serverName), index(servers(after), serverName))
	change.Routes = differing(index(before.Routes, routeName), index(after.Routes, routeName))
	return change
}

func servers(manifest spool.Manifest) []spool.ServerSpec {
	var all []spool.ServerSpec
	for _, group := range manifest.Groups {
		all = append(all, group.Servers...)
	}
	return all
}

func index[Name comparable, Spec any](specs []Spec, name func(Spec) Name) map[Name]Spec {
	byName := make(map[Name]Spec, len(specs))
	for _, spec := range specs {
		byName[name(spec)] = spec
	}
	return byName
}

// differing returns the names that stand in only one of the maps or whose values differ.
func differing[Name cmp.Ordered, Spec any](before, after map[Name]Spec) []Name {
	changed := map[Name]bool{}
	for name, old := range before {
		current, found := after[name]
		if !found || !reflect.DeepEqual(old, current) {
			changed[name] = true
		}
	}
	for name := range after {
		if _, found := before[name]; !found {
			changed[name] = true
		}
	}
	return slices.Sorted(maps.Keys(changed))
}
