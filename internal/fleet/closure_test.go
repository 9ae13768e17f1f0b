package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCrashedPrimaryIsReplacedWithoutAReplica guards against a group that stays without a primary because a replica does not
// answer: all proxies close the commits of the crashed primary, so that none is lost with the replica.
func TestCrashedPrimaryIsReplacedWithoutAReplica(t *testing.T) {
	cluster := newCluster(t, 3)
	caller := cluster.connect(0, "primary", "key-red")
	qt.Assert(t, caller.execute("WRITE item first"), qt.Equals, "")
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.group.Server("c").Refuse()
	cluster.group.Server("a").Kill()
	cluster.waitUntil(func() bool { return cluster.group.Primary() == "b" })
	cluster.waitUntil(func() bool { return caller.execute("WRITE item last") == "" })
	qt.Assert(t, cluster.group.WrittenValues("item")[0], qt.Equals, "first")
}
