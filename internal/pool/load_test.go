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

// TestOverloadRefusalHalvesWindow has a server refuse one of four statements as overloaded: the pool halves the window, and
// transactions that wait for their caller do not count.
func TestOverloadRefusalHalvesWindow(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	var held []*pool.Conn
	for range 4 {
		held = append(held, fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	busy := spool.Answer{Refusal: spool.Refuse(spool.CodeNoSlot, "busy")}
	fixture.pool.RecordAnswer(held[0], busy, time.Millisecond)
	fixture.pool.Release(held[0])
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoSlot)
	fixture.pool.MarkIdleInTx(held[1])
	fixture.pool.MarkIdleInTx(held[2])
	conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	fixture.pool.MarkActive(held[1])
	_, refusal = fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoSlot)
	for _, conn := range append(held[1:], conn) {
		fixture.pool.Release(conn)
	}
}

// TestWaitBeyondDeadlineIsRefusedAtOnce queues more statements than the server can process before the deadline.
func TestWaitBeyondDeadlineIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 3)
	var held []*pool.Conn
	for range 2 {
		held = append(held, fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	fixture.pool.RecordAnswer(held[0], spool.Answer{}, 200*time.Millisecond)
	for range 4 {
		go func() { _, _ = fixture.acquire(pool.Request{Team: "red", Primary: true}) }()
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true, Priority: 1})
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	for _, conn := range held {
		fixture.pool.Release(conn)
	}
}

// watermarkSource records a watermark 20 ms after each request.
type watermarkSource struct {
	pool      *pool.Pool
	refreshes atomic.Int32
}

// Refresh records the watermark.
func (watermarkSource *watermarkSource) Refresh(context.Context, spool.Group) {
	watermarkSource.refreshes.Add(1)
	sent := clock.Real{}.Now()
	time.Sleep(20 * time.Millisecond)
	watermarkSource.pool.RecordWatermark("g1", fresh.Watermark{Position: spool.LogPosition{Term: 1, Number: 7}, SentAt: sent})
}

// TestWatermarkIsRefreshedOnceAndAhead has ten reads find no watermark: all wait for one refresh, and the next one starts
// before the watermark becomes too old.
func TestWatermarkIsRefreshedOnceAndAhead(t *testing.T) {
	c := qt.New(t)
	watermarkSource := &watermarkSource{}
	fixture := newFixture(t, dial, 9, pool.WithWatermarkSource(watermarkSource))
	watermarkSource.pool = fixture.pool
	age := func(age time.Duration) spool.Instant { return clock.Real{}.Now().Add(-age) }
	found := make(chan bool)
	for range 10 {
		go func() {
			_, known := fixture.pool.ReadPosition(context.Background(), "g1", age(time.Second))
			found <- known
		}()
	}
	for range 10 {
		c.Assert(<-found, qt.IsTrue)
	}
	c.Assert(watermarkSource.refreshes.Load(), qt.Equals, int32(1))
	_, known := fixture.pool.ReadPosition(context.Background(), "g1", age(time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(watermarkSource.refreshes.Load(), qt.Equals, int32(1))
	_, known = fixture.pool.ReadPosition(context.Background(), "g1", age(100*time.Millisecond))
	c.Assert(known, qt.IsTrue)
	time.Sleep(50 * time.Millisecond)
	c.Assert(watermarkSource.refreshes.Load(), qt.Equals, int32(2))
}
