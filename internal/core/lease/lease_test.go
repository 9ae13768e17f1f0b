package lease

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
		_ = flag.Set("rapid.checks", "30")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestOneHolder draws faults and checks that no instant has two holders and that a holder comes back afterwards.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "proxies"))
		world.advance(3 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			kind := rapid.IntRange(0, faultKinds-1).Draw(t, "kind")
			world.fault(kind, rapid.IntRange(0, 20).Draw(t, "index"))
			world.advance(time.Duration(rapid.IntRange(1, 150).Draw(t, "steps")) * 10 * time.Millisecond)
		}
		world.heal()
		world.advance(8 * time.Second)
		if world.violation != "" {
			t.Fatal(world.violation)
		}
		if world.holder() == "" {
			t.Fatalf("no holder after the faults ended; roster %+v", world.roster)
		}
	})
}

// faulty runs seeds with a mechanism off or on until two holders meet; most faults strike the holder.
func faulty(seeds uint64, option Option) (violation string, seed uint64) {
	for seed := range seeds {
		world := newWorld(seed, 5, option)
		faults := rand.New(rand.NewPCG(seed, 2))
		world.advance(3 * time.Second)
		for range 20 {
			index := faults.IntN(21)
			for i, proxy := range world.proxies {
				if proxy.VM == world.holder() && faults.IntN(3) > 0 {
					index = i
				}
			}
			world.fault(faultPause, index)
			world.advance(time.Duration(faults.IntN(100)) * 10 * time.Millisecond)
			world.fault(faultCut, index)
			world.fault(faultWake, index)
			world.fault(faultRestart, faults.IntN(21))
			other := faults.IntN(21)
			world.fault(faultCut, other)
			world.advance(time.Duration(faults.IntN(400)) * 10 * time.Millisecond)
			world.fault(faultCut, index)
			world.fault(faultCut, other)
		}
		if world.violation != "" {
			return world.violation, seed
		}
	}
	return "", seeds
}

// TestMechanismsMatter shows that the invariant of TestOneHolder fails without each mechanism, from seed 0 on.
func TestMechanismsMatter(t *testing.T) {
	const seeds = 20
	tests := []struct {
		name   string
		option Option
		holds  bool
	}{
		{name: "all on", option: func(*Config) {}, holds: true},
		{name: "counted from the arrival", option: func(config *Config) { config.fromArrival = true }},
		{name: "roster changed at once", option: func(config *Config) { config.unsealed = true }},
		{name: "no abstention after a restart", option: func(config *Config) { config.forgetful = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violation, seed := faulty(seeds, test.option)
			t.Logf("seed %d: %s", seed, violation)
			qt.Assert(t, violation == "", qt.Equals, test.holds)
		})
	}
}

func TestTakeover(t *testing.T) {
	world := newWorld(1, 5)
	world.advance(3 * time.Second)
	first := world.holder()
	qt.Assert(t, first, qt.Not(qt.Equals), "")
	qt.Assert(t, world.locate(world.roster.Members[0]).Holder, qt.Equals, string(first))
	world.find(first).paused = true
	started := world.now
	for world.holder() == first || world.holder() == "" {
		world.advance(worldTick)
		qt.Assert(t, world.now.Sub(started) < 2*time.Second, qt.IsTrue)
	}
	t.Logf("taken over after %v", world.now.Sub(started))
	qt.Assert(t, world.now.Sub(started) < 1100*time.Millisecond, qt.IsTrue)
}

func TestRosterReplacesGoneMember(t *testing.T) {
	world := newWorld(1, 6)
	world.advance(3 * time.Second)
	qt.Assert(t, world.roster.Members, qt.HasLen, 3)
	gone := world.roster.Members[1]
	world.find(gone).paused = true
	var without, longest time.Duration
	for range 6 * time.Second / worldTick {
		world.advance(worldTick)
		without += worldTick
		if world.holder() != "" {
			without = 0
		}
		longest = max(longest, without)
	}
	t.Logf("longest time without a holder: %v", longest)
	qt.Assert(t, world.roster.Changing, qt.IsFalse)
	qt.Assert(t, world.roster.Members, qt.HasLen, 3)
	qt.Assert(t, world.roster.Contains(gone), qt.IsFalse)
	qt.Assert(t, world.changes, qt.Equals, 3)
	qt.Assert(t, world.holder(), qt.Not(qt.Equals), "")
	domains := map[string]bool{}
	for _, vm := range world.roster.Members {
		domains[string(world.find(vm).Domain)] = true
	}
	qt.Assert(t, domains, qt.HasLen, 3)
}
