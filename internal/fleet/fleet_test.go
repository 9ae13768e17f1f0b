package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/fake/linecl"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/fake/ports"
	"corianderspool.example/spool/internal/fleet"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// cluster is a fleet of proxies with a group of backend servers and the platform.
type cluster struct {
	*testing.T
	store     *kvsrv.Server
	group     *linesrv.Group
	mutex     sync.Mutex
	version   int
	ports     []string // chosen together: a chosen port without a listener yet would be chosen again
	settings  []spool.FleetSettings
	stopFuncs []func()
	layout    layout
	promote   func(server spool.Server) // carries a promotion out instead of at once; nil if not set
}

// layout places servers and proxies in failure domains and regions; the zero value has one of each.
type layout struct {
	serverDomains map[spool.Server]string
	proxyDomains  []spool.Domain
	regions       map[spool.Domain]string
	evacuate      time.Duration
	adjust        func(index int, settings *spool.FleetSettings) // before the start; nil for none
	logger        *zap.Logger
	adapter       func(adapter spool.Adapter) spool.Adapter // nil to use the platform's as it is
}

// domainOf returns the failure domain of a server.
func (layout layout) domainOf(server spool.Server) string {
	if domain, known := layout.serverDomains[server]; known {
		return domain
	}
	return "z1"
}

// place sets the failure domain and the region of a proxy.
func (layout layout) place(index int, settings *spool.FleetSettings) {
	settings.Bounds.Evacuate = layout.evacuate
	if layout.regions != nil {
		settings.Domain = layout.proxyDomains[index]
		settings.Regions, settings.Region = layout.regions, layout.regions[settings.Domain]
	}
	if layout.adjust != nil {
		layout.adjust(index, settings)
	}
}

func newCluster(t *testing.T, proxies int) *cluster {
	return newPlacedCluster(t, proxies, layout{logger: zap.NewNop()})
}

func newPlacedCluster(t *testing.T, proxies int, layout layout) *cluster {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	cluster := &cluster{T: t, group: group, layout: layout}
	cluster.store = kvsrv.New(func(_, server string) bool {
		if cluster.promote != nil {
			cluster.promote(spool.Server(server))
			return true
		}
		group.Promote(spool.Server(server))
		cluster.register("ready")
		return true
	})
	t.Cleanup(cluster.store.Close)
	cluster.register("ready")
	cluster.configure(100, "key-red")
	t.Cleanup(func() {
		var stopping sync.WaitGroup
		for _, stop := range cluster.stopFuncs {
			stopping.Go(stop)
		}
		stopping.Wait()
	})
	cluster.ports, err = ports.FreeAddresses(4 * proxies)
	qt.Assert(t, err, qt.IsNil)
	for i := range proxies {
		cluster.start(i)
	}
	for i := range proxies {
		cluster.waitUntil(func() bool { return cluster.ready(i) })
	}
	return cluster
}

// configure writes the next version of the configuration.
func (cluster *cluster) configure(rate int, keys ...string) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.version++
	route := func(database, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + database, "database": database, "type": kind, "service": "g1", "timeout-ms": 1000,
			"target-latency-ms": 2000, "priority": 1, "max-staleness-ms": 2000,
		}
	}
	cluster.store.Write("config", "main", map[string]any{
		"version":  cluster.version,
		"routes":   []any{route("primary", "primary"), route("session", "read_your_writes")},
		"services": []any{map[string]any{"name": "g1", "max-conns": 20, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 3000},
		"tenants":  []any{map[string]any{"name": "red", "api-keys": keys, "rate-per-s": rate, "burst": rate}},
	})
}

// register writes the server entries, the primary's with the given state.
func (cluster *cluster) register(state string) {
	for _, server := range cluster.group.Servers() {
		role, shown := "replica", "ready"
		if server.ID == cluster.group.Primary() {
			role, shown = "primary", state
		}
		cluster.store.Write("servers", string(server.ID), map[string]any{
			"service": "g1", "address": server.Address, "zone": cluster.layout.domainOf(server.ID), "slots": 5, "state": shown, "db-role": role, "born": 1,
		})
	}
}

func (cluster *cluster) start(index int) {
	if index == len(cluster.settings) {
		chosen := cluster.ports[4*index : 4*index+4]
		cluster.settings = append(cluster.settings, spool.FleetSettings{
			VM: spool.VM(fmt.Sprintf("vm%d", index)), Domain: "z1", Region: "r1",
			Regions: map[spool.Domain]string{"z1": "r1"}, Callers: chosen[0], Readiness: chosen[1], Peers: chosen[2],
			Metrics: chosen[3], MemoryBytes: 200 << 20, Descriptors: 1000,
			Store: cluster.store.Address(), PromotionAddress: cluster.store.Address(),
			Bounds: spool.FleetBounds{
				ConfigApply: 4 * time.Second, Drain: 7 * time.Second, Grace: 4 * time.Second, CatchUp: 2 * time.Second,
			},
		})
		cluster.layout.place(index, &cluster.settings[index])
		cluster.stopFuncs = append(cluster.stopFuncs, nil)
	}
	settings := cluster.settings[index]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		var adapter spool.Adapter = platform.New(settings, sock.Dialer(sock.DefaultUserTimeout))
		if cluster.layout.adapter != nil {
			adapter = cluster.layout.adapter(adapter)
		}
		done <- fleet.New(settings, adapter, clock.Real{}, cluster.layout.logger).Run(ctx)
	}()
	var once sync.Once
	cluster.stopFuncs[index] = func() {
		once.Do(func() {
			cancel()
			qt.Check(cluster, <-done, qt.IsNil)
		})
	}
}

// restart stops a proxy, starts it again and waits until it is ready.
func (cluster *cluster) restart(index int) {
	cluster.Helper()
	cluster.stopFuncs[index]()
	cluster.start(index)
	cluster.waitUntil(func() bool { return cluster.ready(index) })
}

func (cluster *cluster) ready(index int) bool {
	response, err := http.Get("http://" + cluster.settings[index].Readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// metrics returns the text of a running proxy's metrics.
func (cluster *cluster) metrics(index int) string {
	cluster.Helper()
	response, err := http.Get("http://" + cluster.settings[index].Metrics + "/metrics")
	qt.Assert(cluster, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	qt.Assert(cluster, err, qt.IsNil)
	return string(text)
}

func (cluster *cluster) waitUntil(condition func() bool) {
	cluster.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			cluster.Fatal("condition not met within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// caller is a connection of a caller.
type caller struct{ *linecl.Client }

// connect opens a session and requires that it is accepted.
func (cluster *cluster) connect(index int, route, key string) caller {
	caller, answer := cluster.open(index, route, key)
	qt.Assert(cluster, answer, qt.Equals, "READY I -")
	return caller
}

// open connects and returns the answer to START.
func (cluster *cluster) open(index int, route, key string) (caller, string) {
	client, err := linecl.Dial(cluster.settings[index].Callers)
	qt.Assert(cluster, err, qt.IsNil)
	cluster.Cleanup(client.Close)
	return caller{client}, client.Open(route, key)
}

// execute returns the row of a statement's answer, an empty string if it has none, or the code of its error.
func (caller caller) execute(text string) string {
	reply := caller.Query(text)
	if reply.Code != linecl.Done {
		return reply.Code
	}
	return reply.Row
}

func TestFleetServesReadsAndWrites(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 2)
	writer, reader := cluster.connect(0, "session", "key-red"), cluster.connect(1, "primary", "key-red")
	c.Assert(writer.execute("WRITE item one"), qt.Equals, "")
	c.Assert(writer.execute("READ item"), qt.Equals, "one")
	c.Assert(reader.execute("READ item"), qt.Equals, "one")
	c.Assert(cluster.metrics(0), qt.Contains, `corianderspool_requests_total{team="red",verdict="answered"} 2`)
}

// TestCrashedPrimaryIsReplacedByTheFleet kills the primary: a caller's writes succeed again within 2.5 s, and no
// acknowledged write is lost.
func TestCrashedPrimaryIsReplacedByTheFleet(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 3)
	caller := cluster.connect(0, "primary", "key-red")
	c.Assert(caller.execute("WRITE item one"), qt.Equals, "")
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	began := time.Now()
	cluster.group.Server("a").Kill()
	cluster.waitUntil(func() bool { return caller.execute("WRITE item two") == "" })
	c.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	c.Assert(cluster.group.WrittenValues("item")[0], qt.Equals, "one")
}

// TestConfigurationReachesProxiesWithoutWatchEvents revokes a key while watches of the store return no changes: the proxies
// learn of it from reads and heartbeats in time, and the session of the revoked key ends.
func TestConfigurationReachesProxiesWithoutWatchEvents(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 2)
	idle := cluster.connect(1, "primary", "key-red")
	c.Assert(idle.execute("WRITE item one"), qt.Equals, "")
	time.Sleep(1200 * time.Millisecond) // until heartbeats arrive in both directions
	cluster.store.SetFaults(kvsrv.Faults{DropEvents: true})
	cluster.configure(100, "key-blue")
	c.Assert(idle.ReadLine(), qt.Matches, "ERR NOAUTH .*")
	began := time.Now()
	cluster.waitUntil(func() bool {
		_, answer := cluster.open(0, "primary", "key-blue")
		return answer == "READY I -"
	})
	c.Assert(time.Since(began) < cluster.settings[0].Bounds.ConfigApply, qt.IsTrue)
	fresh := cluster.connect(0, "primary", "key-blue")
	c.Assert(fresh.execute("READ item"), qt.Equals, "one")
}

// TestRateLimitHoldsAcrossTheFleet exceeds a team's rate through all proxies: together they serve at least the rate and at
// most the rate plus the burst.
func TestRateLimitHoldsAcrossTheFleet(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 3)
	const rate = 20
	cluster.configure(rate, "key-red")
	time.Sleep(cluster.settings[0].Bounds.ConfigApply)
	var asking sync.WaitGroup
	var mutex sync.Mutex
	served, refused := 0, 0
	began := time.Now()
	for index := range 3 {
		caller := cluster.connect(index, "session", "key-red")
		asking.Go(func() {
			for time.Since(began) < 3*time.Second {
				answer := caller.execute("READ item")
				mutex.Lock()
				if answer == "TOOMANY" {
					refused++
				} else {
					served++
				}
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	c.Assert(served <= 4*rate+3, qt.IsTrue, qt.Commentf("%d", served))
	c.Assert(served >= 3*rate, qt.IsTrue, qt.Commentf("%d", served))
	c.Assert(refused > 0, qt.IsTrue)
}

// TestFleetServesDuringStoreOutage checks that statements are served while the store is unavailable, and that a proxy that
// starts meanwhile gets the configuration from a seed.
func TestFleetServesDuringStoreOutage(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 2)
	caller := cluster.connect(0, "session", "key-red")
	time.Sleep(time.Second)
	cluster.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	c.Assert(caller.execute("WRITE item one"), qt.Equals, "")
	c.Assert(caller.execute("READ item"), qt.Equals, "one")
	cluster.stopFuncs[1]()
	cluster.settings[1].Seeds = []string{cluster.settings[0].Peers}
	cluster.start(1)
	cluster.waitUntil(func() bool { return cluster.ready(1) })
	cluster.store.SetFaults(kvsrv.Faults{})
	joined := cluster.connect(1, "session", "key-red")
	cluster.waitUntil(func() bool { return joined.execute("READ item") == "one" })
}

// TestStopDrainsSessions stops a proxy while a caller is in a transaction: the transaction commits, idle sessions end first.
func TestStopDrainsSessions(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 2)
	idle, busy := cluster.connect(0, "primary", "key-red"), cluster.connect(0, "primary", "key-red")
	c.Assert(busy.execute("BEGIN"), qt.Equals, "")
	c.Assert(busy.execute("WRITE item one"), qt.Equals, "")
	stopped := make(chan struct{})
	go func() {
		cluster.stopFuncs[0]()
		close(stopped)
	}()
	c.Assert(idle.ReadLine(), qt.Equals, "closed")
	c.Assert(cluster.ready(0), qt.IsFalse)
	c.Assert(busy.execute("COMMIT"), qt.Equals, "")
	c.Assert(busy.ReadLine(), qt.Equals, "closed")
	<-stopped
	c.Assert(cluster.group.WrittenValues("item"), qt.DeepEquals, []string{"one"})
}

// TestReadsGoToReplicasAtProxiesWithoutWrites reads through proxies that handled no write. They fetch the group's watermark
// from another proxy, so that at most a tenth of the reads go to the primary.
func TestReadsGoToReplicasAtProxiesWithoutWrites(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(t, 3)
	time.Sleep(2 * time.Second) // until the proxies exchange heartbeats
	c.Assert(cluster.connect(0, "session", "key-red").execute("WRITE item one"), qt.Equals, "")
	readers := []caller{cluster.connect(1, "session", "key-red"), cluster.connect(2, "session", "key-red")}
	for range 20 {
		for _, reader := range readers {
			reader.execute("READ item")
		}
		time.Sleep(50 * time.Millisecond)
	}
	atPrimary, reads := 0, 0
	for _, execution := range cluster.group.Executions() {
		if execution.Text != "READ item" {
			continue
		}
		reads++
		if execution.Server == cluster.group.Primary() {
			atPrimary++
		}
	}
	c.Assert(reads >= 40, qt.IsTrue, qt.Commentf("%d reads", reads))
	c.Assert(atPrimary <= reads/10, qt.IsTrue, qt.Commentf("%d of %d reads at the primary", atPrimary, reads))
	servers := 0
	for _, server := range cluster.group.Servers() {
		servers += server.OpenConnections()
	}
	c.Assert(servers <= 9, qt.IsTrue, qt.Commentf("%d connections for one team and three proxies", servers))
}

// TestUnavailableStoreIsNotOverloaded bounds the calls of six proxies while the store fails all of them; once it is back, a
// new configuration is in force in time.
func TestUnavailableStoreIsNotOverloaded(t *testing.T) {
	c := qt.New(t)
	const (
		proxies  = 6
		outage   = 5 * time.Second
		perProxy = 2 // calls per second: a ping, and its turn to read
	)
	cluster := newCluster(t, proxies)
	time.Sleep(2 * time.Second) // until one of them reads for the region
	cluster.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	before := cluster.store.Calls(http.MethodGet)
	time.Sleep(outage)
	calls := cluster.store.Calls(http.MethodGet) - before
	c.Assert(calls <= proxies*perProxy*int(outage/time.Second), qt.IsTrue, qt.Commentf("%d calls", calls))
	cluster.store.SetFaults(kvsrv.Faults{})
	cluster.configure(100, "key-red", "key-new")
	time.Sleep(cluster.settings[0].Bounds.ConfigApply)
	for index := range proxies {
		c.Assert(cluster.connect(index, "primary", "key-new").execute("READ item"), qt.Equals, "none")
	}
}
