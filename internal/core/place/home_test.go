package place

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

var testRegions = map[spool.Domain]string{"n1": "north", "n2": "north", "s1": "south"}

func TestHomeRegionsOfRouteAndTeam(t *testing.T) {
	config := &spool.FleetConfig{
		Routes: map[string]spool.Route{
			"open": {Group: "g"}, "north": {Group: "g", Regions: []string{"north"}},
			"both": {Group: "g", Regions: []string{"north", "south"}}, "moon": {Group: "g", Regions: []string{"moon"}},
		},
		TeamRegions: map[spool.Team][]string{"red": {"south"}},
	}
	homes, unknown := NewHomeRegions(config, testRegions)
	qt.Assert(t, unknown, qt.DeepEquals, []string{"moon"})
	for _, row := range []struct {
		route  string
		team   spool.Team
		domain spool.Domain
		allows bool
		empty  bool
	}{
		{"open", "blue", "n1", true, false},
		{"open", "blue", "elsewhere", true, false},
		{"north", "blue", "n2", true, false},
		{"north", "blue", "s1", false, false},
		{"north", "blue", "elsewhere", false, false},
		{"open", "red", "s1", true, false},
		{"open", "red", "n1", false, false},
		{"both", "red", "s1", true, false},
		{"both", "red", "n1", false, false},
		{"north", "red", "n1", false, true},
		{"north", "red", "s1", false, true},
		{"moon", "blue", "n1", false, true},
	} {
		home := homes.For(row.route, row.team)
		comment := qt.Commentf("%s of %s at %s", row.route, row.team, row.domain)
		qt.Check(t, home.Allows(row.domain), qt.Equals, row.allows, comment)
		qt.Check(t, home.Empty(), qt.Equals, row.empty, comment)
	}
	qt.Assert(t, homes.RoutesAt(config), qt.DeepEquals, map[spool.Group]map[spool.Domain]int{"g": {"n1": 2, "n2": 2, "s1": 1}})
}

func TestConfigurationWithoutHomeRegionsHasNone(t *testing.T) {
	c := qt.New(t)
	homes, unknown := NewHomeRegions(&spool.FleetConfig{Routes: map[string]spool.Route{"open": {}}}, testRegions)
	c.Assert(homes == nil, qt.IsTrue)
	c.Assert(unknown, qt.HasLen, 0)
	c.Assert(homes.For("open", "red").Allows("anywhere"), qt.IsTrue)
	c.Assert(homes.RoutesAt(&spool.FleetConfig{}), qt.HasLen, 0)
}
