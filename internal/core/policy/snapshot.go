package policy

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Snapshot is an immutable view of all active manifests; callers must not modify the slices that it returns.
type Snapshot struct {
	keys   map[string]spool.KeySpec
	routes map[string]spool.RouteSpec
	teams  map[spool.Team]spool.TeamSpec
	groups map[spool.Group]spool.GroupSpec

	teamList  []spool.TeamSpec
	groupList []spool.GroupSpec
}

// newSnapshot merges manifests, whose names cannot collide because each begins with the name of its partner.
func newSnapshot(manifests []spool.Manifest) *Snapshot {
	snapshot := &Snapshot{
		keys:   map[string]spool.KeySpec{},
		routes: map[string]spool.RouteSpec{},
		teams:  map[spool.Team]spool.TeamSpec{},
		groups: map[spool.Group]spool.GroupSpec{},
	}
	for _, manifest := range manifests {
		snapshot.add(manifest)
	}
	slices.SortFunc(snapshot.teamList, func(left, right spool.TeamSpec) int {
		return cmp.Compare(left.Name, right.Name)
	})
	slices.SortFunc(snapshot.groupList, func(left, right spool.GroupSpec) int {
		return cmp.Compare(left.Name, right.Name)
	})
	return snapshot
}

func (snapshot *Snapshot) add(manifest spool.Manifest) {
	for _, key := range manifest.Keys {
		snapshot.keys[key.Name] = key
	}
	for _, route := range manifest.Routes {
		snapshot.routes[route.Name] = route
	}
	for _, team := range manifest.Teams {
		snapshot.teams[team.Name] = team
	}
	for _, group := range manifest.Groups {
		snapshot.groups[group.Name] = group
	}
	snapshot.teamList = append(snapshot.teamList, manifest.Teams...)
	snapshot.groupList = append(snapshot.groupList, manifest.Groups...)
}

// Key returns the key with the given name unless it is unknown or withdrawn.
func (snapshot *Snapshot) Key(name string) (spool.KeySpec, bool) {
	key, found := snapshot.keys[name]
	if !found || key.Withdrawn {
		return spool.KeySpec{}, false
	}
	return key, true
}

// Route returns the route with the given name.
func (snapshot *Snapshot) Route(name string) (spool.RouteSpec, bool) {
	route, found := snapshot.routes[name]
	return route, found
}

// Team returns the team with the given name.
func (snapshot *Snapshot) Team(name spool.Team) (spool.TeamSpec, bool) {
	team, found := snapshot.teams[name]
	return team, found
}

// Group returns the group with the given name.
func (snapshot *Snapshot) Group(name spool.Group) (spool.GroupSpec, bool) {
	group, found := snapshot.groups[name]
	return group, found
}

// Teams returns all teams, sorted by name.
func (snapshot *Snapshot) Teams() []spool.TeamSpec { return snapshot.teamList }

// Groups returns all groups, sorted by name.
func (snapshot *Snapshot) Groups() []spool.GroupSpec { return snapshot.groupList }
