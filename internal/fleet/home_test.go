package fleet_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// configureHomes writes a configuration with a read and a write route for each list of home regions, and the home regions of the
// team blue.
func (cluster *cluster) configureHomes(homes map[string][]string, blue []string) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.version++
	var routes []any
	for name, regions := range homes {
		for _, kind := range []string{"primary", "read_your_writes"} {
			routes = append(routes, map[string]any{
				"database": name + "-" + strings.Split(kind, "_")[0], "type": kind, "service": "g1", "timeout-ms": 1000,
				"target-latency-ms": 2000, "priority": 1, "max-staleness-ms": 2000, "allowed-regions": regions,
			})
		}
	}
	team := func(name string, regions []string) map[string]any {
		return map[string]any{"name": name, "api-keys": []string{"key-" + name}, "rate-per-s": 1000, "burst": 1000, "allowed-regions": regions}
	}
	cluster.store.Write("config", "main", map[string]any{
		"version": cluster.version, "routes": routes,
		"services": []any{map[string]any{"name": "g1", "max-conns": 20, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 3000},
		"tenants":  []any{team("red", nil), team("blue", blue)},
	})
}

// serversOf returns the servers that executed statements whose text contains a marker.
func (cluster *cluster) serversOf(marker string) map[spool.Server]int {
	counts := map[spool.Server]int{}
	for _, execution := range cluster.group.Executions() {
		if strings.Contains(execution.Text, marker) {
			counts[execution.Server]++
		}
	}
	return counts
}

// TestHomeRegionsHoldAfterFailover runs requests with home regions before and after the primary moves out of them: no statement
// reaches a server elsewhere, and writes are refused as not run.
func TestHomeRegionsHoldAfterFailover(t *testing.T) {
	c := qt.New(t)
	layout, logs := twoRegions()
	cluster := newPlacedCluster(t, 3, layout)
	cluster.configureHomes(map[string][]string{"north": {"r1"}, "south": {"r2"}, "any": nil, "moon": {"r9"}}, []string{"r2"})
	time.Sleep(superviseDelay + time.Second)
	north, northRead := cluster.connect(2, "north-primary", "key-red"), cluster.connect(2, "north-read", "key-red")
	south, southRead := cluster.connect(0, "south-primary", "key-red"), cluster.connect(0, "south-read", "key-red")
	moon, both := cluster.connect(0, "moon-read", "key-red"), cluster.connect(1, "north-read", "key-blue")
	anyBlue := cluster.connect(1, "any-read", "key-blue")
	for count := range 20 {
		c.Assert(north.execute("WRITE north one"), qt.Equals, "")
		c.Assert(northRead.execute("READ north"), qt.Equals, "one", qt.Commentf("%d", count))
		c.Assert(southRead.execute("READ south"), qt.Equals, "none")
		c.Assert(anyBlue.execute("READ blue"), qt.Equals, "none")
	}
	c.Assert(south.execute("WRITE south one"), qt.Equals, "BUSY")
	c.Assert(moon.execute("READ moon"), qt.Equals, "BUSY")
	c.Assert(both.execute("READ both"), qt.Equals, "BUSY")
	transaction := cluster.connect(2, "north-primary", "key-red")
	c.Assert(transaction.execute("BEGIN"), qt.Equals, "")
	c.Assert(transaction.execute("WRITE north two"), qt.Equals, "")
	cluster.group.Server("b").Kill()
	cluster.group.Server("a").Kill()
	cluster.waitUntil(func() bool { return cluster.group.Primary() == "c" })
	c.Assert(cluster.group.Server("b").Start(), qt.IsNil) // so that a replica confirms commits
	cluster.waitUntil(func() bool { return south.execute("WRITE south two") == "" })
	c.Assert(transaction.execute("WRITE north three"), qt.Equals, "ABORTED")
	for range 5 {
		c.Assert(north.execute("WRITE north four"), qt.Equals, "BUSY")
		northRead.execute("READ north")
	}
	t.Logf("north %v, south %v, blue %v", cluster.serversOf("north"), cluster.serversOf("south"), cluster.serversOf("blue"))
	c.Assert(cluster.serversOf("north")["c"], qt.Equals, 0)
	for _, marker := range []string{"south", "blue"} {
		c.Assert(cluster.serversOf(marker)["a"]+cluster.serversOf(marker)["b"], qt.Equals, 0, qt.Commentf(marker))
	}
	c.Assert(cluster.serversOf("moon"), qt.HasLen, 0)
	c.Assert(cluster.serversOf("both"), qt.HasLen, 0)
	c.Assert(logs.FilterField(zap.Int("Event", int(event.HomeRegionUnknown))).Len(), qt.Equals, 3)
}

// TestChangedHomeRegionsHoldForOpenTransactions changes the home regions of a route while a transaction is open: its next
// statement is not sent.
func TestChangedHomeRegionsHoldForOpenTransactions(t *testing.T) {
	c := qt.New(t)
	layout, _ := twoRegions()
	cluster := newPlacedCluster(t, 3, layout)
	cluster.configureHomes(map[string][]string{"any": nil}, nil)
	time.Sleep(superviseDelay)
	client := cluster.connect(0, "any-primary", "key-red")
	c.Assert(client.execute("BEGIN"), qt.Equals, "")
	c.Assert(client.execute("WRITE moving one"), qt.Equals, "")
	cluster.configureHomes(map[string][]string{"any": {"r2"}}, nil)
	time.Sleep(2 * time.Second)
	c.Assert(client.execute("WRITE moving two"), qt.Equals, "ABORTED")
	c.Assert(client.execute("ROLLBACK"), qt.Equals, "")
	c.Assert(client.execute("WRITE moving three"), qt.Equals, "BUSY")
	c.Assert(cluster.serversOf("moving"), qt.DeepEquals, map[spool.Server]int{"a": 1})
}
