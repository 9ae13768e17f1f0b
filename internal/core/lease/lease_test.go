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

// TestAtMostOneHolder injects random faults and checks that no two proxies ever hold the lease at the same instant and
// that one holds it again after the faults end.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 7).Draw(t, "proxies"))
		draws := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 2))
		simulation.clock.Advance(3 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "episodes") {
			for range draws.IntN(4) {
				faults[draws.IntN(len(faults))](simulation, simulation.randomProxy(draws))
				simulation.clock.Advance(time.Duration(draws.Int64N(int64(2 * time.Second))))
			}
			simulation.pauseAndPartition(draws)
			if draws.IntN(2) == 0 {
				simulation.endFaults()
			}
		}
		simulation.endFaults()
		simulation.clock.Advance(8 * time.Second)
		if simulation.violation != "" {
			t.Fatal(simulation.violation)
		}
		if simulation.holder() == "" {
			t.Fatalf("no holder after the faults ended; quorum %+v", simulation.quorum)
		}
	})
}

// pauseAndPartition pauses a proxy, mostly the holder, and resumes it across a partition while another one restarts.
func (simulation *simulation) pauseAndPartition(draws *rand.Rand) {
	proxy, other := simulation.randomProxy(draws), simulation.randomProxy(draws)
	if holder := simulation.holder(); holder != "" && draws.IntN(3) > 0 {
		proxy = simulation.find(holder)
	}
	proxy.paused = true
	simulation.clock.Advance(500*time.Millisecond + time.Duration(draws.Int64N(int64(400*time.Millisecond))))
	simulation.togglePartition(proxy)
	simulation.resume(proxy)
	simulation.restart(simulation.randomProxy(draws))
	simulation.togglePartition(other)
	simulation.clock.Advance(time.Duration(draws.Int64N(int64(4 * time.Second))))
	simulation.togglePartition(proxy)
	simulation.togglePartition(other)
}

// runFaults repeats pauseAndPartition twenty times and describes the first overlap of two holders, if any.
func runFaults(seed uint64, option Option) (violation string) {
	simulation := newSimulation(seed, 5, option)
	draws := rand.New(rand.NewPCG(seed, 2))
	simulation.delay = 50 * time.Millisecond
	simulation.clock.Advance(3 * time.Second)
	for range 20 {
		simulation.pauseAndPartition(draws)
	}
	return simulation.violation
}

// TestTwoHoldersWithoutMechanism checks, with one seed for each mechanism, that two proxies hold the lease at once only
// when the mechanism is disabled.
func TestTwoHoldersWithoutMechanism(t *testing.T) {
	tests := []struct {
		name   string
		seed   uint64
		option Option
	}{
		{"vote counted from the arrival of its answer", 2, func(config *Config) { config.countFromArrival = true }},
		{"quorum changed without waiting for old votes", 0, func(config *Config) { config.completeAtOnce = true }},
		{"no abstention after a restart", 17, func(config *Config) { config.voteAtStart = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, runFaults(test.seed, func(*Config) {}), qt.Equals, "")
			violation := runFaults(test.seed, test.option)
			qt.Assert(t, violation, qt.Not(qt.Equals), "")
			t.Log(violation)
		})
	}
}

func TestTakeoverTime(t *testing.T) {
	simulation := newSimulation(1, 5)
	simulation.clock.Advance(3 * time.Second)
	first := simulation.holder()
	qt.Assert(t, first, qt.Not(qt.Equals), "")
	witness := simulation.find(simulation.quorum.Members[0])
	qt.Assert(t, witness.witness.Locate(testRole, simulation.localTime(witness)).Holder, qt.Equals, string(first))
	simulation.find(first).paused = true
	started := simulation.clock.Now()
	for simulation.holder() == first || simulation.holder() == "" {
		simulation.clock.Advance(tickInterval)
		qt.Assert(t, simulation.clock.Now().Sub(started) < 2*time.Second, qt.IsTrue)
	}
	t.Logf("taken over after %v", simulation.clock.Now().Sub(started))
	qt.Assert(t, simulation.clock.Now().Sub(started) < 1100*time.Millisecond, qt.IsTrue)
}

func TestQuorumReplacesAbsentMember(t *testing.T) {
	simulation := newSimulation(1, 6)
	simulation.clock.Advance(3 * time.Second)
	qt.Assert(t, simulation.quorum.Members, qt.HasLen, 3)
	absent := simulation.quorum.Members[1]
	simulation.find(absent).paused = true
	var current, longest time.Duration
	for range 6 * time.Second / tickInterval {
		simulation.clock.Advance(tickInterval)
		current += tickInterval
		if simulation.holder() != "" {
			current = 0
		}
		longest = max(longest, current)
	}
	t.Logf("longest time without a holder: %v", longest)
	qt.Assert(t, simulation.quorum.Changing, qt.IsFalse)
	qt.Assert(t, simulation.quorum.Members, qt.HasLen, 3)
	qt.Assert(t, simulation.quorum.Contains(absent), qt.IsFalse)
	qt.Assert(t, simulation.quorumWrites, qt.Equals, 3)
	qt.Assert(t, simulation.holder(), qt.Not(qt.Equals), "")
	domains := map[string]bool{}
	for _, vm := range simulation.quorum.Members {
		domains[string(simulation.find(vm).Domain)] = true
	}
	qt.Assert(t, domains, qt.HasLen, 3)
}

// TestReadyAfterChange checks which witnesses must read the terms again after a change of the quorum: those that could
// form a majority without a member of an old majority.
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
		{"without a direct read", "a", false, 1, []spool.VM{"a", "b", "c", "d", "f"}, false},
		{"new member", "f", true, 1, []spool.VM{"a", "b", "c", "d", "f"}, false},
		{"missed a change", "a", true, 2, []spool.VM{"a", "b", "c", "d", "f"}, false},
		{"fewer members", "a", true, 1, []spool.VM{"a", "b", "c"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			witness := NewWitness(test.self, 0)
			witness.SetQuorum(old, test.direct)
			witness.SetQuorum(Quorum{Version: 4, Base: test.base, Members: old.Members, Next: test.next, Changing: true}, false)
			qt.Assert(t, witness.Ready(spool.Instant(time.Hour)), qt.IsFalse)
			witness.SetQuorum(Quorum{Version: 5, Base: test.base, Members: test.next}, false)
			qt.Assert(t, witness.Ready(spool.Instant(time.Hour)), qt.Equals, test.ready)
		})
	}
}
