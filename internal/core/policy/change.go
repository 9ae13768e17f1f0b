package policy

import (
	"cmp"
	"maps"
	"reflect"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Change describes what a newly accepted manifest changes; its sorted lists name what was added, changed or removed.
type Change struct {
	Accepted  bool
	Partner   spool.Partner
	Version   spool.Version
	Withdrawn []string // keys that were valid before and are now withdrawn or removed
	Replaced  []string // keys that have another verifier or team; sessions that used the old one must end as well
	Teams     []spool.Team
	Groups    []spool.Group
	Servers   []spool.Server
	Routes    []string
}

// diffManifests compares two manifests of one partner.
func diffManifests(before, after spool.Manifest) Change {
	keysBefore := indexByName(before.Keys, func(key spool.KeySpec) string { return key.Name })
	keysAfter := indexByName(after.Keys, func(key spool.KeySpec) string { return key.Name })
	change := Change{}
	for _, name := range changedNames(keysBefore, keysAfter) {
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
	change.Teams = changedNames(indexByName(before.Teams, teamName), indexByName(after.Teams, teamName))
	change.Groups = changedNames(indexByName(before.Groups, groupName), indexByName(after.Groups, groupName))
	change.Servers = changedNames(indexByName(allServers(before), serverName), indexByName(allServers(after), serverName))
	change.Routes = changedNames(indexByName(before.Routes, routeName), indexByName(after.Routes, routeName))
	return change
}

func allServers(manifest spool.Manifest) []spool.ServerSpec {
	var all []spool.ServerSpec
	for _, group := range manifest.Groups {
		all = append(all, group.Servers...)
	}
	return all
}

func indexByName[Name comparable, Spec any](specs []Spec, name func(Spec) Name) map[Name]Spec {
	byName := make(map[Name]Spec, len(specs))
	for _, spec := range specs {
		byName[name(spec)] = spec
	}
	return byName
}

// changedNames returns the sorted names that are in only one of the maps or whose values differ.
func changedNames[Name cmp.Ordered, Spec any](before, after map[Name]Spec) []Name {
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
