package terms

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestPauseDoesNotCountAsDrain pauses the leader's proxy while a leaving primary drains. It guards against a term that is closed
// before requests that were held up by the pause can finish, whose outcomes are then unknown.
func TestPauseDoesNotCountAsDrain(t *testing.T) {
	c := qt.New(t)
	cluster := newStartedCluster(t)
	leading := cluster.proxies[0]
	cluster.servers[0].Leaving = true
	for _, proxy := range cluster.proxies {
		cluster.setServers(proxy)
	}
	for !leading.leader.switchover.draining {
		cluster.clock.Advance(time.Millisecond)
	}
	cluster.clock.Advance(100 * time.Millisecond)
	leading.paused = true
	cluster.clock.Advance(DefaultDrainTimeout - 50*time.Millisecond)
	cluster.resume(leading)
	resumedAt := cluster.clock.Now()
	for leading.leader.OpenTerm() == 1 {
		cluster.clock.Advance(time.Millisecond)
	}
	c.Assert(cluster.clock.Now().Sub(resumedAt) >= DefaultDrainTimeout, qt.IsTrue, qt.Commentf("%v", cluster.clock.Now().Sub(resumedAt)))
	cluster.clock.Advance(2 * time.Second)
	cluster.requireProgress(t)
	c.Assert(cluster.violations, qt.HasLen, 0)
	c.Assert(cluster.highest, qt.Equals, spool.Term(2))
}

// TestRepeatedPausesDoNotPreventDrain guards against a leader that is paused again and again and never hands over.
func TestRepeatedPausesDoNotPreventDrain(t *testing.T) {
	c := qt.New(t)
	leader := NewLeader("g", "vm0", 1)
	leader.switchover = switchover{draining: true, since: spool.Instant(time.Hour)}
	for elapsed := time.Duration(0); elapsed < maxDrainTimeouts*DefaultDrainTimeout; elapsed += DefaultDrainTimeout / 2 {
		now := leader.switchover.since.Add(elapsed)
		leader.pauseEndedAt = now
		c.Assert(leader.drained(now), qt.IsFalse)
	}
	now := leader.switchover.since.Add(maxDrainTimeouts * DefaultDrainTimeout)
	leader.pauseEndedAt = now
	c.Assert(leader.drained(now), qt.IsTrue)
}
