package super_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
