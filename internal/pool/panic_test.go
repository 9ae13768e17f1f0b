package pool_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// panickingClock panics once when it is read after it was armed.
type panickingClock struct {
	clock.Real
	armed atomic.Bool
}

// Now returns the current instant, or panics.
func (panickingClock *panickingClock) Now() spool.Instant {
	if panickingClock.armed.CompareAndSwap(true, false) {
		panic("clock")
	}
	return panickingClock.Real.Now()
}

// TestPanicLeavesPoolUnlocked has calls panic while they hold the pool's mutex. The engine recovers panics of sessions, so a mutex
// that stays locked would block all other sessions of the proxy.
func TestPanicLeavesPoolUnlocked(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	request := pool.Request{Group: "g1", Team: "red", Primary: true, Deadline: deadline}
	for _, test := range []struct {
		name string
		call func(fixture *fixture, conn *pool.Conn)
	}{
		{"Acquire", func(fixture *fixture, _ *pool.Conn) { fixture.pool.Acquire(context.Background(), request) }},
		{"Lend", func(fixture *fixture, _ *pool.Conn) {
			_, _, _ = fixture.pool.Lend(context.Background(), pool.LoanRequest{ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}})
		}},
		{"Release", func(fixture *fixture, conn *pool.Conn) { fixture.pool.Release(conn) }},
		{"Abandon", func(fixture *fixture, conn *pool.Conn) { fixture.pool.Abandon(conn, 1) }},
		{"Execute", func(fixture *fixture, _ *pool.Conn) { _, _ = fixture.pool.Execute("g1", "a", "red", time.Second) }},
		{"SetServer", func(fixture *fixture, _ *pool.Conn) { fixture.pool.SetServer(fixture.registration("a")) }},
		{"RemoveServer", func(fixture *fixture, _ *pool.Conn) { fixture.pool.RemoveServer("a") }},
		{"SetEvacuation", func(fixture *fixture, _ *pool.Conn) { fixture.pool.SetEvacuation(nil, []spool.Domain{"d"}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			timers := &panickingClock{}
			fixture := newFixtureWithTimers(t, dial, timers, 9)
			conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
			timers.armed.Store(true)
			c.Assert(func() { test.call(fixture, conn) }, qt.PanicMatches, "clock")
			unlocked := make(chan struct{})
			go func() {
				defer close(unlocked)
				fixture.pool.Groups()
			}()
			select {
			case <-unlocked:
			case <-time.After(5 * time.Second):
				c.Fatal("the mutex is still locked")
			}
			fixture.pool.Close(context.Background())
			c.Assert(conn.Close(), qt.IsNil)
		})
	}
}
