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

// world is a fleet of proxies before a group of servers and the platform.
type world struct {
	*testing.T
	store    *kvsrv.Server
	group    *linesrv.Group
	mutex    sync.Mutex
	version  int
	ports    []string // chosen together: one that is chosen and not yet listened on looks free
	settings []spool.FleetSettings
	stops    []func()
}

func newWorld(t *testing.T, proxies int) *world {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	world := &world{T: t, group: group}
	world.store = kvsrv.New(func(_, server string) bool {
		group.Promote(spool.Server(server))
		world.register("ready")
		return true
	})
	t.Cleanup(world.store.Close)
	world.register("ready")
	world.configure(100, "key-red")
	t.Cleanup(func() {
		var stopping sync.WaitGroup
		for _, stop := range world.stops {
			stopping.Go(stop)
		}
		stopping.Wait()
	})
	world.ports, err = ports.Choose(4 * proxies)
	qt.Assert(t, err, qt.IsNil)
	for i := range proxies {
		world.start(i)
	}
	for i := range proxies {
		world.eventually(func() bool { return world.ready(i) })
	}
	return world
}

// configure writes the next version of the configuration.
func (world *world) configure(rate int, keys ...string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.version++
	route := func(database, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + database, "database": database, "type": kind, "service": "g1", "timeout-ms": 1000,
			"target-latency-ms": 2000, "priority": 1, "max-staleness-ms": 2000,
		}
	}
	world.store.Write("config", "main", map[string]any{
		"version":  world.version,
		"routes":   []any{route("primary", "primary"), route("session", "read_your_writes")},
		"services": []any{map[string]any{"name": "g1", "max-conns": 20, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 3000},
		"tenants":  []any{map[string]any{"name": "red", "api-keys": keys, "rate-per-s": rate, "burst": rate}},
	})
}

// register writes the servers' entries, with that of the primary in a state.
func (world *world) register(state string) {
	for _, server := range world.group.Servers() {
		role, shown := "replica", "ready"
		if server.ID == world.group.Primary() {
			role, shown = "primary", state
		}
		world.store.Write("servers", string(server.ID), map[string]any{
			"service": "g1", "address": server.Address, "zone": "z1", "slots": 5, "state": shown, "db-role": role, "born": 1,
		})
	}
}

func (world *world) start(index int) {
	if index == len(world.settings) {
		chosen := world.ports[4*index : 4*index+4]
		world.settings = append(world.settings, spool.FleetSettings{
			VM: spool.VM(fmt.Sprintf("vm%d", index)), Domain: "z1", Region: "r1",
			Regions: map[spool.Domain]string{"z1": "r1"}, Callers: chosen[0], Readiness: chosen[1], Peers: chosen[2],
			Metrics: chosen[3], MemoryBytes: 200 << 20, Descriptors: 1000,
			Store: world.store.Address(), PromotionAddress: world.store.Address(),
			Bounds: spool.FleetBounds{
				ConfigApply: 4 * time.Second, Drain: 7 * time.Second, Grace: 4 * time.Second, CatchUp: 2 * time.Second,
			},
		})
		world.stops = append(world.stops, nil)
	}
	settings := world.settings[index]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		adapter := platform.New(settings, sock.Dialer(sock.DefaultUserTimeout))
		done <- fleet.New(settings, adapter, clock.Real{}, zap.NewNop()).Run(ctx)
	}()
	var once sync.Once
	world.stops[index] = func() {
		once.Do(func() {
			cancel()
			qt.Check(world, <-done, qt.IsNil)
		})
	}
}

func (world *world) ready(index int) bool {
	response, err := http.Get("http://" + world.settings[index].Readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (world *world) eventually(condition func() bool) {
	world.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			world.Fatal("the condition did not come about")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// caller is a connected caller.
type caller struct{ *linecl.Client }

// connect opens a session that is accepted.
func (world *world) connect(index int, route, key string) caller {
	caller, answer := world.open(index, route, key)
	qt.Assert(world, answer, qt.Equals, "READY I -")
	return caller
}

// open connects and returns the answer to the opening.
func (world *world) open(index int, route, key string) (caller, string) {
	client, err := linecl.Dial(world.settings[index].Callers)
	qt.Assert(world, err, qt.IsNil)
	world.Cleanup(client.Close)
	return caller{client}, client.Open(route, key)
}

// ask returns the row of a statement, nothing if it has none, or the code of its error.
func (caller caller) ask(text string) string {
	reply := caller.Ask(text)
	if reply.Code != linecl.Done {
		return reply.Code
	}
	return reply.Row
}

func TestFleetServes(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 2)
	writer, reader := world.connect(0, "session", "key-red"), world.connect(1, "primary", "key-red")
	c.Assert(writer.ask("WRITE item one"), qt.Equals, "")
	c.Assert(writer.ask("READ item"), qt.Equals, "one")
	c.Assert(reader.ask("READ item"), qt.Equals, "one")
	response, err := http.Get("http://" + world.settings[0].Metrics + "/metrics")
	c.Assert(err, qt.IsNil)
	text, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, `corianderspool_requests_total{team="red",verdict="answered"} 2`)
}

// TestCrashedPrimaryIsReplacedByTheFleet kills the primary and measures the gap that a caller sees.
func TestCrashedPrimaryIsReplacedByTheFleet(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 3)
	caller := world.connect(0, "primary", "key-red")
	c.Assert(caller.ask("WRITE item one"), qt.Equals, "")
	time.Sleep(2 * time.Second) // until the proxies supervise
	began := time.Now()
	world.group.Server("a").Kill()
	world.eventually(func() bool { return caller.ask("WRITE item two") == "" })
	c.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	c.Assert(world.group.Written("item")[0], qt.Equals, "one")
}

// TestConfigurationReachesProxiesThatTheStoreRefuses withdraws a key while a proxy cannot read the store.
func TestConfigurationReachesProxiesThatTheStoreRefuses(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 2)
	idle := world.connect(1, "primary", "key-red")
	c.Assert(idle.ask("WRITE item one"), qt.Equals, "")
	time.Sleep(1200 * time.Millisecond) // until heartbeats run both ways
	world.store.SetFaults(kvsrv.Faults{Deaf: true})
	world.configure(100, "key-blue")
	c.Assert(idle.Line(), qt.Matches, "ERR NOAUTH .*")
	began := time.Now()
	world.eventually(func() bool {
		_, answer := world.open(0, "primary", "key-blue")
		return answer == "READY I -"
	})
	c.Assert(time.Since(began) < world.settings[0].Bounds.ConfigApply, qt.IsTrue)
	fresh := world.connect(0, "primary", "key-blue")
	c.Assert(fresh.ask("READ item"), qt.Equals, "one")
}

// TestRateHoldsOverTheFleet asks far beyond a team's rate through all proxies.
func TestRateHoldsOverTheFleet(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 3)
	const rate = 20
	world.configure(rate, "key-red")
	time.Sleep(world.settings[0].Bounds.ConfigApply)
	var asking sync.WaitGroup
	var mutex sync.Mutex
	served, refused := 0, 0
	began := time.Now()
	for index := range 3 {
		caller := world.connect(index, "session", "key-red")
		asking.Go(func() {
			for time.Since(began) < 3*time.Second {
				answer := caller.ask("READ item")
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

// TestStoreOutage serves on while the store is away, and a proxy that starts then learns the configuration from a seed.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 2)
	caller := world.connect(0, "session", "key-red")
	time.Sleep(time.Second)
	world.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	c.Assert(caller.ask("WRITE item one"), qt.Equals, "")
	c.Assert(caller.ask("READ item"), qt.Equals, "one")
	world.stops[1]()
	world.settings[1].Seeds = []string{world.settings[0].Peers}
	world.start(1)
	world.eventually(func() bool { return world.ready(1) })
	world.store.SetFaults(kvsrv.Faults{})
	joined := world.connect(1, "session", "key-red")
	world.eventually(func() bool { return joined.ask("READ item") == "one" })
}

// TestStopDrains ends a proxy while a caller is in a transaction.
func TestStopDrains(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 2)
	idle, busy := world.connect(0, "primary", "key-red"), world.connect(0, "primary", "key-red")
	c.Assert(busy.ask("BEGIN"), qt.Equals, "")
	c.Assert(busy.ask("WRITE item one"), qt.Equals, "")
	stopped := make(chan struct{})
	go func() {
		world.stops[0]()
		close(stopped)
	}()
	c.Assert(idle.Line(), qt.Equals, "closed")
	c.Assert(world.ready(0), qt.IsFalse)
	c.Assert(busy.ask("COMMIT"), qt.Equals, "")
	c.Assert(busy.Line(), qt.Equals, "closed")
	<-stopped
	c.Assert(world.group.Written("item"), qt.DeepEquals, []string{"one"})
}

// TestReadsGoToReplicasWithoutWrites reads at proxies that none of the writes went through: they learn positions from
// others, so that the primary is spared.
func TestReadsGoToReplicasWithoutWrites(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, 3)
	time.Sleep(2 * time.Second) // until the proxies hear each other
	c.Assert(world.connect(0, "session", "key-red").ask("WRITE item one"), qt.Equals, "")
	readers := []caller{world.connect(1, "session", "key-red"), world.connect(2, "session", "key-red")}
	for range 20 {
		for _, reader := range readers {
			reader.ask("READ item")
		}
		time.Sleep(50 * time.Millisecond)
	}
	atPrimary, reads := 0, 0
	for _, run := range world.group.Runs() {
		if run.Text != "READ item" {
			continue
		}
		reads++
		if run.Server == world.group.Primary() {
			atPrimary++
		}
	}
	c.Assert(reads >= 40, qt.IsTrue, qt.Commentf("%d reads", reads))
	c.Assert(atPrimary <= reads/10, qt.IsTrue, qt.Commentf("%d of %d reads at the primary", atPrimary, reads))
	servers := 0
	for _, server := range world.group.Servers() {
		servers += server.Conns()
	}
	c.Assert(servers <= 9, qt.IsTrue, qt.Commentf("%d connections for one team and three proxies", servers))
}

// TestStoreThatIsDownIsNotFlooded counts the calls of six proxies while the store answers none, and has a configuration
// in force in time once it is back.
func TestStoreThatIsDownIsNotFlooded(t *testing.T) {
	c := qt.New(t)
	const (
		proxies  = 6
		outage   = 5 * time.Second
		perProxy = 2 // calls a second: one to see if it reaches the store, and its turn to read
	)
	world := newWorld(t, proxies)
	time.Sleep(2 * time.Second) // until one of them reads for all
	world.store.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	before := world.store.Calls(http.MethodGet)
	time.Sleep(outage)
	calls := world.store.Calls(http.MethodGet) - before
	c.Assert(calls <= proxies*perProxy*int(outage/time.Second), qt.IsTrue, qt.Commentf("%d calls", calls))
	world.store.SetFaults(kvsrv.Faults{})
	world.configure(100, "key-red", "key-new")
	time.Sleep(world.settings[0].Bounds.ConfigApply)
	for index := range proxies {
		c.Assert(world.connect(index, "primary", "key-new").ask("READ item"), qt.Equals, "none")
	}
}
