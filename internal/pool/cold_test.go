package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestWaitersForAColdServerDoNotBlockOthers guards against a dispatch that ends after the failed offers of many requests for a cold
// primary, so that a read that waits for a warm replica is refused though it is free.
func TestWaitersForAColdServerDoNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	fixture := newColdFixture(t, &countedTokens{}, "a")
	fixture.pool.SetPrioritized(true)
	deadline := time.Now().Add(time.Second)
	var held []*pool.Conn
	for {
		conn, refusal := fixture.acquire(pool.Request{Team: "red", Deadline: time.Now()})
		if refusal != nil {
			break
		}
		held = append(held, conn)
	}
	c.Assert(len(held) > 1, qt.IsTrue)
	for range 20 {
		go func() { _, _ = fixture.acquire(pool.Request{Team: "red", Primary: true, Deadline: deadline}) }()
	}
	fixture.queued(20)
	served := make(chan spool.Server, 1)
	go func() {
		conn, refusal := fixture.acquire(pool.Request{Team: "red", Deadline: deadline})
		if refusal != nil {
			served <- ""
			return
		}
		served <- conn.Server()
		fixture.pool.Release(conn)
	}()
	fixture.queued(21)
	for _, conn := range held {
		fixture.pool.Release(conn)
	}
	c.Assert(<-served, qt.Not(qt.Equals), spool.Server(""))
}

// TestWarmupIsReportedOnce guards against a server that warms up anew with each configuration or repeated entry, which carry the
// remaining time of an earlier moment.
func TestWarmupIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	fixture := newColdFixture(t, &countedTokens{})
	registration := fixture.registration("a")
	registration.Warmup = 100 * time.Millisecond
	fixture.pool.SetServer(registration)
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true, Deadline: time.Now()})
	c.Assert(refusal, qt.IsNotNil)
	time.Sleep(150 * time.Millisecond)
	fixture.pool.SetServer(registration)
	fixture.pool.SetLimits(map[spool.Group]spool.GroupLimits{
		"g1": {Connections: 9, SyncReplicas: 1, Warmup: time.Minute, WarmupPerSecond: 5},
	})
	fixture.pool.Release(fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
}
