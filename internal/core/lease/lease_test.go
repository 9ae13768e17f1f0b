package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"corianderspool.example/spool/internal/rapids"
	"corianderspool.example/spool/pkg/spool"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapids.Main(m, rapids.WithSeed(4), rapids.WithChecks(30)) }

// TestOneHolder draws faults and checks that no instant has two holders and that a holder comes back afterwards.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "proxies"))
		draws := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 2))
		world.clock.Advance(3 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "episodes") {
			for range draws.IntN(4) {
				faults[draws.IntN(len(faults))](world, world.any(draws))
				world.clock.Advance(time.Duration(draws.Int64N(int64(2 * time.Second))))
			}
			world.strike(draws)
			if draws.IntN(2) == 0 {
				world.heal()
			}
		}
		world.heal()
		world.clock.Advance(8 * time.Second)
		if world.violation != "" {
			t.Fatal(world.violation)
		}
		if world.holder() == "" {
			t.Fatalf("no holder after the faults ended; quorum %+v", world.quorum)
		}
	})
}

// strike pauses a proxy, mostly the holder, and wakes it on the far side of a partition while another one restarts.
func (world *world) strike(draws *rand.Rand) {
	proxy, other := world.any(draws), world.any(draws)
	if holder := world.holder(); holder != "" && draws.IntN(3) > 0 {
		proxy = world.find(holder)
	}
	proxy.paused = true
	world.clock.Advance(500*time.Millisecond + time.Duration(draws.Int64N(int64(400*time.Millisecond))))
	world.cross(proxy)
	world.wake(proxy)
	world.restart(world.any(draws))
	world.cross(other)
	world.clock.Advance(time.Duration(draws.Int64N(int64(4 * time.Second))))
	world.cross(proxy)
	world.cross(other)
}

// struck strikes a fleet twenty times and says where two holders met, if they did.
func struck(seed uint64, option Option) (violation string) {
	world := newWorld(seed, 5, option)
	draws := rand.New(rand.NewPCG(seed, 2))
	world.delay = 50 * time.Millisecond
	world.clock.Advance(3 * time.Second)
	for range 20 {
		world.strike(draws)
	}
	return world.violation
}

// TestMechanismsMatter shows at a seed for each mechanism that two holders meet only without it.
func TestMechanismsMatter(t *testing.T) {
	tests := []struct {
		name   string
		seed   uint64
		option Option
	}{
		{"counted from the arrival", 2, func(config *Config) { config.fromArrival = true }},
		{"quorum changed at once", 0, func(config *Config) { config.unsealed = true }},
		{"no abstention after a restart", 17, func(config *Config) { config.forgetful = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, struck(test.seed, func(*Config) {}), qt.Equals, "")
			violation := struck(test.seed, test.option)
			qt.Assert(t, violation, qt.Not(qt.Equals), "")
			t.Log(violation)
		})
	}
}

func TestTakeover(t *testing.T) {
	world := newWorld(1, 5)
	world.clock.Advance(3 * time.Second)
	first := world.holder()
	qt.Assert(t, first, qt.Not(qt.Equals), "")
	witness := world.find(world.quorum.Members[0])
	qt.Assert(t, witness.witness.Locate(worldRole, world.read(witness)).Holder, qt.Equals, string(first))
	world.find(first).paused = true
	started := world.clock.Now()
	for world.holder() == first || world.holder() == "" {
		world.clock.Advance(worldTick)
		qt.Assert(t, world.clock.Now().Sub(started) < 2*time.Second, qt.IsTrue)
	}
	t.Logf("taken over after %v", world.clock.Now().Sub(started))
	qt.Assert(t, world.clock.Now().Sub(started) < 1100*time.Millisecond, qt.IsTrue)
}

func TestQuorumReplacesGoneMember(t *testing.T) {
	world := newWorld(1, 6)
	world.clock.Advance(3 * time.Second)
	qt.Assert(t, world.quorum.Members, qt.HasLen, 3)
	gone := world.quorum.Members[1]
	world.find(gone).paused = true
	var without, longest time.Duration
	for range 6 * time.Second / worldTick {
		world.clock.Advance(worldTick)
		without += worldTick
		if world.holder() != "" {
			without = 0
		}
		longest = max(longest, without)
	}
	t.Logf("longest time without a holder: %v", longest)
	qt.Assert(t, world.quorum.Changing, qt.IsFalse)
	qt.Assert(t, world.quorum.Members, qt.HasLen, 3)
	qt.Assert(t, world.quorum.Contains(gone), qt.IsFalse)
	qt.Assert(t, world.changes, qt.Equals, 3)
	qt.Assert(t, world.holder(), qt.Not(qt.Equals), "")
	domains := map[string]bool{}
	for _, vm := range world.quorum.Members {
		domains[string(world.find(vm).Domain)] = true
	}
	qt.Assert(t, domains, qt.HasLen, 3)
}

// TestReadyAfterChange checks who must read the terms again: whoever could form a majority without an old one's member.
func TestReadyAfterChange(t *testing.T) {
	old := Quorum{Version: 1, Members: []spool.VM{"a", "b", "c", "d", "e"}}
	tests := []struct {
		name   string
		self   spool.VM
		direct bool
		base   spool.Version
		next   []spool.VM
		ready  bool
	}{
		{"member", "a", true, 1, []spool.VM{"a", "b", "c", "d", "f"}, true},
		{"never read the platform", "a", false, 1, []spool.VM{"a", "b", "c", "d", "f"}, false},
		{"new member", "f", true, 1, []spool.VM{"a", "b", "c", "d", "f"}, false},
		{"missed a change", "a", true, 2, []spool.VM{"a", "b", "c", "d", "f"}, false},
		{"fewer members", "a", true, 1, []spool.VM{"a", "b", "c"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			witness := NewWitness(test.self, 0)
			witness.Confirm(old, test.direct)
			witness.Confirm(Quorum{Version: 4, Base: test.base, Members: old.Members, Next: test.next, Changing: true}, false)
			qt.Assert(t, witness.Ready(spool.Instant(time.Hour)), qt.IsFalse)
			witness.Confirm(Quorum{Version: 5, Base: test.base, Members: test.next}, false)
			qt.Assert(t, witness.Ready(spool.Instant(time.Hour)), qt.Equals, test.ready)
		})
	}
}
