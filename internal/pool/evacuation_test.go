package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// newPlacedFixture places each server in the failure domain z and its name.
func newPlacedFixture(t *testing.T) *fixture {
	fixture := newFixture(t, dial, 9)
	for _, server := range fixture.group.Servers() {
		spec := fixture.registration(server.ID)
		spec.Domain = spool.Domain("z" + string(server.ID))
		fixture.pool.SetServer(spec)
	}
	return fixture
}

// evacuationSince returns the evacuation of failure domains that was learned a while ago.
func evacuationSince(ago time.Duration, domains ...spool.Domain) *place.Evacuation {
	var record place.EvacuationRecord
	record.Apply(1, domains, clock.Real{}.Now().Add(-ago))
	return record.Current
}

// TestNothingIsSentToAnEvacuatedServer evacuates the primary's failure domain while connections are idle, granted, in a
// transaction and in use by the supervisor.
func TestNothingIsSentToAnEvacuatedServer(t *testing.T) {
	c := qt.New(t)
	fixture := newPlacedFixture(t)
	server := fixture.group.Server("a")
	idle, granted := fixture.mustAcquire(pool.Request{Team: "red", Primary: true}), fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	inTx := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	fixture.pool.Release(idle)
	begin, read := spool.Command{Verb: spool.VerbBegin}, spool.Command{ID: "1", Verb: spool.VerbRead, Text: "item"}
	c.Assert(inTx.Send(begin), qt.IsNil)
	_, err := inTx.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	arrived := server.LastArrival()
	fixture.pool.SetEvacuation(evacuationSince(0, "za"), nil)

	c.Assert(granted.Send(read), qt.Equals, pool.ErrEvacuated)
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoPrimary)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(fixture.pool.ProbePrimary("g1", "a", "operator"), qt.Equals, pool.ErrEvacuated)
	_, _, err = fixture.pool.Lend(t.Context(), pool.LoanRequest{ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}})
	c.Assert(err, qt.IsNotNil)
	c.Assert(server.LastArrival(), qt.Equals, arrived)
	status := spool.Command{Verb: spool.VerbStatus}
	_, err = fixture.pool.Execute("g1", "a", "operator", time.Second, status)
	c.Assert(err, qt.IsNil)
	c.Assert(inTx.Send(read), qt.IsNil)
	_, err = inTx.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)

	arrived = server.LastArrival()
	fixture.pool.SetEvacuation(evacuationSince(place.TransactionTime, "za"), nil)
	c.Assert(inTx.TransactionEnded(), qt.IsTrue)
	c.Assert(inTx.Send(read), qt.Equals, pool.ErrEvacuated)
	c.Assert(fixture.pool.RollBack(inTx), qt.Equals, pool.ErrEvacuated)
	_, err = fixture.pool.Execute("g1", "a", "operator", time.Second, status)
	c.Assert(err, qt.Equals, pool.ErrEvacuated)
	fixture.pool.Release(granted)
	fixture.pool.Release(inTx)
	connections, statements := fixture.pool.Remaining("za")
	c.Assert(connections, qt.Equals, 0)
	c.Assert(statements, qt.Equals, 0)
	c.Assert(server.LastArrival(), qt.Equals, arrived)
	other := fixture.mustAcquire(pool.Request{Team: "red"})
	c.Assert(other.Domain(), qt.Not(qt.Equals), spool.Domain("za"))
	fixture.pool.Release(other)
}

// TestQueuedRequestIsNotGrantedAnEvacuatedServer evacuates the failure domain of the only allowed server while a request waits
// for a connection to it.
func TestQueuedRequestIsNotGrantedAnEvacuatedServer(t *testing.T) {
	c := qt.New(t)
	fixture := newPlacedFixture(t)
	allowed := func(domain spool.Domain) bool { return domain == "zb" }
	request := pool.Request{Team: "red", Allowed: allowed, Deadline: time.Now().Add(time.Second)}
	var held []*pool.Conn
	for range 8 {
		held = append(held, fixture.mustAcquire(request))
	}
	refused := make(chan *spool.Refusal, 1)
	go func() {
		_, refusal := fixture.acquire(request)
		refused <- refusal
	}()
	time.Sleep(100 * time.Millisecond)
	fixture.pool.SetEvacuation(evacuationSince(0, "zb"), nil)
	for _, conn := range held {
		fixture.pool.Release(conn)
	}
	refusal := <-refused
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	began := time.Now()
	_, refusal = fixture.acquire(pool.Request{Team: "red", Allowed: allowed, Deadline: time.Now().Add(time.Second)})
	c.Assert(refusal.RetryAfter, qt.Equals, place.EvacuationRetry)
	c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	c.Assert(waitForConnections(fixture.group.Server("b"), 0), qt.IsTrue)
}

func waitForConnections(server *linesrv.Server, count int) bool {
	for range 100 {
		if server.OpenConnections() == count {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestWithdrawnEvacuationReturnsLoadInSteps opens the failure domain of the primary again: at once it gets one statement of this
// proxy, and after a while all.
func TestWithdrawnEvacuationReturnsLoadInSteps(t *testing.T) {
	c := qt.New(t)
	fixture := newPlacedFixture(t)
	fixture.pool.SetEvacuation(evacuationSince(0, "za"), nil)
	fixture.pool.SetEvacuation(nil, []spool.Domain{"za"})
	first := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal == nil, qt.IsFalse)
	read := fixture.mustAcquire(pool.Request{Team: "red"})
	c.Assert(read.Domain(), qt.Not(qt.Equals), spool.Domain("za"))
	fixture.pool.Release(read)
	fixture.pool.Release(first)
	time.Sleep(7 * place.ReopenStep)
	var conns []*pool.Conn
	for range 40 { // the congestion window grows with the answers
		conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
		fixture.pool.RecordAnswer(conn, spool.Answer{}, time.Millisecond)
		fixture.pool.Release(conn)
	}
	for range 2 {
		conns = append(conns, fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	}
	for _, conn := range conns {
		fixture.pool.Release(conn)
	}
}
