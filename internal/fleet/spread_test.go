package fleet_test

import (
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// metric returns the sum of a proxy's series whose name and labels match an expression.
func (cluster *cluster) metric(index int, expression string) (sum float64) {
	cluster.Helper()
	for _, match := range regexp.MustCompile(`(?m)^corianderspool_`+expression+` (\S+)$`).FindAllStringSubmatch(cluster.metrics(index), -1) {
		value, err := strconv.ParseFloat(match[1], 64)
		qt.Assert(cluster, err, qt.IsNil)
		sum += value
	}
	return sum
}

// writeRoutes writes the next version of the configuration with a number of routes.
func (cluster *cluster) writeRoutes(routes int) (version int) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.version++
	list := make([]any, 0, routes)
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "database": fmt.Sprintf("db%d", i*7919%100_003), "type": "primary", "service": "g1",
			"timeout-ms": 1000 + i%700, "target-latency-ms": 2000, "priority": 1, "max-staleness-ms": 2000 + i%900,
		})
	}
	cluster.store.Write("config", "main", map[string]any{
		"version": cluster.version, "routes": list, "services": []any{map[string]any{"name": "g1", "max-conns": 20}},
		"tenants": []any{map[string]any{"name": "red", "api-keys": []string{"key-red"}, "rate-per-s": 100, "burst": 100}},
	})
	return cluster.version
}

// TestLargeConfigurationSpreadsByTransfers guards against whole configurations on control connections, and against a change of
// one route that costs a large part of the body. All but the region's reader get each version by one transfer.
func TestLargeConfigurationSpreadsByTransfers(t *testing.T) {
	c := qt.New(t)
	const proxies = 6
	cluster := newCluster(t, proxies)
	time.Sleep(2500 * time.Millisecond) // until one of them reads for the region
	sent := 0.0
	for _, step := range []struct {
		routes int
		atMost float64 // bytes of all transfers
	}{{routes: 1500, atMost: proxies * 45_000}, {routes: 1501, atMost: proxies * 1000}} {
		began := time.Now()
		version := cluster.writeRoutes(step.routes)
		for index := range proxies {
			for cluster.metric(index, "config_version_in_effect") < float64(version) {
				c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue, qt.Commentf("proxy %d", index))
				time.Sleep(50 * time.Millisecond)
			}
		}
		took := time.Since(began)
		total := 0.0
		for index := range proxies {
			total += cluster.metric(index, `peer_sent_bytes_total\{.*kind="bulk".*\}`)
			c.Check(cluster.metric(index, `peer_sent_bytes_total\{.*kind="configuration".*\}`), qt.Equals, 0.0)
			c.Check(cluster.metric(index, `peer_dropped_messages_total\{.*\}`), qt.Equals, 0.0)
		}
		t.Logf("%d routes: %v, %.0f bytes of transfers", step.routes, took, total-sent)
		c.Check(took < cluster.settings[0].Bounds.ConfigApply, qt.IsTrue, qt.Commentf("%v", took))
		c.Check(total-sent > 0, qt.IsTrue)
		c.Check(total-sent <= step.atMost, qt.IsTrue, qt.Commentf("%.0f", total-sent))
		sent = total
	}
}

// TestConfigurationReachesARegionThatTheStoreRefuses guards against a region whose proxies read nothing and wait for the
// configuration: each change reaches them from the other region.
func TestConfigurationReachesARegionThatTheStoreRefuses(t *testing.T) {
	c := qt.New(t)
	const proxies, changes = 4, 4
	cluster := newCluster(t, proxies)
	for index := range proxies {
		cluster.stopFuncs[index]()
		settings := &cluster.settings[index]
		settings.Regions = map[spool.Domain]string{"z1": "r1", "z2": "r2"}
		if index >= proxies/2 {
			settings.Domain, settings.Region, settings.Store = "z2", "r2", "127.0.0.1:1"
			settings.Seeds = []string{cluster.settings[0].Peers}
		}
		cluster.start(index)
	}
	for index := range proxies {
		cluster.waitUntil(func() bool { return cluster.ready(index) })
	}
	time.Sleep(3 * time.Second) // until each region knows the other
	for range changes {
		began := time.Now()
		version := cluster.writeRoutes(10)
		for index := range proxies {
			for cluster.metric(index, "config_version_in_effect") < float64(version) {
				c.Assert(time.Since(began) < cluster.settings[0].Bounds.ConfigApply, qt.IsTrue, qt.Commentf("proxy %d", index))
				time.Sleep(10 * time.Millisecond)
			}
		}
		t.Logf("version %d in effect in both regions after %v", version, time.Since(began))
		time.Sleep(700 * time.Millisecond)
	}
}
