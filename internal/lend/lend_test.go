package lend_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

const (
	connections = 3 // to each server, one of which is in no proxy's share
	timeout     = 500 * time.Millisecond
)

// fixture is a group of servers and a proxy that lends connections to them.
type fixture struct {
	*testing.T
	group      *linesrv.Group
	lenderPool *pool.Pool
	lender     *lend.Lender
}

func newFixture(t *testing.T) *fixture {
	group, err := linesrv.NewGroup("g1", "a", "b")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	fixture := &fixture{T: t, group: group}
	fixture.lenderPool = fixture.newPool()
	fixture.lender = lend.NewLender(fixture.lenderPool, clock.Real{}, zap.NewNop())
	return fixture
}

func (fixture *fixture) newPool(options ...pool.Option) *pool.Pool {
	created := pool.New(platform.ServerDialer{}, sock.Dialer(time.Second), clock.Real{}, options...)
	fixture.Cleanup(func() { created.Close(context.Background()) })
	created.SetLimits(map[spool.Group]spool.GroupLimits{"g1": {Connections: connections, SyncReplicas: 1}})
	for _, server := range fixture.group.Servers() {
		created.SetServer(spool.RegisteredServer{
			Server: server.ID, Group: "g1", Address: server.Address, Domain: "d", Slots: 5, Primary: server.ID == "a", StartMillis: 1,
		})
	}
	return created
}

// borrower returns the pool of a proxy that borrows from the lender.
func (fixture *fixture) borrower() *pool.Pool { return fixture.newPool(pool.WithLenders(fixture)) }

// PreferredLenders returns the lender.
func (fixture *fixture) PreferredLenders(spool.Server, spool.Domain, spool.Team) []spool.VM {
	return []spool.VM{"lender"}
}

// Borrow opens a stream to the lender.
func (fixture *fixture) Borrow(ctx context.Context, _ spool.VM, request pool.LoanRequest) (*pool.Loan, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		far, err := listener.Accept()
		_ = listener.Close() // it accepts only one stream
		if err != nil {
			return
		}
		defer func() { _ = far.Close() }() // the loan has ended
		stream := lend.NewStream(far)
		frame, err := stream.Read()
		if err != nil {
			return
		}
		fixture.lender.Serve("borrower", stream, frame.GetLoanRequest())
	}()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return lend.Borrow(ctx, near, request, time.Now().Add(request.Wait+timeout))
}

func acquire(t *testing.T, connections *pool.Pool, values map[string]string) *pool.Conn {
	t.Helper()
	conn, refusal := connections.Acquire(context.Background(), pool.Request{
		Group: "g1", Team: "red", Primary: true, Values: values, Deadline: time.Now().Add(timeout), IdleTimeout: timeout,
	})
	qt.Assert(t, refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	return conn
}

func exchange(t *testing.T, conn *pool.Conn, commands ...spool.Command) spool.Answer {
	t.Helper()
	qt.Assert(t, conn.Send(commands...), qt.IsNil)
	var answer spool.Answer
	for range commands {
		var err error
		answer, err = conn.Receive(time.Now().Add(time.Second))
		qt.Assert(t, err, qt.IsNil)
	}
	return answer
}

func (fixture *fixture) eventually(condition func() bool) {
	fixture.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			fixture.Fatal("condition not met within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

var read = spool.Command{ID: "1", Verb: spool.VerbRead, Text: "item"}

// TestBorrowersShareAConnection has two proxies borrow in turn: the server sees one connection.
func TestBorrowersShareAConnection(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	for _, borrower := range []*pool.Pool{fixture.borrower(), fixture.borrower()} {
		conn := acquire(t, borrower, nil)
		c.Assert(exchange(t, conn, read).Digest, qt.Equals, "digest-a-1")
		borrower.Release(conn)
		fixture.eventually(func() bool { return fixture.lender.ActiveLoans() == 0 })
	}
	c.Assert(fixture.group.Server("a").OpenConnections(), qt.Equals, 1)
}

// TestBorrowerDisconnectRollsBackTransaction aborts a loan with an open transaction: the lender closes the connection and
// the write is rolled back.
func TestBorrowerDisconnectRollsBackTransaction(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	borrower := fixture.borrower()
	conn := acquire(t, borrower, nil)
	write := spool.Command{ID: "2", Verb: spool.VerbWrite, Text: "item one", Writes: true}
	c.Assert(exchange(t, conn, spool.Command{Verb: spool.VerbBegin}, write).State, qt.Equals, spool.TxOpen)
	conn.MarkBroken()
	borrower.Release(conn)
	fixture.eventually(func() bool { return fixture.group.Server("a").OpenConnections() == 0 })
	c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
}

// TestLenderRecordsCommitsOnLoan rolls back one transaction and commits another over a loan; only the commit is recorded.
func TestLenderRecordsCommitsOnLoan(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	borrower := fixture.borrower()
	conn := acquire(t, borrower, nil)
	write := spool.Command{ID: "2", Verb: spool.VerbWrite, Text: "item one", Writes: true}
	exchange(t, conn, spool.Command{Verb: spool.VerbBegin}, write, spool.Command{Verb: spool.VerbRollback})
	c.Assert(fixture.lenderPool.View("g1").AckedPosition.IsZero(), qt.IsTrue)
	position := exchange(t, conn, spool.Command{Verb: spool.VerbBegin}, write, spool.Command{ID: "3", Verb: spool.VerbCommit}).Position
	c.Assert(position.IsZero(), qt.IsFalse)
	c.Assert(fixture.lenderPool.View("g1").AckedPosition, qt.Equals, position)
	borrower.Release(conn)
}

// TestConnectionReturnedInTransactionIsClosed returns a connection with an open transaction: the lender closes it.
func TestConnectionReturnedInTransactionIsClosed(t *testing.T) {
	fixture := newFixture(t)
	borrower := fixture.borrower()
	conn := acquire(t, borrower, nil)
	exchange(t, conn, spool.Command{Verb: spool.VerbBegin})
	borrower.Release(conn)
	fixture.eventually(func() bool { return fixture.group.Server("a").OpenConnections() == 0 })
}

// TestLateAnswerIsDiscardedByLender abandons a statement over a loan; the next borrower gets its own answer.
func TestLateAnswerIsDiscardedByLender(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	fixture.group.Server("a").WorkTime = 100 * time.Millisecond
	borrower := fixture.borrower()
	conn := acquire(t, borrower, nil)
	c.Assert(conn.Send(read), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(20 * time.Millisecond))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	borrower.Abandon(conn, 1)
	borrower.Release(conn)
	again := acquire(t, borrower, nil)
	second := read
	second.ID = "2"
	c.Assert(exchange(t, again, second).Digest, qt.Equals, "digest-a-2")
	borrower.Release(again)
}

// TestBorrowerReceivesConnectionState sets a value and prepares a statement through one proxy: the next one needs to do
// neither again, and resets the connection for a session with another value.
func TestBorrowerReceivesConnectionState(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	north, south := map[string]string{"zone": "north"}, map[string]string{"shop": "south"}
	first, second := fixture.borrower(), fixture.borrower()
	conn := acquire(t, first, north)
	exchange(t, conn, conn.SetupCommands(north, false)...)
	name, prepare := conn.PreparedStatement("statement")
	exchange(t, conn, prepare...)
	first.Release(conn)
	fixture.eventually(func() bool { return fixture.lender.ActiveLoans() == 0 })
	conn = acquire(t, second, north)
	c.Assert(conn.SetupCommands(north, false), qt.HasLen, 0)
	same, prepare := conn.PreparedStatement("statement")
	c.Assert(prepare, qt.HasLen, 0)
	c.Assert(same, qt.Equals, name)
	c.Assert(conn.SetupCommands(south, false)[0].Verb, qt.Equals, spool.VerbReset)
	second.Release(conn)
}

// TestFullLenderIsSkipped uses all connections of the lender, and then closes it: the borrower opens its own.
func TestFullLenderIsSkipped(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	borrower := fixture.borrower()
	var held []*pool.Conn
	for range connections {
		held = append(held, acquire(t, borrower, nil))
	}
	c.Assert(fixture.lender.ActiveLoans(), qt.Equals, connections-1)
	for _, conn := range held {
		borrower.Release(conn)
	}
	fixture.lender.Close()
	own := acquire(t, borrower, nil)
	c.Assert(exchange(t, own, read).Digest, qt.Equals, "digest-a-1")
	borrower.Release(own)
}

// TestServerFailureOnLoanIsReported stops the server during a loan: the borrower gets ErrServerLost.
func TestServerFailureOnLoanIsReported(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	borrower := fixture.borrower()
	conn := acquire(t, borrower, nil)
	fixture.group.Server("a").Kill()
	c.Assert(conn.Send(read), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(time.Second))
	c.Assert(errors.Is(err, pool.ErrServerLost), qt.IsTrue, qt.Commentf("%v", err))
	borrower.RecordFailure(conn, err)
	borrower.Release(conn)
}

// TestIdleLoanIsEnded leaves a transaction open for longer than the idle timeout of the loan.
func TestIdleLoanIsEnded(t *testing.T) {
	fixture := newFixture(t)
	loan, err := fixture.Borrow(context.Background(), "lender", pool.LoanRequest{
		ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}, IdleTimeout: 50 * time.Millisecond,
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, loan.Send(spool.Command{Verb: spool.VerbBegin}), qt.IsNil)
	_, err = loan.Receive(time.Now().Add(time.Second))
	qt.Assert(t, err, qt.IsNil)
	fixture.eventually(func() bool { return fixture.group.Server("a").OpenConnections() == 0 })
}
