package terms

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const scenarioLatency = 1500 * time.Microsecond

// newStartedCluster returns a cluster whose first proxy leads the group, with the primary s0 in its failure domain.
func newStartedCluster(t *testing.T, options ...Option) *cluster {
	cluster := newCluster(5, scenarioLatency, options...)
	cluster.clock.Advance(3 * time.Second)
	qt.Assert(t, cluster.proxies[0].leader.OpenTerm(), qt.Equals, spool.Term(1))
	return cluster
}

// leaderDiesAfterPromotion stops the leader right after it opened term 2 with another primary. The platform is down, so
// the record does not show that the term was opened, and the old primary answers again.
func leaderDiesAfterPromotion(t *testing.T, options ...Option) *cluster {
	cluster := newStartedCluster(t, options...)
	cluster.isolated["d0"] = true
	for cluster.highest < 2 {
		cluster.clock.Advance(time.Millisecond)
	}
	cluster.platform.down = true
	for _, proxy := range cluster.proxies {
		proxy.paused = proxy.paused || proxy.leader.OpenTerm() == 2
	}
	cluster.isolated = map[string]bool{}
	cluster.clock.Advance(5 * time.Second)
	return cluster
}

// pauseLeaderDuringFailover pauses the leader while the primary dies and resumes it after another leader has opened
// term 2.
func pauseLeaderDuringFailover(t *testing.T, ignoreFence bool) *cluster {
	cluster := newStartedCluster(t)
	cluster.ignoreFence = ignoreFence
	for writes := cluster.writes; cluster.writes == writes; {
		cluster.clock.Advance(100 * time.Microsecond)
	}
	cluster.proxies[0].paused = true // with an answer in flight
	cluster.clock.Advance(5 * time.Millisecond)
	cluster.servers[0].dead = true
	cluster.clock.Advance(4 * time.Second)
	qt.Assert(t, cluster.highest, qt.Equals, spool.Term(2))
	cluster.resume(cluster.proxies[0])
	cluster.clock.Advance(time.Second)
	return cluster
}

// cutLeaderFromPrimary disconnects the leader from the primary, which all other proxies reach.
func cutLeaderFromPrimary(t *testing.T, options ...Option) *cluster {
	cluster := newStartedCluster(t, options...)
	cluster.cut["vm0s0"] = true
	cluster.clock.Advance(4 * time.Second)
	return cluster
}

// TestDisabledMechanismsFail checks that each scenario passes, and that it fails once votes, fence or probes are
// disabled.
func TestDisabledMechanismsFail(t *testing.T) {
	noVote := func(config *Config) { config.noVote = true }
	noProbes := func(config *Config) { config.noProbes = true }
	t.Run("votes", func(t *testing.T) {
		qt.Assert(t, leaderDiesAfterPromotion(t).violations, qt.HasLen, 0)
		cluster := leaderDiesAfterPromotion(t, noVote)
		qt.Assert(t, len(cluster.violations) > 0, qt.IsTrue)
		t.Log(cluster.violations[0])
	})
	t.Run("fence", func(t *testing.T) {
		qt.Assert(t, pauseLeaderDuringFailover(t, false).violations, qt.HasLen, 0)
		cluster := pauseLeaderDuringFailover(t, true)
		qt.Assert(t, len(cluster.violations) > 0, qt.IsTrue)
		t.Log(cluster.violations[0])
	})
	t.Run("probes", func(t *testing.T) {
		cluster := cutLeaderFromPrimary(t)
		cluster.requireProgress(t)
		qt.Assert(t, cluster.highest, qt.Equals, spool.Term(1))
		qt.Assert(t, cutLeaderFromPrimary(t, noProbes).highest > 1, qt.IsTrue)
	})
}

// TestLostClaimAnswer loses the answer of the conditional update that claims a term; the term must not be claimed
// twice.
func TestLostClaimAnswer(t *testing.T) {
	cluster := newStartedCluster(t)
	cluster.platform.losesAnswers = true
	cluster.platform.writes = 2
	cluster.servers[0].dead = true
	cluster.clock.Advance(3 * time.Second)
	qt.Assert(t, cluster.violations, qt.HasLen, 0)
	qt.Assert(t, cluster.highest, qt.Equals, spool.Term(2))
	qt.Assert(t, cluster.platform.primaryByTerm, qt.HasLen, 2)
}

// TestRacingClaims delays the claim of a paused leader so that it takes effect shortly before or after its successor's;
// neither order may violate an invariant.
func TestRacingClaims(t *testing.T) {
	conflicts := 0
	for late := 800 * time.Millisecond; late < 900*time.Millisecond; late += 2 * time.Millisecond {
		cluster := newStartedCluster(t)
		cluster.platform.delay = 2 * late
		cluster.servers[0].dead = true
		cluster.servers[1].log = cluster.servers[0].log
		for cluster.proxies[0].leader.phase != phaseClaiming {
			cluster.clock.Advance(time.Millisecond)
		}
		cluster.proxies[0].paused = true
		cluster.platform.delay = 20 * time.Millisecond
		cluster.clock.Advance(200 * time.Millisecond)
		cluster.servers[1].dead = true
		cluster.clock.Advance(3 * time.Second)
		qt.Assert(t, cluster.violations, qt.HasLen, 0)
		qt.Assert(t, cluster.opened[cluster.highest], qt.Equals, spool.Server("s2"))
		if cluster.highest == 3 {
			conflicts += cluster.platform.conflicts
		}
	}
	t.Logf("%d claims of the successor conflicted", conflicts)
	qt.Assert(t, conflicts > 0, qt.IsTrue)
}

// TestPlatformOutage pauses the leader's VM during a platform outage of 60 s; the term must continue under a new
// leader.
func TestPlatformOutage(t *testing.T) {
	cluster := newStartedCluster(t)
	cluster.platform.down = true
	cluster.clock.Advance(30 * time.Second)
	cluster.proxies[0].paused = true
	cluster.clock.Advance(30 * time.Second)
	cluster.requireProgress(t)
	qt.Assert(t, cluster.violations, qt.HasLen, 0)
	qt.Assert(t, cluster.highest, qt.Equals, spool.Term(1))
	last, first := cluster.longestGap(0)
	t.Logf("longest time without an acknowledgement: %v", first.Sub(last))
	qt.Assert(t, first.Sub(last) < gapLimit, qt.IsTrue)
}

// TestPrimaryReturnsDuringOutage lets the primary fail and return while the platform can't record a claim; its term
// must be reopened.
func TestPrimaryReturnsDuringOutage(t *testing.T) {
	cluster := newStartedCluster(t)
	cluster.platform.down = true
	cluster.servers[0].dead = true
	cluster.clock.Advance(3 * time.Second)
	qt.Assert(t, cluster.proxies[0].leader.OpenTerm(), qt.Equals, spool.Term(0))
	cluster.servers[0].dead = false
	cluster.clock.Advance(time.Second)
	cluster.requireProgress(t)
	qt.Assert(t, cluster.highest, qt.Equals, spool.Term(1))
}

// TestSwitchoverFromLeavingPrimary checks that a planned switchover loses no acknowledged write.
func TestSwitchoverFromLeavingPrimary(t *testing.T) {
	cluster := newStartedCluster(t)
	cluster.servers[0].Leaving = true
	for _, proxy := range cluster.proxies {
		cluster.setServers(proxy)
	}
	cluster.clock.Advance(2 * time.Second)
	cluster.requireProgress(t)
	qt.Assert(t, cluster.violations, qt.HasLen, 0)
	qt.Assert(t, cluster.highest, qt.Equals, spool.Term(2))
	qt.Assert(t, cluster.lost, qt.Equals, 0)
	last, first := cluster.longestGap(0)
	t.Logf("longest time without an acknowledgement: %v", first.Sub(last))
}

// TestDelayedPromoteOrder promotes a replica by a late order of a dead leader; the current leader must raise its term
// above the one of that order.
func TestDelayedPromoteOrder(t *testing.T) {
	cluster := newStartedCluster(t)
	cluster.servers[2].promote(2)
	cluster.clock.Advance(3 * time.Second)
	cluster.requireProgress(t)
	qt.Assert(t, cluster.violations, qt.HasLen, 0)
	qt.Assert(t, cluster.opened[3], qt.Equals, spool.Server("s0"))
	qt.Assert(t, cluster.lost, qt.Equals, 0)
}

// longestGap returns the longest interval between two acknowledgements that ends after since.
func (cluster *cluster) longestGap(since spool.Instant) (last, first spool.Instant) {
	for i, ack := range cluster.acks[1:] {
		if ack.at > since && ack.at.Sub(cluster.acks[i].at) > first.Sub(last) {
			last, first = cluster.acks[i].at, ack.at
		}
	}
	return last, first
}
