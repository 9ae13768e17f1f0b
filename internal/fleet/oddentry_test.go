package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/pkg/spool"
)

// panickingAdapter panics on the entry of one server.
type panickingAdapter struct{ spool.Adapter }

// ParseServer decodes an entry, or panics.
func (adapter panickingAdapter) ParseServer(object spool.Object) (spool.RegisteredServer, error) {
	if object.Name == "odd" {
		panic("odd entry")
	}
	return adapter.Adapter.ParseServer(object)
}

// TestEntryThatPanicsLeavesTheOthersInUse guards against an entry of the registry that ends the process of each proxy which reads
// it, or keeps them from following the list.
func TestEntryThatPanicsLeavesTheOthersInUse(t *testing.T) {
	c := qt.New(t)
	cluster := newPlacedCluster(t, 2, layout{
		logger: zap.NewNop(), adapter: func(adapter spool.Adapter) spool.Adapter { return panickingAdapter{adapter} },
	})
	cluster.store.Write("servers", "odd", map[string]any{"service": "g1"})
	caller := cluster.connect(1, "primary", "key-red")
	c.Assert(caller.execute("WRITE item one"), qt.Equals, "")
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.group.Server("a").Kill()
	cluster.waitUntil(func() bool { return caller.execute("WRITE item two") == "" })
	c.Assert(cluster.group.WrittenValues("item")[0], qt.Equals, "one")
}
