package fleet_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/linecl"
)

// newPressureCluster returns three proxies that have the configuration of configurePriorities. The primary takes workTime for each
// statement.
func newPressureCluster(t *testing.T, workTime time.Duration) *cluster {
	cluster := newCluster(t, 3)
	cluster.configurePriorities()
	cluster.waitUntil(func() bool {
		_, answer := cluster.open(0, "urgent", "key-red")
		return answer == "READY I -"
	})
	time.Sleep(300 * time.Millisecond) // until the other proxies have the configuration, and the fleet is known
	cluster.group.Server("a").WorkTime = workTime
	return cluster
}

// configurePriorities writes a configuration with an urgent and a less urgent route and few connections.
func (cluster *cluster) configurePriorities() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.version++
	route := func(database string, priority, target int) map[string]any {
		return map[string]any{
			"name": "r-" + database, "database": database, "type": "primary", "service": "g1", "timeout-ms": 5000,
			"target-latency-ms": target, "priority": priority, "max-staleness-ms": 2000,
		}
	}
	cluster.store.Write("config", "main", map[string]any{
		"version":  cluster.version,
		"routes":   []any{route("urgent", 0, 2000), route("batch", 2, 4000)},
		"services": []any{map[string]any{"name": "g1", "max-conns": 4, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 3000},
		"tenants": []any{
			map[string]any{"name": "red", "api-keys": []string{"key-red"}, "rate-per-s": 5000, "burst": 5000},
			map[string]any{"name": "blue", "api-keys": []string{"key-blue"}, "rate-per-s": 5000, "burst": 5000},
		},
	})
}

// pressure counts the answers to the statements of one route.
type pressure struct{ served, refused, other atomic.Int64 }

func (pressure *pressure) add(reply linecl.Reply) {
	switch reply.Code {
	case linecl.Done:
		pressure.served.Add(1)
	case "BUSY":
		pressure.refused.Add(1)
	default:
		pressure.other.Add(1)
	}
}

// TestUrgentRouteUnderPressure has callers of a less urgent route ask for several times what the connections can do, at three
// proxies that lend to each other. It guards against urgent statements being refused while others are served.
func TestUrgentRouteUnderPressure(t *testing.T) {
	c := qt.New(t)
	cluster := newPressureCluster(t, 55*time.Millisecond)
	var urgent, batch pressure
	var calling sync.WaitGroup
	until := time.Now().Add(4 * time.Second)
	call := func(index int, route, key string, pause time.Duration, pressure *pressure) {
		client := cluster.connect(index, route, key)
		calling.Go(func() {
			for time.Now().Before(until) {
				pressure.add(client.Query("WRITE item one"))
				time.Sleep(pause)
			}
		})
	}
	for index := range cluster.settings {
		for _, key := range []string{"key-red", "key-blue"} {
			call(index, "urgent", key, 150*time.Millisecond, &urgent)
			for range 10 {
				call(index, "batch", key, 10*time.Millisecond, &batch)
			}
		}
	}
	calling.Wait()
	share := func(pressure *pressure) float64 {
		served := float64(pressure.served.Load())
		return served / max(1, served+float64(pressure.refused.Load()+pressure.other.Load()))
	}
	t.Logf("urgent: %d served, %d refused, %d other; batch: %d served, %d refused, %d other", urgent.served.Load(), urgent.refused.Load(),
		urgent.other.Load(), batch.served.Load(), batch.refused.Load(), batch.other.Load())
	c.Assert(share(&urgent) > 0.9, qt.IsTrue)
	c.Assert(share(&urgent) >= share(&batch), qt.IsTrue)
	c.Assert(batch.served.Load() > 0, qt.IsTrue)
	c.Assert(cluster.scrape("corianderspool_queue_waits_total{outcome=\"granted\""), qt.IsTrue)
}

// scrape reports whether a proxy shows a metric.
func (cluster *cluster) scrape(metric string) bool {
	for index := range cluster.settings {
		if strings.Contains(cluster.metrics(index), metric) {
			return true
		}
	}
	return false
}

// TestCallersThatLeaveWhileQueuedAtALender closes the connections of callers whose statements wait at a lender: the lender's
// queue is empty well before their deadlines, and a statement of another caller is served next.
func TestCallersThatLeaveWhileQueuedAtALender(t *testing.T) {
	c := qt.New(t)
	cluster := newPressureCluster(t, 300*time.Millisecond)
	var leaving []caller
	for index := range cluster.settings {
		for range 6 {
			client := cluster.connect(index, "batch", "key-red")
			leaving = append(leaving, client)
			go client.SendLine("QUERY leaving WRITE item one")
		}
	}
	cluster.waitUntil(func() bool { return cluster.scrape("corianderspool_queue_length{priority=\"2\"}") })
	began := time.Now()
	for _, client := range leaving {
		client.Close()
	}
	cluster.waitUntil(func() bool { return !cluster.scrape("corianderspool_queue_length{priority=\"2\"}") })
	c.Assert(time.Since(began) < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	c.Assert(cluster.scrape("corianderspool_queue_waits_total{outcome=\"withdrawn\",priority=\"2\",side=\"borrower\"}"), qt.IsTrue)
	cluster.waitUntil(func() bool { return cluster.connect(1, "batch", "key-red").execute("WRITE item two") == "" })
}
