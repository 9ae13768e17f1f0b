package fleet_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	evacuationGoal = 2 * time.Second // from the operators' write until nothing more arrives
	superviseDelay = 2 * time.Second // until the proxies exchange heartbeats and supervise groups
)

// threeDomains places one server and one proxy in each of three failure domains of one region.
func threeDomains() (layout, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.InfoLevel)
	return layout{
		serverDomains: map[spool.Server]string{"a": "z1", "b": "z2", "c": "z3"},
		proxyDomains:  []spool.Domain{"z1", "z2", "z3"},
		regions:       map[spool.Domain]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		evacuate:      5 * time.Second,
		logger:        zap.New(core),
	}, logs
}

// twoRegions is like threeDomains with the third failure domain in another region, whose proxy borrows connections.
func twoRegions() (layout, *observer.ObservedLogs) {
	layout, logs := threeDomains()
	layout.regions = map[spool.Domain]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	return layout, logs
}

func (cluster *cluster) evacuate(domain string) time.Time {
	cluster.store.Write("evacuations", domain, map[string]any{"reason": "test"})
	return time.Now()
}

// assertQuiet waits and requires that nothing arrived at a server later than the goal after the operators' write, and that no
// connection to it is open by then.
func (cluster *cluster) assertQuiet(server spool.Server, written time.Time) {
	cluster.Helper()
	time.Sleep(time.Until(written.Add(evacuationGoal)))
	qt.Assert(cluster, cluster.group.Server(server).OpenConnections(), qt.Equals, 0)
	time.Sleep(2 * time.Second)
	arrival := cluster.group.Server(server).LastArrival()
	cluster.Logf("last line at %s: %q, %v after the write", server, arrival.Line, arrival.At.Sub(written))
	qt.Assert(cluster, arrival.At.Sub(written) < evacuationGoal, qt.IsTrue, qt.Commentf("%q after %v", arrival.Line, arrival.At.Sub(written)))
}

// load runs statements of several callers at each proxy until it is stopped.
type load struct {
	running  sync.WaitGroup
	stopped  atomic.Bool
	answered atomic.Int64
	refused  sync.Map // code to *atomic.Int64
	acked    sync.Map // values of acknowledged writes
}

func (cluster *cluster) startLoad(texts ...string) *load {
	load := &load{}
	for index := range cluster.settings {
		for number, text := range texts {
			client := cluster.connect(index, "session", "key-red")
			load.running.Go(func() {
				for count := 0; !load.stopped.Load(); count++ {
					load.run(client, text, fmt.Sprintf("v%d-%d-%d", index, number, count))
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	cluster.Cleanup(load.stop)
	return load
}

// run runs a statement, or a transaction for "TX", which is open for a while.
func (load *load) run(client caller, text, value string) {
	code := ""
	switch text {
	case "WRITE":
		if code = client.execute("WRITE item " + value); code == "" {
			load.acked.Store(value, nil)
		}
	case "TX":
		code = client.execute("BEGIN READ")
		for step := 0; step < 5 && !failed(code); step++ {
			time.Sleep(100 * time.Millisecond)
			code = client.execute("READ item")
		}
		if failed(code) {
			client.execute("ROLLBACK")
		} else {
			client.execute("COMMIT")
		}
	default:
		code = client.execute(text)
	}
	if !failed(code) {
		load.answered.Add(1)
		return
	}
	count, _ := load.refused.LoadOrStore(code, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

// failed reports whether the result of a statement is an error code.
func failed(result string) bool { return result != "" && result == strings.ToUpper(result) }

func (load *load) stop() {
	load.stopped.Store(true)
	load.running.Wait()
}

func (load *load) String() string {
	text := fmt.Sprintf("%d answered", load.answered.Load())
	load.refused.Range(func(code, count any) bool {
		text += fmt.Sprintf(", %d %s", count.(*atomic.Int64).Load(), code)
		return true
	})
	return text
}

// openTransactionAt opens a read transaction at a server through a proxy.
func (cluster *cluster) openTransactionAt(index int, server spool.Server) caller {
	client := cluster.connect(index, "session", "key-red")
	cluster.waitUntil(func() bool {
		client.execute("BEGIN READ")
		client.execute("READ long")
		at := spool.Server("")
		for _, execution := range cluster.group.Executions() {
			if execution.Text == "READ long" {
				at = execution.Server
			}
		}
		if at != server {
			client.execute("ROLLBACK")
		}
		return at == server
	})
	return client
}

// TestEvacuationUnderLoad evacuates the failure domain of a replica while statements and transactions run, also over lent
// connections: without it the replica is used on.
func TestEvacuationUnderLoad(t *testing.T) {
	c := qt.New(t)
	layout, logs := twoRegions()
	cluster := newPlacedCluster(t, 3, layout)
	cluster.configure(1000, "key-red")
	time.Sleep(superviseDelay)
	load := cluster.startLoad("READ item", "READ item", "TX", "WRITE")
	time.Sleep(time.Second)
	long := cluster.openTransactionAt(1, "b")
	written := cluster.evacuate("z2")
	code := ""
	for ; !failed(code) && time.Since(written) < evacuationGoal; time.Sleep(20 * time.Millisecond) {
		code = long.execute("READ long")
	}
	ended := time.Since(written)
	t.Logf("open transaction ended by %s %v after the write", code, ended)
	c.Assert(code, qt.Equals, "ABORTED")
	c.Assert(ended > time.Second, qt.IsTrue)
	cluster.assertQuiet("b", written)
	before := load.answered.Load()
	time.Sleep(time.Second)
	c.Assert(load.answered.Load() > before, qt.IsTrue)
	load.stop()
	t.Log(load)
	c.Assert(load.answered.Load() > 100, qt.IsTrue)
	_, inDoubt := load.refused.Load("INDOUBT")
	c.Assert(inDoubt, qt.IsFalse, qt.Commentf("%v", load))
	c.Assert(logs.FilterField(zap.Int("Event", int(event.EvacuationStarted))).Len(), qt.Equals, 3)
	c.Assert(logs.FilterField(zap.Int("Event", int(event.EvacuationComplete))).Len(), qt.Equals, 3)
}

// TestEvacuationOfThePrimary evacuates the primary's failure domain while callers write and some idle in transactions on own and
// lent connections: the primary is replaced, no acknowledged write is lost, and the idle transactions are rolled back.
func TestEvacuationOfThePrimary(t *testing.T) {
	c := qt.New(t)
	layout, _ := twoRegions()
	cluster := newPlacedCluster(t, 3, layout)
	cluster.configure(1000, "key-red")
	time.Sleep(superviseDelay)
	var idle []caller
	for index := range 3 { // one of the proxies uses a connection of its own, the others borrow
		idle = append(idle, cluster.connect(index, "primary", "key-red"))
		c.Assert(idle[index].execute("BEGIN"), qt.Equals, "")
		c.Assert(idle[index].execute("WRITE idle never"), qt.Equals, "")
	}
	load := cluster.startLoad("WRITE", "READ item")
	time.Sleep(500 * time.Millisecond)
	written := cluster.evacuate("z1")
	cluster.assertQuiet("a", written)
	c.Assert(cluster.group.Primary(), qt.Not(qt.Equals), spool.Server("a"))
	for _, client := range idle {
		c.Assert(client.execute("WRITE idle again"), qt.Equals, "ABORTED")
		c.Assert(client.execute("ROLLBACK"), qt.Equals, "")
		c.Assert(client.execute("WRITE item served"), qt.Equals, "")
	}
	load.stop()
	t.Log(load)
	kept := map[string]bool{}
	for _, value := range cluster.group.AllWrittenValues() {
		kept[value] = true
	}
	c.Assert(kept["never"], qt.IsFalse)
	load.acked.Range(func(value, _ any) bool {
		c.Check(kept[value.(string)], qt.IsTrue, qt.Commentf("acknowledged write %v is lost", value))
		return true
	})
}

// TestEvacuationOfAllDomains evacuates two and then all failure domains: requests are refused with a retry time and nothing is
// sent; after a withdrawal they are served again.
func TestEvacuationOfAllDomains(t *testing.T) {
	c := qt.New(t)
	layout, logs := threeDomains()
	cluster := newPlacedCluster(t, 3, layout)
	time.Sleep(superviseDelay)
	cluster.evacuate("z2")
	cluster.evacuate("z1")
	cluster.waitUntil(func() bool { return cluster.group.Primary() == "c" })
	writer := cluster.connect(0, "primary", "key-red")
	cluster.waitUntil(func() bool { return writer.execute("WRITE item kept") == "" })
	written := cluster.evacuate("z3")
	for _, server := range []spool.Server{"a", "b", "c"} {
		cluster.assertQuiet(server, written)
	}
	writer.SendLine("QUERY q1 WRITE item refused")
	c.Assert(writer.ReadLine(), qt.Matches, "ERR BUSY retry after [0-9]+ ms: .*")
	c.Assert(writer.ReadLine(), qt.Matches, "READY I .*")
	reader := cluster.connect(1, "session", "key-red")
	c.Assert(reader.execute("READ item"), qt.Equals, "BUSY")
	cluster.store.Remove("evacuations", "z3")
	withdrawn := time.Now()
	cluster.waitUntil(func() bool { return writer.execute("WRITE item after") == "" })
	t.Logf("served again %v after the withdrawal", time.Since(withdrawn))
	c.Assert(time.Since(withdrawn) < evacuationGoal, qt.IsTrue)
	c.Assert(cluster.group.WrittenValues("item"), qt.DeepEquals, []string{"kept", "after"})
	c.Assert(logs.FilterField(zap.Int("Event", int(event.EvacuationWithdrawn))).Len() >= 1, qt.IsTrue)
}

// TestEvacuationLearnedFromPeers evacuates a failure domain while the store refuses one of the proxies, which hears of it only
// in heartbeats.
func TestEvacuationLearnedFromPeers(t *testing.T) {
	c := qt.New(t)
	layout, logs := threeDomains()
	var way *forwarder
	layout.adjust = func(index int, settings *spool.FleetSettings) {
		if index == 1 {
			way = newForwarder(t, settings.Store)
			settings.Store = way.address()
		}
	}
	cluster := newPlacedCluster(t, 3, layout)
	time.Sleep(superviseDelay)
	client := cluster.connect(1, "session", "key-red")
	cluster.waitUntil(func() bool {
		return client.execute("READ item") == "none" && cluster.group.Server("b").LastArrival().Line != ""
	})
	way.cut()
	written := cluster.evacuate("z2")
	for time.Since(written) < evacuationGoal+time.Second {
		client.execute("READ item")
		time.Sleep(10 * time.Millisecond)
	}
	cluster.assertQuiet("b", written)
	fromPeers := 0
	for _, entry := range logs.FilterField(zap.Int("Event", int(event.EvacuationStarted))).All() {
		if entry.ContextMap()["From"] != "store" {
			fromPeers++
		}
	}
	c.Assert(fromPeers >= 1, qt.IsTrue)
}

// TestNoStoreCallsWithoutTheBound checks that a deployment without the bound makes no call about evacuations and obeys none.
func TestNoStoreCallsWithoutTheBound(t *testing.T) {
	c := qt.New(t)
	layout, _ := threeDomains()
	layout.evacuate = 0
	cluster := newPlacedCluster(t, 2, layout)
	cluster.evacuate("z1")
	time.Sleep(superviseDelay)
	c.Assert(cluster.connect(0, "primary", "key-red").execute("WRITE item one"), qt.Equals, "")
	for index := range 2 {
		c.Assert(cluster.metrics(index), qt.Not(qt.Contains), `kind="evacuations"`)
	}
}

// forwarder forwards connections to an address until it is cut.
type forwarder struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
}

func newForwarder(t *testing.T, address string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	forwarder := &forwarder{listener: listener}
	t.Cleanup(forwarder.cut)
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go forwarder.forward(near, address)
		}
	}()
	return forwarder
}

func (forwarder *forwarder) address() string { return forwarder.listener.Addr().String() }

func (forwarder *forwarder) forward(near net.Conn, address string) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	forwarder.mutex.Lock()
	forwarder.conns = append(forwarder.conns, near, far)
	forwarder.mutex.Unlock()
	go func() {
		_, _ = io.Copy(far, near) // the end of one side ends both
		_ = far.Close()
	}()
	_, _ = io.Copy(near, far) // the end of one side ends both
}

// cut refuses new connections and closes the existing ones.
func (forwarder *forwarder) cut() {
	_ = forwarder.listener.Close()
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for _, conn := range forwarder.conns {
		_ = conn.Close()
	}
}
