package fleet_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/pkg/spool"
)

// lateOrder is a request of a promotion to which the platform gives no answer.
type lateOrder struct {
	cluster  *cluster
	requests atomic.Int64
	sent     chan spool.Server // receives the server of the first request
	ended    chan struct{}     // closed when the test ends, so that the request ends
	led      chan struct{}     // closed when the server leads
}

// awaitOrder has the primary leave and returns the request that follows, which is not carried out yet. Later ones are.
func (cluster *cluster) awaitOrder() (*lateOrder, spool.Server) {
	order := &lateOrder{cluster: cluster, sent: make(chan spool.Server, 1), ended: make(chan struct{}), led: make(chan struct{})}
	cluster.Cleanup(func() { close(order.ended) })
	cluster.promote = func(server spool.Server) {
		if order.requests.Add(1) == 1 {
			order.sent <- server
			<-order.ended
		} else if server != cluster.group.Primary() {
			cluster.group.Promote(server)
			cluster.register("ready")
		}
	}
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.register("draining")
	select {
	case server := <-order.sent:
		return order, server
	case <-time.After(10 * time.Second):
		cluster.Fatal("no promotion was requested within 10 s")
		return nil, ""
	}
}

// carryOut makes a server the primary.
func (order *lateOrder) carryOut(server spool.Server) {
	order.cluster.group.Promote(server)
	order.cluster.register("ready")
	close(order.led)
}

func (order *lateOrder) isCarriedOut() bool {
	select {
	case <-order.led:
		return true
	default:
		return false
	}
}

// assertNoCommitLost writes at all proxies until the order is carried out, and requires that the log has each acknowledged value then.
func (order *lateOrder) assertNoCommitLost() {
	cluster := order.cluster
	cluster.Helper()
	var writing sync.WaitGroup
	acknowledged := make([][]string, len(cluster.settings))
	for index := range acknowledged {
		writing.Go(func() { acknowledged[index] = cluster.writeUntil(index, order.isCarriedOut) })
	}
	writing.Wait()
	written := cluster.group.AllWrittenValues()
	for _, value := range slices.Concat(acknowledged...) {
		qt.Check(cluster, slices.Contains(written, value), qt.IsTrue, qt.Commentf("acknowledged %s is lost", value))
	}
}

// TestOrderThatOutlivesARestartLosesNoCommit guards against the loss of commits that processes acknowledge which start after a
// promotion was requested, before the platform carries it out: the server receives nothing since, and the primary works.
func TestOrderThatOutlivesARestartLosesNoCommit(t *testing.T) {
	cluster := newPlacedCluster(t, 3, layout{logger: zap.NewNop(), adjust: func(_ int, settings *spool.FleetSettings) {
		settings.Bounds.Drain, settings.Bounds.Grace = time.Minute, time.Second
	}})
	order, server := cluster.awaitOrder()
	var stopping sync.WaitGroup
	for _, stop := range cluster.stopFuncs {
		stopping.Go(stop)
	}
	stopping.Wait()
	cluster.group.Server(server).StopReceiving()
	for index := range cluster.settings {
		cluster.start(index)
	}
	for index := range cluster.settings {
		cluster.waitUntil(func() bool { return cluster.ready(index) })
	}
	time.AfterFunc(time.Second, func() { order.carryOut(server) })
	order.assertNoCommitLost()
	cluster.waitUntil(func() bool { return cluster.connect(0, "primary", "key-red").execute("WRITE item last") == "" })
}

// TestOrderThatOutlivesARestartOfOneProxyLosesNoCommit guards against the loss of commits that a single process acknowledges which starts
// after a promotion was requested: the proxies that closed commits run on, and nobody asks the new process to.
func TestOrderThatOutlivesARestartOfOneProxyLosesNoCommit(t *testing.T) {
	for index := range 3 {
		t.Run(fmt.Sprintf("vm%d", index), func(t *testing.T) {
			cluster := newPlacedCluster(t, 3, layout{logger: zap.NewNop(), adjust: func(_ int, settings *spool.FleetSettings) {
				settings.Bounds.Drain, settings.Bounds.Grace = time.Minute, time.Second
			}})
			order, server := cluster.awaitOrder()
			token := cluster.store.FencingToken("g1")
			cluster.group.Server(server).StopReceiving()
			cluster.restart(index)
			time.AfterFunc(300*time.Millisecond, func() {
				if cluster.store.FencingToken("g1") == token {
					order.carryOut(server)
				} else {
					close(order.led) // the platform refuses the order
				}
			})
			order.assertNoCommitLost()
		})
	}
}

// TestOrderForAServerWithoutAnEntryIsFenced guards against the loss of commits by an order that a supervisor forgets, since its server
// has no entry, and against commits that wait for that server although the primary works: the promotion of the primary is requested,
// so that the platform refuses the older order.
func TestOrderForAServerWithoutAnEntryIsFenced(t *testing.T) {
	cluster := newCluster(t, 3)
	order, server := cluster.awaitOrder()
	token := cluster.store.FencingToken("g1")
	cluster.group.Server(server).Kill()
	cluster.register("ready")
	cluster.store.Remove("servers", string(server))
	caller := cluster.connect(0, "primary", "key-red")
	cluster.waitUntil(func() bool { return caller.execute("WRITE item value") == "" })
	qt.Check(t, cluster.store.FencingToken("g1") > token, qt.IsTrue)
	qt.Check(t, order.requests.Load() > 1, qt.IsTrue)
	qt.Check(t, cluster.group.Primary(), qt.Equals, spool.Server("a"))
}
