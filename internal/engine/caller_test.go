package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/pool"
)

// heldShare is the number of connections to each server that the only proxy may open: the limit of the fixture's group, less the
// one that the pool keeps for the proxies' own commands.
const heldShare = 9

// holdShare takes all connections to the primary, so that the next statement waits for one.
func (fixture *fixture) holdShare() []*pool.Conn {
	var held []*pool.Conn
	for range heldShare {
		conn, refusal := fixture.pool.Acquire(fixture.Context(), pool.Request{
			Group: "g1", Team: "red", Primary: true, Deadline: time.Now().Add(5 * time.Second), IdleTimeout: time.Minute,
		})
		qt.Assert(fixture, refusal == nil, qt.IsTrue)
		held = append(held, conn)
	}
	return held
}

// TestCallerThatLeavesWhileQueued closes a caller's connection while its statement waits for a connection to the server: its
// place in the queue and its token are free at once, and the statement never reaches the server.
func TestCallerThatLeavesWhileQueued(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	route := fixture.config.Routes["primary"]
	route.Target = time.Minute // the statement waits up to a quarter of it
	route.Timeout = time.Minute
	fixture.config.Routes["primary"] = route
	fixture.config.Revision++
	fixture.setConfig(fixture.config)
	held := fixture.holdShare()
	caller := fixture.connect("primary", "key-red")
	go func() { _ = caller.Query("WRITE item one") }()
	waiting := func() int { return fixture.pool.WaitingByPriority()[0] }
	eventually(t, func() bool { return waiting() == 1 })
	c.Assert(fixture.limiter.spent.Load(), qt.Equals, int64(1))
	caller.Close()
	eventually(t, func() bool { return waiting() == 0 && fixture.limiter.spent.Load() == 0 })
	for _, conn := range held {
		fixture.pool.Release(conn)
	}
	time.Sleep(50 * time.Millisecond)
	c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
}

// TestStatementAfterAWait runs a statement that waited for a connection, and another one in the same session: the watch of the
// caller's connection must not end the session.
func TestStatementAfterAWait(t *testing.T) {
	fixture := newFixture(t)
	held := fixture.holdShare()
	caller := fixture.connect("primary", "key-red")
	go func() {
		time.Sleep(50 * time.Millisecond)
		fixture.pool.Release(held[0])
	}()
	caller.expect("READ item", "DONE", "I")
	caller.expect("READ item", "DONE", "I")
	for _, conn := range held[1:] {
		fixture.pool.Release(conn)
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
