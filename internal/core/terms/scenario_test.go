package terms

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const scenarioLatency = 1500 * time.Microsecond

// started returns a world whose first proxy keeps the group, with the primary s0 in its failure domain.
func started(t *testing.T, options ...Option) *world {
	world := newWorld(5, scenarioLatency, options...)
	world.clock.Advance(3 * time.Second)
	qt.Assert(t, world.proxies[0].leader.OpenTerm(), qt.Equals, spool.Term(1))
	return world
}

// lostPromotion has the leader open term 2 elsewhere and die at once, with the platform down and the old primary back.
func lostPromotion(t *testing.T, options ...Option) *world {
	world := started(t, options...)
	world.isolated["d0"] = true
	for world.highest < 2 {
		world.clock.Advance(time.Millisecond)
	}
	world.platform.down = true
	for _, proxy := range world.proxies {
		proxy.paused = proxy.paused || proxy.leader.OpenTerm() == 2
	}
	world.isolated = map[string]bool{}
	world.clock.Advance(5 * time.Second)
	return world
}

// frozenLeader freezes the leader while the primary dies and wakes it after another leader has opened term 2.
func frozenLeader(t *testing.T, naive bool) *world {
	world := started(t)
	world.naive = naive
	for writes := world.writes; world.writes == writes; {
		world.clock.Advance(100 * time.Microsecond)
	}
	world.proxies[0].paused = true // with an answer under way
	world.clock.Advance(5 * time.Millisecond)
	world.servers[0].dead = true
	world.clock.Advance(4 * time.Second)
	qt.Assert(t, world.highest, qt.Equals, spool.Term(2))
	world.wake(world.proxies[0])
	world.clock.Advance(time.Second)
	return world
}

// cutLeader keeps the leader from the primary, which all others reach.
func cutLeader(t *testing.T, options ...Option) *world {
	world := started(t, options...)
	world.cut["vm0s0"] = true
	world.clock.Advance(4 * time.Second)
	return world
}

// TestMechanismsMatter shows for seed 5 that each mechanism, turned off, breaks what it is for.
func TestMechanismsMatter(t *testing.T) {
	noVote := func(config *Config) { config.noVote = true }
	noProbes := func(config *Config) { config.noProbes = true }
	t.Run("votes", func(t *testing.T) {
		qt.Assert(t, lostPromotion(t).violations, qt.HasLen, 0)
		world := lostPromotion(t, noVote)
		qt.Assert(t, len(world.violations) > 0, qt.IsTrue)
		t.Log(world.violations[0])
	})
	t.Run("fence", func(t *testing.T) {
		qt.Assert(t, frozenLeader(t, false).violations, qt.HasLen, 0)
		world := frozenLeader(t, true)
		qt.Assert(t, len(world.violations) > 0, qt.IsTrue)
		t.Log(world.violations[0])
	})
	t.Run("probes", func(t *testing.T) {
		world := cutLeader(t)
		world.requireProgress(t)
		qt.Assert(t, world.highest, qt.Equals, spool.Term(1))
		qt.Assert(t, cutLeader(t, noProbes).highest > 1, qt.IsTrue)
	})
}

// TestLostAnswer loses the answer of the conditional update that claims the term; the term is claimed once.
func TestLostAnswer(t *testing.T) {
	world := started(t)
	world.platform.loses = true
	world.platform.writes = 2
	world.servers[0].dead = true
	world.clock.Advance(3 * time.Second)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.highest, qt.Equals, spool.Term(2))
	qt.Assert(t, world.platform.owners, qt.HasLen, 2)
}

// TestRacingClaims has the claim of a frozen leader take effect at some time around its successor's.
func TestRacingClaims(t *testing.T) {
	conflicts := 0
	for late := 800 * time.Millisecond; late < 900*time.Millisecond; late += 2 * time.Millisecond {
		world := started(t)
		world.platform.delay = 2 * late
		world.servers[0].dead = true
		world.servers[1].log = world.servers[0].log
		for world.proxies[0].leader.phase != phaseClaiming {
			world.clock.Advance(time.Millisecond)
		}
		world.proxies[0].paused = true
		world.platform.delay = 20 * time.Millisecond
		world.clock.Advance(200 * time.Millisecond)
		world.servers[1].dead = true
		world.clock.Advance(3 * time.Second)
		qt.Assert(t, world.violations, qt.HasLen, 0)
		qt.Assert(t, world.opened[world.highest], qt.Equals, spool.Server("s2"))
		if world.highest == 3 {
			conflicts += world.platform.conflicts
		}
	}
	t.Logf("%d claims of the successor met a conflict", conflicts)
	qt.Assert(t, conflicts > 0, qt.IsTrue)
}

// TestPlatformOutage has the platform down for 60 s, and the leader's VM frozen in the meantime.
func TestPlatformOutage(t *testing.T) {
	world := started(t)
	world.platform.down = true
	world.clock.Advance(30 * time.Second)
	world.proxies[0].paused = true
	world.clock.Advance(30 * time.Second)
	world.requireProgress(t)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.highest, qt.Equals, spool.Term(1))
	last, first := world.longestGap(0)
	t.Logf("longest time without an acknowledgement: %v", first.Sub(last))
	qt.Assert(t, first.Sub(last) < gapTarget, qt.IsTrue)
}

// TestReturnDuringOutage has the primary out of reach and back while the platform can't take a claim.
func TestReturnDuringOutage(t *testing.T) {
	world := started(t)
	world.platform.down = true
	world.servers[0].dead = true
	world.clock.Advance(3 * time.Second)
	qt.Assert(t, world.proxies[0].leader.OpenTerm(), qt.Equals, spool.Term(0))
	world.servers[0].dead = false
	world.clock.Advance(time.Second)
	world.requireProgress(t)
	qt.Assert(t, world.highest, qt.Equals, spool.Term(1))
}

// TestLeavingPrimary hands over without losing an acknowledged write.
func TestLeavingPrimary(t *testing.T) {
	world := started(t)
	world.servers[0].Leaving = true
	for _, proxy := range world.proxies {
		world.setServers(proxy)
	}
	world.clock.Advance(2 * time.Second)
	world.requireProgress(t)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.highest, qt.Equals, spool.Term(2))
	qt.Assert(t, world.lost, qt.Equals, 0)
	last, first := world.longestGap(0)
	t.Logf("longest time without an acknowledgement: %v", first.Sub(last))
}

// TestLatePromotion has an order of a dead leader reach a replica long after; its term is passed over.
func TestLatePromotion(t *testing.T) {
	world := started(t)
	world.servers[2].promote(2)
	world.clock.Advance(3 * time.Second)
	world.requireProgress(t)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.opened[3], qt.Equals, spool.Server("s0"))
	qt.Assert(t, world.lost, qt.Equals, 0)
}

// longestGap returns the longest stretch without an acknowledgement that ends after the instant.
func (world *world) longestGap(since spool.Instant) (last, first spool.Instant) {
	for i, ack := range world.acks[1:] {
		if ack.at > since && ack.at.Sub(world.acks[i].at) > first.Sub(last) {
			last, first = world.acks[i].at, ack.at
		}
	}
	return last, first
}
