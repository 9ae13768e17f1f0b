package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

func testObject(c *qt.C, version spool.Version, manifest spool.Manifest) spool.Object {
	return spool.Object{
		Kind:    spool.KindManifest,
		Name:    string(manifest.Partner),
		Version: version,
		Body:    encode(c, manifest),
	}
}

func TestStoreNeverReverts(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	newer, older := testManifest(), testManifest()
	newer.Teams[0].Burst = 7
	change, faults := store.Apply(testObject(c, 9, newer))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(change.Accepted, qt.IsTrue)
	for _, version := range []spool.Version{8, 9} {
		change, faults = store.Apply(testObject(c, version, older))
		c.Assert(faults, qt.HasLen, 0)
		c.Assert(change, qt.DeepEquals, Change{})
	}
	team, _ := store.Snapshot().Team("kyushu.counter")
	c.Assert(team.Burst, qt.Equals, 7.0)
}

func TestStoreKeepsLastValid(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	store.Apply(testObject(c, 3, testManifest()))
	invalid := testManifest()
	invalid.Teams[0].Burst = 0
	_, faults := store.Apply(testObject(c, 5, invalid))
	c.Assert(faults, qt.HasLen, 1)
	_, faults = store.Apply(testObject(c, 5, invalid))
	c.Assert(faults, qt.HasLen, 0)
	c.Assert(store.Versions(), qt.DeepEquals, map[spool.Partner]spool.Version{"kyushu": 3})
	c.Assert(store.Rejected()["kyushu"].Version, qt.Equals, spool.Version(5))
	change, _ := store.Apply(testObject(c, 4, testManifest()))
	c.Assert(change.Accepted, qt.IsTrue)
	change, _ = store.Apply(testObject(c, 6, testManifest()))
	c.Assert(change.Accepted, qt.IsTrue)
	c.Assert(store.Rejected(), qt.HasLen, 0)
}

func TestStoreSeparatesPartners(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	store.Apply(testObject(c, 3, testManifest()))
	before := store.Snapshot()
	object := testObject(c, 4, testManifest())
	object.Name = "aquariums"
	_, faults := store.Apply(object)
	c.Assert(findFault(faults, "Partner"), qt.Not(qt.Equals), "")
	c.Assert(findFault(faults, "Teams[0].Name"), qt.Not(qt.Equals), "")
	object.Kind = spool.KindTerm
	_, faults = store.Apply(object)
	c.Assert(faults, qt.HasLen, 1)
	c.Assert(store.Snapshot() == before, qt.IsTrue)
}

func TestStoreReportsChanges(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	before := testManifest()
	for _, name := range []string{"kyushu.gone", "kyushu.stopped", "kyushu.rotated", "kyushu.dead"} {
		before.Keys = append(before.Keys, spool.KeySpec{Name: name, Team: "kyushu.counter", Verifier: testVerifier(1)})
	}
	before.Keys[4].Withdrawn = true
	change, _ := store.Apply(testObject(c, 1, before))
	c.Assert(change.Withdrawn, qt.HasLen, 0)
	c.Assert(change.Servers, qt.DeepEquals, []spool.Server{"kyushu.records-1", "kyushu.records-2"})
	after := testManifest()
	stopped, rotated := before.Keys[2], before.Keys[3]
	stopped.Withdrawn = true
	rotated.Verifier = testVerifier(2)
	after.Keys = append(after.Keys, stopped, rotated)
	after.Groups[0].Servers[1].Leaving = true
	after.Routes[0].Durable = true
	change, _ = store.Apply(testObject(c, 2, after))
	c.Assert(change, qt.DeepEquals, Change{
		Accepted:  true,
		Partner:   "kyushu",
		Version:   2,
		Withdrawn: []string{"kyushu.gone", "kyushu.stopped"},
		Replaced:  []string{"kyushu.rotated"},
		Groups:    []spool.Group{"kyushu.records"},
		Servers:   []spool.Server{"kyushu.records-2"},
		Routes:    []string{"kyushu.family"},
	})
}

func TestStoreReturnsCopies(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	object := testObject(c, 1, testManifest())
	store.Apply(object)
	want := slices.Clone(object.Body)
	object.Body[0] = 'x'
	store.Objects()[0].Body[0] = 'y'
	c.Assert([]byte(store.Objects()[0].Body), qt.DeepEquals, []byte(want))
}

// history contains the manifests that operators of three partners wrote to the platform, valid or invalid.
type history struct {
	objects []spool.Object
	valid   map[spool.Version]bool
}

var testPartners = []spool.Partner{"aquariums", "kyushu", "other"}

func drawHistory(t *rapid.T) history {
	history := history{valid: map[spool.Version]bool{}}
	count := rapid.IntRange(1, 12).Draw(t, "changes")
	for i := range count {
		partner := rapid.SampledFrom(testPartners).Draw(t, "partner")
		version := spool.Version(i + 1)
		manifest := drawManifest(t, partner)
		history.valid[version] = true
		if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
			history.valid[version] = false
			manifest.Teams[0].RatePerSecond = 0
		}
		body, err := json.Marshal(manifest)
		if err != nil {
			t.Fatal(err)
		}
		object := spool.Object{Kind: spool.KindManifest, Name: string(partner), Version: version, Body: body}
		history.objects = append(history.objects, object)
	}
	return history
}

func drawManifest(t *rapid.T, partner spool.Partner) spool.Manifest {
	team := spool.Team(partner + ".team")
	manifest := spool.Manifest{
		Partner: partner,
		Teams:   []spool.TeamSpec{{Name: team, RatePerSecond: 1, Burst: rapid.Float64Range(1, 9).Draw(t, "burst")}},
	}
	for i := range 3 {
		if rapid.Bool().Draw(t, "present") {
			manifest.Keys = append(manifest.Keys, spool.KeySpec{
				Name:      fmt.Sprintf("%s.key-%d", partner, i),
				Team:      team,
				Verifier:  testVerifier(byte(i)),
				Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
			})
		}
	}
	return manifest
}

// oracle is a reference model of a store: it keeps every applied object and searches all of them for each query.
type oracle struct {
	history history
	applied map[spool.Version]spool.Object
}

func (oracle *oracle) activeObjects() map[spool.Partner]spool.Object {
	newest := map[spool.Partner]spool.Object{}
	for version, object := range oracle.applied {
		partner := spool.Partner(object.Name)
		if oracle.history.valid[version] && version > newest[partner].Version {
			newest[partner] = object
		}
	}
	return newest
}

func (oracle *oracle) versions() map[spool.Partner]spool.Version {
	versions := map[spool.Partner]spool.Version{}
	for partner, object := range oracle.activeObjects() {
		versions[partner] = object.Version
	}
	return versions
}

// liveKeys returns the keys that are not withdrawn, decoded with encoding/json only.
func (oracle *oracle) liveKeys(t *rapid.T) map[string]bool {
	live := map[string]bool{}
	for _, object := range oracle.activeObjects() {
		var manifest spool.Manifest
		if err := json.Unmarshal(object.Body, &manifest); err != nil {
			t.Fatal(err)
		}
		for _, key := range manifest.Keys {
			if !key.Withdrawn {
				live[key.Name] = true
			}
		}
	}
	return live
}

// applyBoth applies an object to a store and to its oracle and compares their states.
func applyBoth(t *rapid.T, store *Store, oracle *oracle, object spool.Object) {
	before := oracle.liveKeys(t)
	versionsBefore := store.Versions()
	change, _ := store.Apply(object)
	oracle.applied[object.Version] = object
	after := oracle.liveKeys(t)
	if want, got := oracle.versions(), store.Versions(); !maps.Equal(want, got) {
		t.Fatalf("active versions are %v, want %v", got, want)
	}
	for partner, version := range versionsBefore {
		if store.Versions()[partner] < version {
			t.Fatalf("partner %s reverted from version %d", partner, version)
		}
	}
	var withdrawn []string
	for name := range before {
		if !after[name] {
			withdrawn = append(withdrawn, name)
		}
	}
	slices.Sort(withdrawn)
	if !slices.Equal(withdrawn, change.Withdrawn) {
		t.Fatalf("withdrawn keys are %v, want %v", change.Withdrawn, withdrawn)
	}
	for _, partner := range testPartners {
		for i := range 3 {
			name := fmt.Sprintf("%s.key-%d", partner, i)
			if _, found := store.Snapshot().Key(name); found != after[name] {
				t.Fatalf("key %s found: %v, want %v", name, found, after[name])
			}
		}
	}
}

func TestStoreMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		stores := make([]*Store, 4)
		oracles := make([]*oracle, len(stores))
		restart := func(i int) {
			stores[i] = NewStore()
			oracles[i] = &oracle{history: history, applied: map[spool.Version]spool.Object{}}
		}
		for i := range stores {
			restart(i)
		}
		proxy := rapid.IntRange(0, len(stores)-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			to := proxy.Draw(t, "to")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				restart(to)
			case 1, 2, 3:
				for _, object := range stores[proxy.Draw(t, "from")].Objects() {
					applyBoth(t, stores[to], oracles[to], object)
				}
			default:
				applyBoth(t, stores[to], oracles[to], rapid.SampledFrom(history.objects).Draw(t, "object"))
			}
		}
		for i := range stores {
			for _, object := range rapid.Permutation(history.objects).Draw(t, "order") {
				applyBoth(t, stores[i], oracles[i], object)
			}
		}
		for _, store := range stores[1:] {
			if !reflect.DeepEqual(store.Objects(), stores[0].Objects()) {
				t.Fatalf("stores contain different objects")
			}
			if !reflect.DeepEqual(store.Snapshot(), stores[0].Snapshot()) {
				t.Fatalf("stores have different snapshots")
			}
		}
	})
}

func TestAuthorize(t *testing.T) {
	c := qt.New(t)
	manifest := testManifest()
	manifest.Teams = append(manifest.Teams, spool.TeamSpec{Name: "kyushu.desk", RatePerSecond: 1, Burst: 1})
	manifest.Keys = append(manifest.Keys, spool.KeySpec{Name: "kyushu.desk-1", Team: "kyushu.desk", Verifier: testVerifier(2)})
	open := manifest.Routes[0]
	open.Name, open.Open = "kyushu.news", true
	manifest.Routes = append(manifest.Routes, open)
	store := NewStore()
	_, faults := store.Apply(testObject(c, 1, manifest))
	c.Assert(faults, qt.HasLen, 0)
	tests := []struct{ key, route, code string }{
		{"kyushu.counter-1", "kyushu.family", ""},
		{"anyone", "kyushu.news", ""},
		{"kyushu.none", "kyushu.family", spool.CodeBadKey},
		{"kyushu.none", "kyushu.none", spool.CodeBadKey},
		{"kyushu.counter-1", "kyushu.none", spool.CodeUnknownRoute},
		{"kyushu.desk-1", "kyushu.family", spool.CodeNotAllowed},
	}
	for _, test := range tests {
		_, refusal := store.Snapshot().Authorize(test.key, test.route)
		if test.code == "" {
			c.Assert(refusal == nil, qt.IsTrue)
			continue
		}
		c.Assert(refusal.Code, qt.Equals, test.code)
		c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	}
}

func TestCheckLogin(t *testing.T) {
	tests := []struct {
		name  string
		alter func(manifest *spool.Manifest)
		code  string
	}{
		{"Same", func(*spool.Manifest) {}, ""},
		{"OtherRate", func(m *spool.Manifest) { m.Teams[0].Burst = 5 }, ""},
		{"Withdrawn", func(m *spool.Manifest) { m.Keys[0].Withdrawn = true }, spool.CodeBadKey},
		{"Removed", func(m *spool.Manifest) { m.Keys = nil }, spool.CodeBadKey},
		{"Rotated", func(m *spool.Manifest) { m.Keys[0].Verifier = testVerifier(9) }, spool.CodeBadKey},
		{"NoRoute", func(m *spool.Manifest) { m.Routes = nil }, spool.CodeUnknownRoute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store := NewStore()
			store.Apply(testObject(c, 1, testManifest()))
			login, _ := store.Snapshot().Authorize("kyushu.counter-1", "kyushu.family")
			manifest := testManifest()
			test.alter(&manifest)
			_, faults := store.Apply(testObject(c, 2, manifest))
			c.Assert(faults, qt.HasLen, 0)
			refusal := store.Snapshot().CheckLogin(login)
			if test.code == "" {
				c.Assert(refusal == nil, qt.IsTrue)
				return
			}
			c.Assert(refusal.Code, qt.Equals, test.code)
		})
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	c := qt.New(t)
	store := NewStore()
	store.Apply(testObject(c, 1, testManifest()))
	snapshot := store.Snapshot()
	allocations := testing.AllocsPerRun(100, func() {
		snapshot.Key("kyushu.counter-1")
		snapshot.Route("kyushu.family")
		snapshot.Team("kyushu.counter")
		snapshot.Group("kyushu.records")
		snapshot.Teams()
		snapshot.Groups()
		snapshot.Authorize("kyushu.counter-1", "kyushu.family")
	})
	c.Assert(allocations, qt.Equals, 0.0)
}
