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
	connections = 3 // of each server, one of which no proxy counts on
	patience    = 500 * time.Millisecond
)

// world is a group of servers and a proxy that lends connections to them.
type world struct {
	*testing.T
	group  *linesrv.Group
	home   *pool.Pool
	lender *lend.Lender
}

func newWorld(t *testing.T) *world {
	group, err := linesrv.NewGroup("g1", "a", "b")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	world := &world{T: t, group: group}
	world.home = world.newPool()
	world.lender = lend.NewLender(world.home, clock.Real{}, zap.NewNop())
	return world
}

func (world *world) newPool(options ...pool.Option) *pool.Pool {
	created := pool.New(platform.ServerDialer{}, sock.Dialer(time.Second), clock.Real{}, options...)
	world.Cleanup(func() { created.Close(context.Background()) })
	created.SetLimits(map[spool.Group]spool.GroupLimits{"g1": {Connections: connections, SyncReplicas: 1}})
	for _, server := range world.group.Servers() {
		created.SetServer(spool.RegisteredServer{
			Server: server.ID, Group: "g1", Address: server.Address, Domain: "d", Slots: 5, Primary: server.ID == "a", StartMillis: 1,
		})
	}
	return created
}

// borrower returns the pool of a proxy that borrows from the lender.
func (world *world) borrower() *pool.Pool { return world.newPool(pool.WithLenders(world)) }

// Homes names the lender.
func (world *world) PreferredLenders(spool.Server, spool.Domain, spool.Team) []spool.VM {
	return []spool.VM{"home"}
}

// Borrow opens a stream to the lender.
func (world *world) Borrow(_ context.Context, _ spool.VM, request pool.LoanRequest) (*pool.Loan, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		far, err := listener.Accept()
		_ = listener.Close() // it is for one stream
		if err != nil {
			return
		}
		defer func() { _ = far.Close() }() // the loan has ended
		stream := lend.NewStream(far)
		frame, err := stream.Read()
		if err != nil {
			return
		}
		world.lender.Serve("borrower", stream, frame.GetLoanRequest())
	}()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return lend.Borrow(near, request, time.Now().Add(patience))
}

func acquire(t *testing.T, connections *pool.Pool, values map[string]string) *pool.Conn {
	t.Helper()
	conn, refusal := connections.Acquire(context.Background(), pool.Request{
		Group: "g1", Team: "red", Primary: true, Values: values, Deadline: time.Now().Add(patience), IdleTimeout: patience,
	})
	qt.Assert(t, refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	return conn
}

func ask(t *testing.T, conn *pool.Conn, commands ...spool.Command) spool.Answer {
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

func (world *world) eventually(condition func() bool) {
	world.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			world.Fatal("the condition did not come about")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

var read = spool.Command{ID: "1", Verb: spool.VerbRead, Text: "item"}

// TestBorrowersShareAConnection has two proxies use one connection in turn: the server sees one handshake.
func TestBorrowersShareAConnection(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	for _, borrower := range []*pool.Pool{world.borrower(), world.borrower()} {
		conn := acquire(t, borrower, nil)
		c.Assert(ask(t, conn, read).Digest, qt.Equals, "digest-a-1")
		borrower.Release(conn)
		world.eventually(func() bool { return world.lender.ActiveLoans() == 0 })
	}
	c.Assert(world.group.Server("a").Conns(), qt.Equals, 1)
}

// TestBorrowerThatVanishesInATransaction breaks the loan off: nothing of the transaction stays.
func TestBorrowerThatVanishesInATransaction(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	borrower := world.borrower()
	conn := acquire(t, borrower, nil)
	write := spool.Command{ID: "2", Verb: spool.VerbWrite, Text: "item one", Writes: true}
	c.Assert(ask(t, conn, spool.Command{Verb: spool.VerbBegin}, write).State, qt.Equals, spool.TxOpen)
	conn.MarkBroken()
	borrower.Release(conn)
	world.eventually(func() bool { return world.group.Server("a").Conns() == 0 })
	c.Assert(world.group.Written("item"), qt.HasLen, 0)
}

// TestLenderKnowsCommitsOnLoan commits a transaction through a loan and rolls another one back.
func TestLenderKnowsCommitsOnLoan(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	borrower := world.borrower()
	conn := acquire(t, borrower, nil)
	write := spool.Command{ID: "2", Verb: spool.VerbWrite, Text: "item one", Writes: true}
	ask(t, conn, spool.Command{Verb: spool.VerbBegin}, write, spool.Command{Verb: spool.VerbRollback})
	c.Assert(world.home.View("g1").AckedPosition.IsZero(), qt.IsTrue)
	position := ask(t, conn, spool.Command{Verb: spool.VerbBegin}, write, spool.Command{ID: "3", Verb: spool.VerbCommit}).Position
	c.Assert(position.IsZero(), qt.IsFalse)
	c.Assert(world.home.View("g1").AckedPosition, qt.Equals, position)
	borrower.Release(conn)
}

// TestOpenTransactionIsNotLentOn gives a connection back with its transaction open: the lender closes it.
func TestOpenTransactionIsNotLentOn(t *testing.T) {
	world := newWorld(t)
	borrower := world.borrower()
	conn := acquire(t, borrower, nil)
	ask(t, conn, spool.Command{Verb: spool.VerbBegin})
	borrower.Release(conn)
	world.eventually(func() bool { return world.group.Server("a").Conns() == 0 })
}

// TestLateAnswerStaysWithTheLender gives up a statement; the next borrower gets its own answer.
func TestLateAnswerStaysWithTheLender(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	world.group.Server("a").Work = 100 * time.Millisecond
	borrower := world.borrower()
	conn := acquire(t, borrower, nil)
	c.Assert(conn.Send(read), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(20 * time.Millisecond))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue)
	borrower.Abandon(conn, 1)
	borrower.Release(conn)
	again := acquire(t, borrower, nil)
	second := read
	second.ID = "2"
	c.Assert(ask(t, again, second).Digest, qt.Equals, "digest-a-2")
	borrower.Release(again)
}

// TestBorrowerLearnsWhatAConnectionHolds sets a value through one proxy; the next one, whose session has another, resets.
func TestBorrowerLearnsWhatAConnectionHolds(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	north, south := map[string]string{"zone": "north"}, map[string]string{"shop": "south"}
	first, second := world.borrower(), world.borrower()
	conn := acquire(t, first, north)
	ask(t, conn, conn.SetupCommands(north, false)...)
	name, prepare := conn.PreparedStatement("shape")
	ask(t, conn, prepare...)
	first.Release(conn)
	world.eventually(func() bool { return world.lender.ActiveLoans() == 0 })
	conn = acquire(t, second, north)
	c.Assert(conn.SetupCommands(north, false), qt.HasLen, 0)
	same, prepare := conn.PreparedStatement("shape")
	c.Assert(prepare, qt.HasLen, 0)
	c.Assert(same, qt.Equals, name)
	c.Assert(conn.SetupCommands(south, false)[0].Verb, qt.Equals, spool.VerbReset)
	second.Release(conn)
}

// TestLenderWithoutRoomIsPassedOver uses all connections of the lender: the next one is the borrower's own.
func TestLenderWithoutRoomIsPassedOver(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	borrower := world.borrower()
	var held []*pool.Conn
	for range connections {
		held = append(held, acquire(t, borrower, nil))
	}
	c.Assert(world.lender.ActiveLoans(), qt.Equals, connections-1)
	for _, conn := range held {
		borrower.Release(conn)
	}
	world.lender.Close()
	own := acquire(t, borrower, nil)
	c.Assert(ask(t, own, read).Digest, qt.Equals, "digest-a-1")
	borrower.Release(own)
}

// TestServerLostOnLoanIsTold kills the server while its connection is lent.
func TestServerLostOnLoanIsTold(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	borrower := world.borrower()
	conn := acquire(t, borrower, nil)
	world.group.Server("a").Kill()
	c.Assert(conn.Send(read), qt.IsNil)
	_, err := conn.Receive(time.Now().Add(time.Second))
	c.Assert(errors.Is(err, pool.ErrServerLost), qt.IsTrue, qt.Commentf("%v", err))
	borrower.RecordFailure(conn, err)
	borrower.Release(conn)
}

// TestSilentBorrowerLosesTheLoan leaves a transaction open for longer than the borrower said.
func TestSilentBorrowerLosesTheLoan(t *testing.T) {
	world := newWorld(t)
	loan, err := world.Borrow(context.Background(), "home", pool.LoanRequest{
		ServerTarget: spool.ServerTarget{Group: "g1", Server: "a", Team: "red"}, IdleTimeout: 50 * time.Millisecond,
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, loan.Send(spool.Command{Verb: spool.VerbBegin}), qt.IsNil)
	_, err = loan.Receive(time.Now().Add(time.Second))
	qt.Assert(t, err, qt.IsNil)
	world.eventually(func() bool { return world.group.Server("a").Conns() == 0 })
}
