package pool_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestBusyServerGetsFewerStatements lets a server refuse one statement for load: half as many start there, and a
// transaction that waits for its caller does not count.
func TestBusyServerGetsFewerStatements(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 9)
	var held []*pool.Conn
	for range 4 {
		held = append(held, world.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	busy := spool.Answer{Refusal: spool.Refuse(spool.CodeNoSlot, "busy")}
	world.pool.RecordAnswer(held[0], busy, time.Millisecond)
	world.pool.Release(held[0])
	_, refusal := world.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoSlot)
	world.pool.MarkIdleInTx(held[1])
	world.pool.MarkIdleInTx(held[2])
	conn := world.mustAcquire(pool.Request{Team: "red", Primary: true})
	world.pool.MarkActive(held[1])
	_, refusal = world.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoSlot)
	for _, conn := range append(held[1:], conn) {
		world.pool.Release(conn)
	}
}

// TestHopelessWaitIsRefusedAtOnce finds more statements waiting than the server can work off in time.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t, dial, 3)
	var held []*pool.Conn
	for range 2 {
		held = append(held, world.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	world.pool.RecordAnswer(held[0], spool.Answer{}, 200*time.Millisecond)
	for range 4 {
		go func() { _, _ = world.acquire(pool.Request{Team: "red", Primary: true}) }()
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	_, refusal := world.acquire(pool.Request{Team: "red", Primary: true, Priority: 1})
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	for _, conn := range held {
		world.pool.Release(conn)
	}
}

// marker tells a position a while after it is asked.
type marker struct {
	pool  *pool.Pool
	asked atomic.Int32
}

// Refresh notes the position.
func (marker *marker) Refresh(context.Context, spool.Group) {
	marker.asked.Add(1)
	sent := clock.Real{}.Now()
	time.Sleep(20 * time.Millisecond)
	marker.pool.RecordWatermark("g1", fresh.Watermark{Position: spool.LogPosition{Term: 1, Number: 7}, SentAt: sent})
}

// TestPositionIsAskedForOnceAndAhead has ten reads find no position: all wait for one question, and the next one is asked
// before the position gets too old.
func TestPositionIsAskedForOnceAndAhead(t *testing.T) {
	c := qt.New(t)
	marker := &marker{}
	world := newWorld(t, dial, 9, pool.WithWatermarkSource(marker))
	marker.pool = world.pool
	age := func(age time.Duration) spool.Instant { return clock.Real{}.Now().Add(-age) }
	found := make(chan bool)
	for range 10 {
		go func() {
			_, known := world.pool.ReadPosition(context.Background(), "g1", age(time.Second))
			found <- known
		}()
	}
	for range 10 {
		c.Assert(<-found, qt.IsTrue)
	}
	c.Assert(marker.asked.Load(), qt.Equals, int32(1))
	_, known := world.pool.ReadPosition(context.Background(), "g1", age(time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(marker.asked.Load(), qt.Equals, int32(1))
	_, known = world.pool.ReadPosition(context.Background(), "g1", age(100*time.Millisecond))
	c.Assert(known, qt.IsTrue)
	time.Sleep(50 * time.Millisecond)
	c.Assert(marker.asked.Load(), qt.Equals, int32(2))
}
