package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/kvsrv"
)

// TestShortOutageOfTheStoreEnds guards against proxies that follow no servers and replace no primary after an outage of the store in
// which a watch failed twice and no other call did: they count as not reaching the store for ever.
func TestShortOutageOfTheStoreEnds(t *testing.T) {
	cluster := newCluster(t, 1)
	caller := cluster.connect(0, "primary", "key-red")
	qt.Assert(t, caller.execute("WRITE item one"), qt.Equals, "")
	time.Sleep(2 * time.Second)  // until the proxy supervises groups
	cluster.register("draining") // ends the watch that waits
	cluster.store.SetFaults(kvsrv.Faults{Reset: true})
	time.Sleep(800 * time.Millisecond)
	cluster.store.SetFaults(kvsrv.Faults{})
	cluster.waitUntil(func() bool { return cluster.group.Primary() != "a" })
}
