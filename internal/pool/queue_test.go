package pool_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// waits records the waits that ended.
type waits struct {
	mutex sync.Mutex
	ended []pool.Wait
}

// Waited records a wait.
func (waits *waits) Waited(wait pool.Wait) {
	waits.mutex.Lock()
	defer waits.mutex.Unlock()
	waits.ended = append(waits.ended, wait)
}

func (waits *waits) count(outcome pool.WaitOutcome) int {
	waits.mutex.Lock()
	defer waits.mutex.Unlock()
	count := 0
	for _, wait := range waits.ended {
		if wait.Outcome == outcome {
			count++
		}
	}
	return count
}

func (fixture *fixture) queued(count int) {
	fixture.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		total := 0
		for _, waiting := range fixture.pool.WaitingByPriority() {
			total += waiting
		}
		if total == count {
			return
		}
		if time.Now().After(deadline) {
			fixture.Fatalf("%d requests wait, not %d", total, count)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestWaitersAreServedFairlyBetweenTeams has a team that holds all connections wait with urgent requests, and another one with
// a less urgent request: the other team is served first if the routes differ in priority, else the more urgent request.
func TestWaitersAreServedFairlyBetweenTeams(t *testing.T) {
	for _, prioritized := range []bool{false, true} {
		observed := &waits{}
		fixture := newFixture(t, dial, 3, pool.WithObserver(observed))
		fixture.pool.SetPrioritized(prioritized)
		held := []*pool.Conn{
			fixture.mustAcquire(pool.Request{Team: "greedy", Primary: true}), fixture.mustAcquire(pool.Request{Team: "greedy", Primary: true}),
		}
		time.Sleep(700 * time.Millisecond) // until the use of the held connections is beyond the share
		served := make(chan spool.Team, 2)
		deadline := time.Now().Add(time.Minute)
		for priority, team := range []spool.Team{"greedy", "modest"} {
			go func() {
				conn, refusal := fixture.acquire(pool.Request{Team: team, Primary: true, Priority: priority, Deadline: deadline})
				if refusal != nil {
					served <- ""
					return
				}
				served <- team
				time.Sleep(20 * time.Millisecond)
				fixture.pool.Release(conn)
			}()
			fixture.queued(priority + 1)
		}
		fixture.pool.Release(held[0])
		first := <-served
		qt.Assert(t, first == "modest", qt.Equals, prioritized, qt.Commentf("%s", first))
		qt.Assert(t, <-served, qt.Not(qt.Equals), spool.Team(""))
		fixture.pool.Release(held[1])
		qt.Assert(t, observed.count(pool.WaitGranted), qt.Equals, 2)
	}
}

// TestCallerThatLeavesWhileConnectionIsFreed releases a connection while the request that waits for it leaves, in either order:
// no connection may stay reserved for the caller that left.
func TestCallerThatLeavesWhileConnectionIsFreed(t *testing.T) {
	c := qt.New(t)
	observed := &waits{}
	fixture := newFixture(t, dial, 3, pool.WithObserver(observed))
	fixture.pool.SetPrioritized(true)
	deadline := time.Now().Add(time.Minute)
	for round := range 100 {
		held := []*pool.Conn{
			fixture.mustAcquire(pool.Request{Team: "red", Primary: true}), fixture.mustAcquire(pool.Request{Team: "red", Primary: true}),
		}
		ctx, leave := context.WithCancel(context.Background())
		var waiting sync.WaitGroup
		waiting.Go(func() {
			team := []spool.Team{"red", "blue"}[round%2] // blue needs a new connection in place of an idle one
			conn, refusal := fixture.pool.Acquire(ctx, pool.Request{Group: "g1", Team: team, Primary: true, Deadline: deadline})
			if refusal == nil {
				fixture.pool.Release(conn)
			}
		})
		fixture.queued(1)
		if round%10 == 0 { // in the others either may come first
			leave()
			fixture.queued(0)
		} else {
			waiting.Go(leave)
		}
		waiting.Go(func() { fixture.pool.Release(held[0]) })
		waiting.Wait()
		fixture.queued(0)
		fixture.pool.Release(held[1])
	}
	c.Assert(observed.count(pool.WaitWithdrawn) > 0, qt.IsTrue)
	c.Assert(fixture.group.Server("a").OpenConnections() <= 3, qt.IsTrue)
	for range 2 {
		defer fixture.pool.Release(fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
}

// TestUrgentArrivalRefusesHopelessWaiter queues a request that could just be served in time, and then more urgent ones: it is
// refused before its deadline, with a retry time.
func TestUrgentArrivalRefusesHopelessWaiter(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 3)
	fixture.pool.SetPrioritized(true)
	held := []*pool.Conn{
		fixture.mustAcquire(pool.Request{Team: "red", Primary: true}), fixture.mustAcquire(pool.Request{Team: "red", Primary: true}),
	}
	refused := make(chan *spool.Refusal, 1)
	began := time.Now()
	go func() {
		_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true, Priority: 1, Deadline: began.Add(2 * time.Second)})
		refused <- refusal
	}()
	fixture.queued(1)
	ctx, leave := context.WithCancel(context.Background())
	var urgent sync.WaitGroup
	for range 60 { // 60 * 30 ms / 2 connections = 900 ms; the hold time grows below
		urgent.Go(func() {
			request := pool.Request{Group: "g1", Team: "red", Primary: true, Deadline: began.Add(time.Minute)}
			if conn, refusal := fixture.pool.Acquire(ctx, request); refusal == nil {
				time.Sleep(300 * time.Millisecond)
				fixture.pool.Release(conn)
			}
		})
	}
	fixture.queued(61)
	time.Sleep(300 * time.Millisecond)
	fixture.pool.Release(held[0])
	refusal := <-refused
	c.Assert(time.Since(began) < 1900*time.Millisecond, qt.IsTrue)
	c.Assert(refusal.Message, qt.Equals, "too many statements wait for the server")
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	leave()
	urgent.Wait()
	fixture.pool.Release(held[1])
}
