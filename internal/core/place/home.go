package place

import (
	"maps"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// HomeRegions holds the home regions of routes and teams of one configuration; it is immutable and nil if there are none. It
// answers the load of requests whose data must not leave the regions that the operators name.
type HomeRegions struct {
	regions map[spool.Domain]string // region of each failure domain
	routes  map[string]regionSet
	teams   map[spool.Team]regionSet
}

// regionSet is a set of regions.
type regionSet map[string]bool

// NewHomeRegions returns the home regions of a configuration, and the named regions that have no failure domain. An unknown
// region allows nothing.
func NewHomeRegions(config *spool.FleetConfig, regions map[spool.Domain]string) (homes *HomeRegions, unknown []string) {
	homes = &HomeRegions{regions: regions, routes: map[string]regionSet{}, teams: map[spool.Team]regionSet{}}
	known := regionSet{}
	for _, region := range regions {
		known[region] = true
	}
	missing := map[string]bool{}
	collect := func(names []string) regionSet {
		set := make(regionSet, len(names))
		for _, name := range names {
			set[name] = true
			if !known[name] {
				missing[name] = true
			}
		}
		return set
	}
	for name, route := range config.Routes {
		if len(route.Regions) > 0 {
			homes.routes[name] = collect(route.Regions)
		}
	}
	for team, names := range config.TeamRegions {
		if len(names) > 0 {
			homes.teams[team] = collect(names)
		}
	}
	if len(homes.routes) == 0 && len(homes.teams) == 0 {
		return nil, nil
	}
	return homes, slices.Sorted(maps.Keys(missing))
}

// For returns the home regions of a team's requests on a route.
func (homes *HomeRegions) For(route string, team spool.Team) Home {
	if homes == nil {
		return Home{}
	}
	return Home{regions: homes.regions, route: homes.routes[route], team: homes.teams[team]}
}

// Home is where the requests of a team on a route may run; the zero value allows all regions.
type Home struct {
	regions     map[spool.Domain]string
	route, team regionSet
}

// Unrestricted reports whether all regions are allowed.
func (home Home) Unrestricted() bool { return home.route == nil && home.team == nil }

// Allows reports whether requests may run on servers in a failure domain; both the route and the team must allow it.
func (home Home) Allows(domain spool.Domain) bool {
	if home.Unrestricted() {
		return true
	}
	region, known := home.regions[domain]
	return known && (home.route == nil || home.route[region]) && (home.team == nil || home.team[region])
}

// Empty reports whether no failure domain is allowed.
func (home Home) Empty() bool {
	if home.Unrestricted() {
		return false
	}
	for domain := range home.regions {
		if home.Allows(domain) {
			return false
		}
	}
	return true
}

// RoutesAt returns for each group and failure domain how many of the group's routes with home regions may run there.
func (homes *HomeRegions) RoutesAt(config *spool.FleetConfig) map[spool.Group]map[spool.Domain]int {
	if homes == nil {
		return nil
	}
	counts := map[spool.Group]map[spool.Domain]int{}
	for name, set := range homes.routes {
		group := config.Routes[name].Group
		if counts[group] == nil {
			counts[group] = map[spool.Domain]int{}
		}
		for domain, region := range homes.regions {
			if set[region] {
				counts[group][domain]++
			}
		}
	}
	return counts
}
