package pool_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// fixture is a pool with a group of servers.
type fixture struct {
	*testing.T
	group *linesrv.Group
	pool  *pool.Pool
}

func newFixture(t *testing.T, dial spool.DialFunc, connections int, options ...pool.Option) *fixture {
	fixture := newFixtureWithTimers(t, dial, clock.Real{}, connections, options...)
	t.Cleanup(func() { fixture.pool.Close(context.Background()) })
	return fixture
}

// newFixtureWithTimers returns a fixture whose pool the test closes.
func newFixtureWithTimers(
	t *testing.T, dial spool.DialFunc, timers spool.Timers, connections int, options ...pool.Option,
) *fixture {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	fixture := &fixture{T: t, group: group, pool: pool.New(platform.ServerDialer{}, dial, timers, options...)}
	fixture.pool.SetLimits(map[spool.Group]spool.GroupLimits{"g1": {Connections: connections, SyncReplicas: 1}})
	for _, server := range group.Servers() {
		fixture.pool.SetServer(fixture.registration(server.ID))
	}
	return fixture
}

func (fixture *fixture) registration(serverName spool.Server) spool.RegisteredServer {
	server := fixture.group.Server(serverName)
	return spool.RegisteredServer{
		Server: serverName, Group: "g1", Address: server.Address, Domain: "d", Slots: 5, Primary: serverName == "a", StartMillis: 1,
	}
}

func (fixture *fixture) acquire(request pool.Request) (*pool.Conn, *spool.Refusal) {
	request.Group = "g1"
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(300 * time.Millisecond)
	}
	return fixture.pool.Acquire(context.Background(), request)
}

func (fixture *fixture) mustAcquire(request pool.Request) *pool.Conn {
	fixture.Helper()
	conn, refusal := fixture.acquire(request)
	qt.Assert(fixture, refusal == nil, qt.IsTrue, qt.Commentf("%+v", refusal))
	return conn
}

var dial = sock.Dialer(time.Second)

func TestConnectionsAreSharedWithinATeam(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	first := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	fixture.pool.Release(first)
	again := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(again, qt.Equals, first)
	fixture.pool.Release(again)
	other := fixture.mustAcquire(pool.Request{Team: "blue", Primary: true})
	c.Assert(other, qt.Not(qt.Equals), first)
	fixture.pool.Release(other)
}

// TestConnectionWithMatchingValuesIsChosen checks that a connection with the session's values is preferred to others, and
// that values of another session are reset.
func TestConnectionWithMatchingValuesIsChosen(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	plain := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	withValues := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	values := map[string]string{"zone": "north"}
	c.Assert(withValues.SetupCommands(values, false), qt.HasLen, 1)
	fixture.pool.Release(withValues)
	fixture.pool.Release(plain)
	chosen := fixture.mustAcquire(pool.Request{Team: "red", Primary: true, Values: values})
	c.Assert(chosen, qt.Equals, withValues)
	c.Assert(chosen.SetupCommands(values, false), qt.HasLen, 0)
	reset := chosen.SetupCommands(map[string]string{"shop": "one"}, false)
	c.Assert(reset[0].Verb, qt.Equals, spool.VerbReset)
	c.Assert(reset[1].Name, qt.Equals, "shop")
	fixture.pool.Release(chosen)
}

// TestConnectionLimitAndWaiterPriority uses all connections to the server, then releases one while two sessions wait.
func TestConnectionLimitAndWaiterPriority(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 3)
	held := []*pool.Conn{
		fixture.mustAcquire(pool.Request{Team: "red", Primary: true}), fixture.mustAcquire(pool.Request{Team: "red", Primary: true}),
	}
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoSlot)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	served := make(chan int, 2)
	deadline := time.Now().Add(time.Minute) // so that no waiter is refused if the test runs slowly
	for _, priority := range []int{2, 1} {
		go func() {
			conn, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true, Priority: priority, Deadline: deadline})
			if refusal != nil {
				served <- 0
				return
			}
			served <- priority
			fixture.pool.Release(conn)
		}()
		time.Sleep(30 * time.Millisecond)
	}
	fixture.pool.Release(held[0])
	c.Assert(<-served, qt.Equals, 1)
	c.Assert(<-served, qt.Equals, 2)
	fixture.pool.Release(held[1])
	c.Assert(fixture.group.Server("a").OpenConnections() <= 3, qt.IsTrue)
}

// TestIdleConnectionsAreLimitedToHalf checks that at most half of the allowed connections stay open when idle.
func TestIdleConnectionsAreLimitedToHalf(t *testing.T) {
	fixture := newFixture(t, dial, 9)
	var held []*pool.Conn
	for range 8 {
		held = append(held, fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	for _, conn := range held {
		fixture.pool.Release(conn)
	}
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, fixture.group.Server("a").OpenConnections(), qt.Equals, 4)
}

// TestConcurrentHandshakesAreLimited has twelve sessions acquire a connection at once to a server with slow handshakes.
func TestConcurrentHandshakesAreLimited(t *testing.T) {
	c := qt.New(t)
	var opening, most atomic.Int32
	slow := func(ctx context.Context, address string) (net.Conn, error) {
		most.Store(max(most.Load(), opening.Add(1)))
		time.Sleep(40 * time.Millisecond)
		opening.Add(-1)
		return dial(ctx, address)
	}
	fixture := newFixture(t, slow, 20)
	var sessions sync.WaitGroup
	for range 12 {
		sessions.Go(func() {
			conn, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
			if refusal == nil {
				fixture.pool.Release(conn)
			}
		})
	}
	sessions.Wait()
	c.Assert(most.Load() <= 3, qt.IsTrue, qt.Commentf("%d", most.Load()))
}

// TestLateAnswerKeepsTheConnection abandons a statement whose answer comes later, and reuses the connection.
func TestLateAnswerKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	fixture.group.Server("a").WorkTime = 100 * time.Millisecond
	conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(conn.Send(spool.Command{ID: "1", Verb: spool.VerbRead, Text: "item"}), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(20 * time.Millisecond))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	fixture.pool.Abandon(conn, 1)
	fixture.pool.Release(conn)
	time.Sleep(200 * time.Millisecond)
	again := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(again, qt.Equals, conn)
	c.Assert(again.Send(spool.Command{ID: "2", Verb: spool.VerbRead, Text: "item"}), qt.IsNil)
	answer, err := again.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Digest, qt.Equals, "digest-a-2")
	fixture.pool.Release(again)
}

func TestLeavingAndRemovedServersGetNoReads(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9, pool.WithDrain(7*time.Second))
	leaving := fixture.registration("b")
	leaving.Mode = spool.ServerLeaving
	fixture.pool.SetServer(leaving)
	fixture.pool.RemoveServer("c")
	for range 5 {
		conn := fixture.mustAcquire(pool.Request{Team: "red"})
		c.Assert(conn.Server(), qt.Equals, spool.Server("a"))
		defer fixture.pool.Release(conn)
	}
}

// TestRestartClosesIdleConnections registers a server again with another start time.
func TestRestartClosesIdleConnections(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	first := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	fixture.pool.Release(first)
	again := fixture.registration("a")
	again.StartMillis = 2
	fixture.pool.SetServer(again)
	second := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(second, qt.Not(qt.Equals), first)
	fixture.pool.Release(second)
}

// TestClosedIdleConnectionIsNotUsed restarts the server without a change of its registration.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	fixture.pool.Release(fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	fixture.group.Server("a").Kill()
	c.Assert(fixture.group.Server("a").Start(), qt.IsNil)
	conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(conn.Send(spool.Command{Verb: spool.VerbStatus}), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	fixture.pool.Release(conn)
}

// TestUnreachablePrimaryIsReachedThroughTunnel makes direct dials to the primary fail, first with and then without a
// working tunnel.
func TestUnreachablePrimaryIsReachedThroughTunnel(t *testing.T) {
	c := qt.New(t)
	var unreachable atomic.Value
	unreachable.Store("")
	var tunneled atomic.Int32
	direct := func(ctx context.Context, address string) (net.Conn, error) {
		if address == unreachable.Load() {
			return nil, errors.New("no route")
		}
		return dial(ctx, address)
	}
	tunnelWorks := true
	dialTunnel := func(ctx context.Context, _ spool.Group, _ spool.Server, address string) (net.Conn, error) {
		if !tunnelWorks {
			return nil, errors.New("no tunnel")
		}
		tunneled.Add(1)
		return dial(ctx, address)
	}
	fixture := newFixture(t, direct, 9, pool.WithTunnelDialer(dialTunnel))
	unreachable.Store(fixture.group.Server("a").Address)
	conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(conn.Server(), qt.Equals, spool.Server("a"))
	c.Assert(tunneled.Load(), qt.Equals, int32(1))
	conn.MarkBroken()
	fixture.pool.Release(conn)
	tunnelWorks = false
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal == nil, qt.IsFalse)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	read := fixture.mustAcquire(pool.Request{Team: "red"})
	c.Assert(read.Server(), qt.Not(qt.Equals), spool.Server("a"))
	fixture.pool.Release(read)
}

// TestRegistrationChangesWhileConnectionsAreUsed guards against reads of a server's registration beside a change of it, which the
// race detector reports: the supervisor probes a server while the registry updates its entry.
func TestRegistrationChangesWhileConnectionsAreUsed(t *testing.T) {
	fixture := newFixture(t, dial, 9)
	stop := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for millis := int64(1); ; millis++ {
			select {
			case <-stop:
				return
			default:
			}
			registration := fixture.registration("a")
			registration.Slots = 5 + int(millis%2)
			fixture.pool.SetServer(registration)
		}
	})
	for range 20 {
		qt.Assert(t, fixture.pool.ProbePrimary("g1", "a", "red"), qt.IsNil)
		conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
		qt.Assert(t, conn.Server(), qt.Equals, spool.Server("a"))
		fixture.pool.Release(conn)
	}
	close(stop)
	changes.Wait()
}
