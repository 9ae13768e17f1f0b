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

// world is a pool before a group of servers.
type world struct {
	*testing.T
	group *linesrv.Group
	pool  *pool.Pool
}

func newWorld(t *testing.T, dial spool.DialFunc, connections int, options ...pool.Option) *world {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	world := &world{T: t, group: group, pool: pool.New(platform.ServerDialer{}, dial, clock.Real{}, options...)}
	t.Cleanup(func() { world.pool.Close(context.Background()) })
	world.pool.SetLimits(map[spool.Group]spool.GroupLimits{"g1": {Connections: connections, SyncReplicas: 1}})
	for _, server := range group.Servers() {
		world.pool.SetServer(world.spec(server.ID))
	}
	return world
}

func (world *world) spec(id spool.Server) spool.RegisteredServer {
	server := world.group.Server(id)
	return spool.RegisteredServer{
		Server: id, Group: "g1", Address: server.Address, Domain: "d", Slots: 5, Primary: id == "a", StartMillis: 1,
	}
}

func (world *world) acquire(want pool.Request) (*pool.Conn, *spool.Refusal) {
	want.Group = "g1"
	if want.Deadline.IsZero() {
		want.Deadline = time.Now().Add(300 * time.Millisecond)
	}
	return world.pool.Acquire(context.Background(), want)
}

func (world *world) mustAcquire(want pool.Request) *pool.Conn {
	world.Helper()
	conn, refusal := world.acquire(want)
	qt.Assert(world, refusal == nil, qt.IsTrue)
	return conn
}

var dial = sock.Dialer(time.Second)

func TestConnectionsAreSharedWithinATeam(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9)
	first := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	world.pool.Release(first)
	again := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(again, qt.Equals, first)
	world.pool.Release(again)
	other := world.mustAcquire(pool.Request{Team: "blue", Primary: true})
	c.Assert(other, qt.Not(qt.Equals), first)
	world.pool.Release(other)
}

// TestConnectionThatFitsIsChosen prefers a connection with the session's values over one to be reset.
func TestConnectionThatFitsIsChosen(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9)
	plain := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	valued := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	values := map[string]string{"zone": "north"}
	c.Assert(valued.SetupCommands(values, false), qt.HasLen, 1)
	world.pool.Release(valued)
	world.pool.Release(plain)
	chosen := world.mustAcquire(pool.Request{Team: "red", Primary: true, Values: values})
	c.Assert(chosen, qt.Equals, valued)
	c.Assert(chosen.SetupCommands(values, false), qt.HasLen, 0)
	reset := chosen.SetupCommands(map[string]string{"shop": "one"}, false)
	c.Assert(reset[0].Verb, qt.Equals, spool.VerbReset)
	c.Assert(reset[1].Name, qt.Equals, "shop")
	world.pool.Release(chosen)
}

// TestLimitIsKeptAndWaitersAreServedInOrderOfPriority fills the server, then frees one connection.
func TestLimitIsKeptAndWaitersAreServedInOrderOfPriority(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 3)
	held := []*pool.Conn{
		world.mustAcquire(pool.Request{Team: "red", Primary: true}), world.mustAcquire(pool.Request{Team: "red", Primary: true}),
	}
	_, refusal := world.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoSlot)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	served := make(chan int, 2)
	late := time.Now().Add(time.Minute) // no waiter is refused, however slowly the test runs
	for _, priority := range []int{2, 1} {
		go func() {
			conn, refusal := world.acquire(pool.Request{Team: "red", Primary: true, Priority: priority, Deadline: late})
			if refusal != nil {
				served <- 0
				return
			}
			served <- priority
			world.pool.Release(conn)
		}()
		time.Sleep(30 * time.Millisecond)
	}
	world.pool.Release(held[0])
	c.Assert(<-served, qt.Equals, 1)
	c.Assert(<-served, qt.Equals, 2)
	world.pool.Release(held[1])
	c.Assert(world.group.Server("a").Conns() <= 3, qt.IsTrue)
}

// TestIdleConnectionsLeaveRoom keeps at most half of the allowed connections when they are idle.
func TestIdleConnectionsLeaveRoom(t *testing.T) {
	world := newWorld(t, dial, 9)
	var held []*pool.Conn
	for range 8 {
		held = append(held, world.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	for _, conn := range held {
		world.pool.Release(conn)
	}
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, world.group.Server("a").Conns(), qt.Equals, 4)
}

// TestSlowServerIsNotFloodedWithHandshakes has many sessions that want a connection at once.
func TestSlowServerIsNotFloodedWithHandshakes(t *testing.T) {
	c := qt.New(t)
	var opening, most atomic.Int32
	slow := func(ctx context.Context, address string) (net.Conn, error) {
		most.Store(max(most.Load(), opening.Add(1)))
		time.Sleep(40 * time.Millisecond)
		opening.Add(-1)
		return dial(ctx, address)
	}
	world := newWorld(t, slow, 20)
	var sessions sync.WaitGroup
	for range 12 {
		sessions.Go(func() {
			conn, refusal := world.acquire(pool.Request{Team: "red", Primary: true})
			if refusal == nil {
				world.pool.Release(conn)
			}
		})
	}
	sessions.Wait()
	c.Assert(most.Load() <= 3, qt.IsTrue, qt.Commentf("%d", most.Load()))
}

// TestLateAnswerKeepsTheConnection gives up a statement, whose answer comes later, and uses the connection again.
func TestLateAnswerKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9)
	world.group.Server("a").Work = 100 * time.Millisecond
	conn := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(conn.Send(spool.Command{ID: "1", Verb: spool.VerbRead, Text: "item"}), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(20 * time.Millisecond))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	world.pool.Abandon(conn, 1)
	world.pool.Release(conn)
	time.Sleep(200 * time.Millisecond)
	again := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(again, qt.Equals, conn)
	c.Assert(again.Send(spool.Command{ID: "2", Verb: spool.VerbRead, Text: "item"}), qt.IsNil)
	answer, err := again.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Digest, qt.Equals, "digest-a-2")
	world.pool.Release(again)
}

func TestLeavingAndGoneServersGetNoReads(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9, pool.WithDrain(7*time.Second))
	leaving := world.spec("b")
	leaving.Mode = spool.ServerLeaving
	world.pool.SetServer(leaving)
	world.pool.RemoveServer("c")
	for range 5 {
		conn := world.mustAcquire(pool.Request{Team: "red"})
		c.Assert(conn.Server(), qt.Equals, spool.Server("a"))
		defer world.pool.Release(conn)
	}
}

// TestRestartedServerLosesItsConnections registers a server anew under its name with another start.
func TestRestartedServerLosesItsConnections(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9)
	first := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	world.pool.Release(first)
	again := world.spec("a")
	again.StartMillis = 2
	world.pool.SetServer(again)
	second := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(second, qt.Not(qt.Equals), first)
	world.pool.Release(second)
}

// TestClosedIdleConnectionIsNotUsed restarts the server behind the pool's back.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9)
	world.pool.Release(world.mustAcquire(pool.Request{Team: "red", Primary: true}))
	world.group.Server("a").Kill()
	c.Assert(world.group.Server("a").Start(), qt.IsNil)
	conn := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(conn.Send(spool.Command{Verb: spool.VerbStatus}), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	world.pool.Release(conn)
}

// TestCutPrimaryIsReachedThroughAnotherProxy cuts the direct way to the primary, first with and then without a detour.
func TestCutPrimaryIsReachedThroughAnotherProxy(t *testing.T) {
	c := qt.New(t)
	var cut atomic.Value
	cut.Store("")
	var detours atomic.Int32
	direct := func(ctx context.Context, address string) (net.Conn, error) {
		if address == cut.Load() {
			return nil, errors.New("no route")
		}
		return dial(ctx, address)
	}
	open := true
	detour := func(ctx context.Context, _ spool.Group, _ spool.Server, address string) (net.Conn, error) {
		if !open {
			return nil, errors.New("nobody reaches it")
		}
		detours.Add(1)
		return dial(ctx, address)
	}
	world := newWorld(t, direct, 9, pool.WithTunnelDialer(detour))
	cut.Store(world.group.Server("a").Address)
	conn := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(conn.Server(), qt.Equals, spool.Server("a"))
	c.Assert(detours.Load(), qt.Equals, int32(1))
	conn.MarkBroken()
	world.pool.Release(conn)
	open = false
	_, refusal := world.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal == nil, qt.IsFalse)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	read := world.mustAcquire(pool.Request{Team: "red"})
	c.Assert(read.Server(), qt.Not(qt.Equals), spool.Server("a"))
	world.pool.Release(read)
}
