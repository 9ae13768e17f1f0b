package super_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core/elect"
)

// TestSwitchoverWaitsForReplicaThatRefusesProxies guards against the loss of commits that a replica confirms although it is not
// paused: it refuses the proxies' connections and still receives the log from the primary.
func TestSwitchoverWaitsForReplicaThatRefusesProxies(t *testing.T) {
	cluster := newCluster(t)
	cluster.group.Server("c").Refuse()
	cluster.startSupervisor("vm1", stubFleet{})
	cluster.register("a", true)
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	qt.Assert(t, cluster.group.PausedServers(), qt.HasLen, 0)
	qt.Assert(t, cluster.group.Server("c").Start(), qt.IsNil)
	cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
}

// TestRetiredPrimaryIsReplacedOnceCommitsAreClosed guards against a group without a primary: a replica stays out of reach until the
// leaving primary is sent no new work. It is then replaced if no proxy acknowledges its commits any more.
func TestRetiredPrimaryIsReplacedOnceCommitsAreClosed(t *testing.T) {
	for _, complete := range []bool{false, true} {
		cluster := newCluster(t)
		cluster.pool.SetDrain(0)
		cluster.group.Server("c").Refuse()
		cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Complete: complete, Reached: 2}})
		cluster.register("a", true)
		if complete {
			cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
			continue
		}
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	}
}

// TestPlannedHandoverWaitsForAllProxies guards against the loss of commits that a proxy acknowledges which was not told to ask the server
// that is promoted. Replicas are not paused for a planned handover, so that commits go on meanwhile.
func TestPlannedHandoverWaitsForAllProxies(t *testing.T) {
	for _, complete := range []bool{false, true} {
		cluster := newCluster(t)
		cluster.pool.SetDrain(7 * time.Second)
		paused := make(chan int, 8)
		cluster.onOrder = func() { paused <- len(cluster.group.PausedServers()) }
		cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Complete: complete}})
		cluster.register("a", true)
		if complete {
			qt.Assert(t, <-paused, qt.Equals, 0)
			continue
		}
		time.Sleep(1500 * time.Millisecond)
		qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	}
}
