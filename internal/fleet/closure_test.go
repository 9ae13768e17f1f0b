package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestCrashedPrimaryIsReplacedWithoutAReplica guards against a group that stays without a primary because a replica does not
// answer: all proxies close the commits of the crashed primary, so that none is lost with the replica.
func TestCrashedPrimaryIsReplacedWithoutAReplica(t *testing.T) {
	cluster := newCluster(t, 3)
	caller := cluster.connect(0, "primary", "key-red")
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	qt.Assert(t, caller.execute("WRITE item first"), qt.Equals, "")
	cluster.group.Server("c").Refuse()
	cluster.group.Server("a").Kill()
	cluster.waitUntil(func() bool { return cluster.group.Primary() == "b" })
	cluster.waitUntil(func() bool { return caller.execute("WRITE item last") == "" })
	qt.Assert(t, cluster.group.WrittenValues("item")[0], qt.Equals, "first")
}

// TestRestartedProxyDoesNotVouchForCommits guards against the loss of commits that a proxy acknowledged before it restarted: with
// the primary gone and the other replica behind, the replica that does not answer alone holds them.
func TestRestartedProxyDoesNotVouchForCommits(t *testing.T) {
	cluster := newCluster(t, 3)
	caller := cluster.connect(1, "primary", "key-red")
	qt.Assert(t, caller.execute("WRITE item first"), qt.Equals, "")
	cluster.group.Server("b").StopReceiving()
	qt.Assert(t, caller.execute("WRITE item second"), qt.Equals, "")
	cluster.restart(1)
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.group.Server("c").Refuse()
	cluster.group.Server("a").Kill()
	time.Sleep(4 * time.Second)
	qt.Assert(t, cluster.group.Primary(), qt.Equals, spool.Server("a"))
	qt.Assert(t, cluster.group.Server("c").Start(), qt.IsNil)
	cluster.waitUntil(func() bool { return cluster.group.Primary() != "a" })
	qt.Assert(t, cluster.group.WrittenValues("item"), qt.DeepEquals, []string{"first", "second"})
}

// TestIdleGroupIsServedAfterProxiesRestart guards against a group without writes that gets no primary after its proxies restarted:
// the position that the primary told a supervisor since shows that the replica which answers holds all commits.
func TestIdleGroupIsServedAfterProxiesRestart(t *testing.T) {
	cluster := newCluster(t, 3)
	caller := cluster.connect(1, "primary", "key-red")
	qt.Assert(t, caller.execute("WRITE item first"), qt.Equals, "")
	for i := range cluster.settings {
		cluster.restart(i)
	}
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.group.Server("c").Refuse()
	cluster.group.Server("a").Kill()
	cluster.waitUntil(func() bool { return cluster.group.Primary() == "b" })
	qt.Assert(t, cluster.group.WrittenValues("item"), qt.DeepEquals, []string{"first"})
}
