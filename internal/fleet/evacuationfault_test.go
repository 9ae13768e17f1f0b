package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/fake/kvsrv"
)

// TestEvacuationWithoutWatchEvents evacuates a failure domain and withdraws the evacuation while watches of the store report no
// changes: the lists at changed versions keep the bound, also for an open transaction.
func TestEvacuationWithoutWatchEvents(t *testing.T) {
	c := qt.New(t)
	layout, logs := threeDomains()
	cluster := newPlacedCluster(t, 3, layout)
	time.Sleep(superviseDelay)
	long := cluster.openTransactionAt(1, "b")
	cluster.store.SetFaults(kvsrv.Faults{DropEvents: true})
	written := cluster.evacuate("z2")
	code := ""
	for ; !failed(code) && time.Since(written) < layout.evacuate; time.Sleep(20 * time.Millisecond) {
		code = long.execute("READ long")
	}
	t.Logf("open transaction ended by %s %v after the write", code, time.Since(written))
	c.Assert(code, qt.Equals, "ABORTED")
	time.Sleep(time.Until(written.Add(layout.evacuate)))
	arrival := cluster.group.Server("b").LastArrival()
	c.Assert(arrival.At.Sub(written) < layout.evacuate-time.Second, qt.IsTrue, qt.Commentf("%q after %v", arrival.Line, arrival.At.Sub(written)))
	cluster.store.Remove("evacuations", "z2")
	cluster.waitUntil(func() bool {
		return logs.FilterField(zap.Int("Event", int(event.EvacuationWithdrawn))).Len() == len(cluster.settings)
	})
}
