package lend_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

const long = 10 * time.Second // wait that no test needs in full

// newPrioritizedFixture is a fixture of a deployment whose routes differ in priority.
func newPrioritizedFixture(t *testing.T) *fixture {
	fixture := newFixture(t)
	fixture.lenderPool.SetPrioritized(true)
	return fixture
}

// prioritizedBorrower returns the pool of a proxy that borrows from the lender.
func (fixture *fixture) prioritizedBorrower() *pool.Pool {
	created := fixture.borrower()
	created.SetPrioritized(true)
	return created
}

// useAll lends all connections of the lender and returns them with their borrower.
func (fixture *fixture) useAll() (*pool.Pool, []*pool.Conn) {
	borrower := fixture.prioritizedBorrower()
	var held []*pool.Conn
	for range connections - 1 {
		held = append(held, acquire(fixture.T, borrower, nil))
	}
	qt.Assert(fixture, fixture.lender.ActiveLoans(), qt.Equals, connections-1)
	return borrower, held
}

// queued waits until a number of requests of a priority waits at the lender.
func (fixture *fixture) queued(priority, count int) {
	fixture.Helper()
	fixture.eventually(func() bool { return fixture.lenderPool.WaitingByPriority()[priority] == count })
}

func request(priority int) pool.Request {
	return pool.Request{
		Group: "g1", Team: "red", Primary: true, Priority: priority, Deadline: time.Now().Add(long), IdleTimeout: timeout,
	}
}

// TestFullLenderQueuesByPriority has three requests wait at a lender whose connections are in use: they get the first free
// connection by priority, and no connection is opened elsewhere.
func TestFullLenderQueuesByPriority(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	holder, held := fixture.useAll()
	borrower := fixture.prioritizedBorrower()
	served := make(chan int, 3)
	for _, priority := range []int{2, 1, 0} {
		go func() {
			conn, refusal := borrower.Acquire(context.Background(), request(priority))
			if refusal != nil || conn.Lender() != "lender" {
				served <- -1
				return
			}
			served <- priority
			time.Sleep(20 * time.Millisecond) // the order of the channel is that of the grants
			borrower.Release(conn)
		}()
		fixture.queued(priority, 1)
	}
	holder.Release(held[0])
	for priority := range 3 {
		c.Assert(<-served, qt.Equals, priority)
	}
	holder.Release(held[1])
	c.Assert(fixture.group.Server("a").OpenConnections() <= connections-1, qt.IsTrue) // idle ones beyond half are closed
}

// TestBorrowerThatLeavesFreesItsPlace cancels a request that waits at the lender: its place is free at once, and the next
// connection goes to the request behind it.
func TestBorrowerThatLeavesFreesItsPlace(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	holder, held := fixture.useAll()
	borrower := fixture.prioritizedBorrower()
	ctx, leave := context.WithCancel(context.Background())
	refused := make(chan *spool.Refusal, 1)
	go func() {
		_, refusal := borrower.Acquire(ctx, request(0))
		refused <- refusal
	}()
	fixture.queued(0, 1)
	got := make(chan *pool.Conn, 1)
	go func() {
		conn, _ := borrower.Acquire(context.Background(), request(1))
		got <- conn
	}()
	fixture.queued(1, 1)
	leave()
	c.Assert((<-refused).Verdict, qt.Equals, spool.VerdictNotRun)
	fixture.queued(0, 0)
	holder.Release(held[0])
	conn := <-got
	c.Assert(conn, qt.IsNotNil)
	c.Assert(conn.Lender(), qt.Equals, spool.VM("lender"))
	c.Assert(exchange(t, conn, read).Digest, qt.Equals, "digest-a-1")
	borrower.Release(conn)
	holder.Release(held[1])
}

// TestUnusedGrantKeepsTheConnection has a borrower leave after the grant and before its first command: the connection stays
// open and free.
func TestUnusedGrantKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	loan, err := fixture.Borrow(context.Background(), "lender", pool.LoanRequest{
		ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}, IdleTimeout: timeout,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(loan.Close(), qt.IsNil)
	fixture.eventually(func() bool { return fixture.lender.ActiveLoans() == 0 })
	c.Assert(fixture.group.Server("a").OpenConnections(), qt.Equals, 1)
}

// TestStoppingLenderAnswersWaiters closes the lender while a request waits there: it is answered at once.
func TestStoppingLenderAnswersWaiters(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	holder, held := fixture.useAll()
	answered := make(chan error, 1)
	go func() {
		_, err := fixture.Borrow(context.Background(), "lender", pool.LoanRequest{
			ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}, IdleTimeout: timeout, Wait: long,
		})
		answered <- err
	}()
	fixture.queued(0, 1)
	began := time.Now()
	fixture.lender.Close()
	err := <-answered
	c.Assert(time.Since(began) < long/4, qt.IsTrue)
	var refusal *pool.LoanRefusal
	c.Assert(errors.As(err, &refusal), qt.IsTrue)
	c.Assert(refusal.Reason, qt.Equals, "the proxy is about to stop")
	fixture.queued(0, 0)
	for _, conn := range held {
		holder.Release(conn)
	}
}

// TestHopelessLoanIsRefusedAtOnce asks for a shorter wait than is expected: the answer comes at once and gives a retry time. It
// guards against requests that wait in vain, and against a full lender that counts as silent.
func TestHopelessLoanIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	holder, held := fixture.useAll()
	began := time.Now()
	_, err := fixture.Borrow(context.Background(), "lender", pool.LoanRequest{
		ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}, IdleTimeout: timeout, Wait: 5 * time.Millisecond,
	})
	var refusal *pool.LoanRefusal
	c.Assert(errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(time.Since(began) < timeout, qt.IsTrue)
	for _, conn := range held {
		holder.Release(conn)
	}
}

// TestLenderAnswersAtOnceWithoutWait asks a full lender as a proxy of an older version does, without a wait.
func TestLenderAnswersAtOnceWithoutWait(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	holder, held := fixture.useAll()
	_, err := fixture.Borrow(context.Background(), "lender", pool.LoanRequest{
		ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}, IdleTimeout: timeout,
	})
	c.Assert(err, qt.ErrorMatches, ".*all connections to server a are in use")
	for _, conn := range held {
		holder.Release(conn)
	}
}

// TestFrozenLenderCostsOneWait borrows from a proxy that never answers: Borrow returns at its deadline and reports no refusal,
// so that the proxy is suspected.
func TestFrozenLenderCostsOneWait(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	go func() {
		buffer := make([]byte, 1<<10)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	began := time.Now()
	_, err := lend.Borrow(context.Background(), near, pool.LoanRequest{Wait: 50 * time.Millisecond}, began.Add(100*time.Millisecond))
	var refusal *pool.LoanRefusal
	c.Assert(err, qt.IsNotNil)
	c.Assert(errors.As(err, &refusal), qt.IsFalse)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
}

// TestOwnCallersAndBorrowersShareTheQueue has sessions of the lender and of a borrower compete for its two connections. It
// guards against a deadlock between them: all are served.
func TestOwnCallersAndBorrowersShareTheQueue(t *testing.T) {
	c := qt.New(t)
	fixture := newPrioritizedFixture(t)
	borrower := fixture.prioritizedBorrower()
	var sessions sync.WaitGroup
	for i := range 30 {
		source := fixture.lenderPool
		if i%2 == 0 {
			source = borrower
		}
		sessions.Go(func() {
			conn, refusal := source.Acquire(context.Background(), request(i%3))
			if refusal != nil {
				t.Errorf("request %d was refused: %v", i, refusal)
				return
			}
			time.Sleep(5 * time.Millisecond)
			source.Release(conn)
		})
	}
	sessions.Wait()
	c.Assert(fixture.lenderPool.WaitingByPriority(), qt.HasLen, 0)
	c.Assert(fixture.group.Server("a").OpenConnections() <= connections-1, qt.IsTrue)
}
