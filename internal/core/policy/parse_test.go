package policy

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func testVerifier(mark byte) string {
	key := make([]byte, 32)
	key[0] = mark
	verifier := spool.Verifier{Iterations: 4096, Salt: []byte("0123456789abcdef"), StoredKey: key, ServerKey: key}
	return verifier.String()
}

func testManifest() spool.Manifest {
	return spool.Manifest{
		Partner: "kyushu",
		Teams:   []spool.TeamSpec{{Name: "kyushu.counter", RatePerSecond: 50, Burst: 100}},
		Keys:    []spool.KeySpec{{Name: "kyushu.counter-1", Team: "kyushu.counter", Verifier: testVerifier(1)}},
		Groups: []spool.GroupSpec{{
			Name:    "kyushu.records",
			Dialect: "postgres",
			Servers: []spool.ServerSpec{
				{Name: "kyushu.records-1", Address: "10.0.0.1:5432", Domain: "fukuoka", Slots: 3, Connections: 20},
				{Name: "kyushu.records-2", Address: "10.0.0.2:5432", Domain: "kumamoto", Slots: 3, Connections: 20},
			},
		}},
		Routes: []spool.RouteSpec{{
			Name:       "kyushu.family",
			Group:      "kyushu.records",
			Teams:      []spool.Team{"kyushu.counter"},
			Reads:      []string{"SELECT"},
			Idempotent: []string{"SELECT"},
			MaxAge:     spool.Duration(250 * time.Millisecond),
			Timeout:    spool.Duration(5 * time.Second),
		}},
	}
}

func encode(c *qt.C, manifest spool.Manifest) []byte {
	body, err := json.Marshal(manifest)
	c.Assert(err, qt.IsNil)
	return body
}

func TestParseRoundTrip(t *testing.T) {
	c := qt.New(t)
	manifest, faults := ParseManifest("kyushu", encode(c, testManifest()))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(manifest, qt.DeepEquals, testManifest())
}

func TestParseAcceptsEmptyManifest(t *testing.T) {
	c := qt.New(t)
	_, faults := ParseManifest("kyushu", encode(c, spool.Manifest{Partner: "kyushu"}))
	c.Assert(faults, qt.HasLen, 0)
}

func TestParseSemanticFaults(t *testing.T) {
	tests := []struct {
		name   string
		alter  func(manifest *spool.Manifest)
		path   string
		reason string
	}{
		{"OtherPartner", func(m *spool.Manifest) { m.Partner = "aquariums" }, "Partner", ".*not the partner \"kyushu\".*"},
		{"TeamPrefix", func(m *spool.Manifest) { m.Teams[0].Name = "aquariums.x" }, "Teams[0].Name", ".*does not begin with \"kyushu.\""},
		{"BarePrefix", func(m *spool.Manifest) { m.Teams[0].Name = "kyushu." }, "Teams[0].Name", ".*does not begin with.*"},
		{"TeamTwice", func(m *spool.Manifest) { m.Teams = append(m.Teams, m.Teams[0]) }, "Teams[1].Name", ".*already at Teams\\[0\\].Name"},
		{"ZeroRate", func(m *spool.Manifest) { m.Teams[0].RatePerSecond = 0 }, "Teams[0].RatePerSecond", "exclusiveMinimum: got 0, want 0"},
		{"NegativeRate", func(m *spool.Manifest) { m.Teams[0].RatePerSecond = -1 }, "Teams[0].RatePerSecond", "exclusiveMinimum.*"},
		{"SmallBurst", func(m *spool.Manifest) { m.Teams[0].Burst = 0.5 }, "Teams[0].Burst", "minimum.*"},
		{"KeyTwice", func(m *spool.Manifest) { m.Keys = append(m.Keys, m.Keys[0]) }, "Keys[1].Name", ".*already at Keys\\[0\\].Name"},
		{"KeyTeam", func(m *spool.Manifest) { m.Keys[0].Team = "kyushu.none" }, "Keys[0].Team", ".*not in this manifest"},
		{"KeyOfOtherTeam", func(m *spool.Manifest) { m.Keys[0].Team = "aquariums.x" }, "Keys[0].Team", ".*does not belong to partner.*"},
		{"PlainSecret", func(m *spool.Manifest) { m.Keys[0].Verifier = "hunter2" }, "Keys[0].Verifier", "verifier does not begin.*"},
		{"FewIterations", func(m *spool.Manifest) {
			m.Keys[0].Verifier = strings.Replace(m.Keys[0].Verifier, "4096", "1", 1)
		}, "Keys[0].Verifier", ".*iterations.*"},
		{"GroupPrefix", func(m *spool.Manifest) { m.Groups[0].Name = "records" }, "Groups[0].Name", ".*does not begin.*"},
		{"NoServers", func(m *spool.Manifest) { m.Groups[0].Servers = nil }, "Groups[0].Servers", "got null, want array"},
		{"ServerTwice", func(m *spool.Manifest) {
			m.Groups[0].Servers[1].Name = m.Groups[0].Servers[0].Name
		}, "Groups[0].Servers[1].Name", ".*already at.*"},
		{"AddressTwice", func(m *spool.Manifest) {
			m.Groups[0].Servers[1].Address = m.Groups[0].Servers[0].Address
		}, "Groups[0].Servers[1].Address", ".*already at Groups\\[0\\].Servers\\[0\\].Address"},
		{"HostName", func(m *spool.Manifest) { m.Groups[0].Servers[0].Address = "db:5432" }, "Groups[0].Servers[0].Address", ".*ip:port"},
		{"ManySlots", func(m *spool.Manifest) { m.Groups[0].Servers[0].Slots = 8 }, "Groups[0].Servers[0].Connections", "8 slots need 22 connections.*"},
		{"NoConnections", func(m *spool.Manifest) { m.Groups[0].Servers[0].Connections = 0 }, "Groups[0].Servers[0].Connections", "minimum.*"},
		{"RouteGroup", func(m *spool.Manifest) { m.Routes[0].Group = "kyushu.none" }, "Routes[0].Group", ".*not in this manifest"},
		{"RouteOfOtherTeam", func(m *spool.Manifest) {
			m.Routes[0].Teams = []spool.Team{"aquariums.x"}
		}, "Routes[0].Teams[0]", ".*does not belong to partner.*"},
		{"RouteTeamTwice", func(m *spool.Manifest) {
			m.Routes[0].Teams = append(m.Routes[0].Teams, m.Routes[0].Teams[0])
		}, "Routes[0].Teams[1]", ".*already at.*"},
		{"OpenWithoutTeam", func(m *spool.Manifest) {
			m.Routes[0].Open = true
			m.Routes[0].Teams = nil
		}, "Routes[0].Teams", "open route has no team.*"},
		{"NoTeam", func(m *spool.Manifest) { m.Routes[0].Teams = nil }, "Routes[0].Teams", "route admits no team"},
		{"BlankPrefix", func(m *spool.Manifest) { m.Routes[0].Reads = []string{" "} }, "Routes[0].Reads[0]", ".*blank"},
		{"NoTimeout", func(m *spool.Manifest) { m.Routes[0].Timeout = 0 }, "Routes[0].Timeout", ".*not above 0s.*"},
		{"LongTimeout", func(m *spool.Manifest) { m.Routes[0].Timeout = spool.Duration(2 * time.Hour) }, "Routes[0].Timeout", ".*at most 1h.*"},
		{"NegativeAge", func(m *spool.Manifest) { m.Routes[0].MaxAge = -1 }, "Routes[0].MaxAge", ".*does not match pattern.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			manifest := testManifest()
			test.alter(&manifest)
			_, faults := ParseManifest("kyushu", encode(c, manifest))
			c.Assert(findFault(faults, test.path), qt.Matches, test.reason, qt.Commentf("%v", faults))
		})
	}
}

func TestParseSchemaFaults(t *testing.T) {
	tests := []struct {
		name, from, to, path, reason string
	}{
		{"UnknownField", `"Burst":100`, `"Burst":100,"Bursts":3`, "Teams[0].Bursts", "unknown field"},
		{"WrongCase", `"Burst":100`, `"burst":100`, "Teams[0].burst", "unknown field"},
		{"Missing", `,"Burst":100`, ``, "Teams[0].Burst", "field is missing"},
		{"FieldTwice", `"Burst":100`, `"Burst":100,"Burst":1`, "Teams[0].Burst", "field is given twice"},
		{"RateWithUnit", `"RatePerSecond":50`, `"RatePerSecond":"50/s"`, "Teams[0].RatePerSecond", "got string, want number"},
		{"DurationWithoutUnit", `"Timeout":"5s"`, `"Timeout":5`, "Routes[0].Timeout", "got number, want string"},
		{"DurationOtherUnit", `"Timeout":"5s"`, `"Timeout":"5 days"`, "Routes[0].Timeout", ".*does not match.*"},
		{"HalfSlot", `"Slots":3`, `"Slots":2.5`, "Groups[0].Servers[0].Slots", "got number, want integer"},
		{"HugeNumber", `"Burst":100`, `"Burst":1e999999999`, "Teams[0].Burst", "number 1e999999999 is out of range"},
		{"TinyNumber", `"Burst":100`, `"Burst":1e-999999999`, "Teams[0].Burst", "minimum: got 0, want 1"},
		{"Trailing", `}]}`, `}]} {}`, "", "data after the document.*"},
		{"Broken", `}]}`, `}]`, "", "invalid JSON near byte .*"},
		{"Text", `{`, `[`, "", "invalid JSON near byte .*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := string(encode(c, testManifest()))
			index := strings.LastIndex(text, test.from)
			if test.from != `}]}` {
				index = strings.Index(text, test.from)
			}
			c.Assert(index >= 0, qt.IsTrue)
			body := text[:index] + test.to + text[index+len(test.from):]
			_, faults := ParseManifest("kyushu", []byte(body))
			c.Assert(findFault(faults, test.path), qt.Matches, test.reason, qt.Commentf("%v", faults))
		})
	}
}

func TestParseReportsEveryFault(t *testing.T) {
	c := qt.New(t)
	manifest := testManifest()
	manifest.Teams[0].RatePerSecond = -1
	manifest.Keys[0].Verifier = "x"
	manifest.Routes[0].Group = "kyushu.none"
	_, faults := ParseManifest("kyushu", encode(c, manifest))
	paths := []string{}
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	c.Assert(paths, qt.DeepEquals, []string{"Teams[0].RatePerSecond", "Keys[0].Verifier", "Routes[0].Group"})
}

func TestParseLimitsSizeDepthAndFaults(t *testing.T) {
	c := qt.New(t)
	_, faults := ParseManifest("kyushu", make([]byte, MaxManifestBytes+1))
	c.Assert(findFault(faults, ""), qt.Matches, "manifest has 1048577 bytes.*")
	deep := strings.Repeat(`{"A":`, 100_000)
	_, faults = ParseManifest("kyushu", []byte(deep))
	c.Assert(findFault(faults, ""), qt.Matches, ".*nesting is deeper than 16")
	manifest := testManifest()
	for range 500 {
		manifest.Teams = append(manifest.Teams, spool.TeamSpec{})
	}
	_, faults = ParseManifest("kyushu", encode(c, manifest))
	c.Assert(faults, qt.HasLen, 101)
}

func TestParseRefusesOtherDocuments(t *testing.T) {
	for _, body := range []string{"", " ", "null", "[]", "{}", `"kyushu"`, "1", "true", `{"Partner":null}`} {
		_, faults := ParseManifest("kyushu", []byte(body))
		qt.Assert(t, len(faults) > 0, qt.IsTrue, qt.Commentf("%q", body))
	}
}

func TestParseFaultsOmitVerifier(t *testing.T) {
	c := qt.New(t)
	manifest := testManifest()
	manifest.Keys[0].Verifier = "SCRAM-SHA-256$4096:TopSecretSalt$x:y"
	_, faults := ParseManifest("kyushu", encode(c, manifest))
	c.Assert(faults, qt.HasLen, 1)
	c.Assert(faults.Error(), qt.Not(qt.Contains), "TopSecret")
}

func FuzzParse(f *testing.F) {
	body, err := json.Marshal(testManifest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"Partner":"kyushu","Teams":[{"Name":"kyushu.x","RatePerSecond":1e-9999999,"Burst":1}]}`))
	f.Add([]byte(`{"Partner":null,"Teams":{"0":[]},"Keys":[null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		manifest, faults := ParseManifest("kyushu", body)
		if len(faults) > 0 {
			return
		}
		again, err := json.Marshal(manifest)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := ParseManifest("kyushu", again); len(faults) > 0 {
			t.Fatalf("valid manifest is invalid after encoding it again: %v", faults)
		}
	})
}

func findFault(faults spool.Faults, path string) string {
	for _, fault := range faults {
		if fault.Path == path {
			return fault.Reason
		}
	}
	return ""
}
