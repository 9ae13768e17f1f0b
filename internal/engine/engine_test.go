package engine_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/engine"
	"corianderspool.example/spool/internal/fake/linecl"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// countingLimiter admits every operation and counts the tokens that are spent.
type countingLimiter struct {
	spent *atomic.Int64
}

func (countingLimiter countingLimiter) Admit(context.Context, spool.Team, int) *spool.Refusal {
	countingLimiter.spent.Add(1)
	return nil
}

func (countingLimiter countingLimiter) Finish(_ spool.Team, reached bool) {
	if !reached {
		countingLimiter.spent.Add(-1)
	}
}

// fixture is an engine with a pool and a group of servers.
type fixture struct {
	*testing.T
	group   *linesrv.Group
	pool    *pool.Pool
	engine  *engine.Engine
	config  spool.FleetConfig
	limiter countingLimiter
}

func newFixture(t *testing.T) *fixture {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	return newProxyFixture(t, group)
}

// newProxy returns another proxy for the same servers.
func (fixture *fixture) newProxy() *fixture { return newProxyFixture(fixture.T, fixture.group) }

func newProxyFixture(t *testing.T, group *linesrv.Group) *fixture {
	connections := pool.New(platform.ServerDialer{}, sock.Dialer(time.Second), clock.Real{})
	fixture := &fixture{T: t, group: group, pool: connections, limiter: countingLimiter{new(atomic.Int64)}}
	fixture.engine = engine.New(connections, clock.Real{}, fixture.limiter)
	route := func(name string, kind spool.Consistency) spool.Route {
		return spool.Route{
			Name: name, Group: "g1", Consistency: kind, MaxAge: 2 * time.Second, Timeout: 700 * time.Millisecond,
			Target: 2 * time.Second,
		}
	}
	fixture.config = spool.FleetConfig{
		Revision: 1,
		Routes: map[string]spool.Route{
			"primary": route("primary", spool.ConsistencyPrimary),
			"bounded": route("bounded", spool.ConsistencyBoundedStaleness),
			"session": route("session", spool.ConsistencyReadYourWrites),
		},
		Groups: map[spool.Group]spool.GroupLimits{"g1": {Connections: 10, SyncReplicas: 1}},
		Teams:  map[spool.Team]spool.TeamSpec{"red": {Name: "red"}, "blue": {Name: "blue"}},
		Keys:   map[string]spool.Team{"key-red": "red", "key-blue": "blue"},
		TxIdle: 300 * time.Millisecond,
	}
	connections.SetLimits(fixture.config.Groups)
	fixture.setConfig(fixture.config)
	fixture.registerServers()
	t.Cleanup(func() { connections.Close(context.Background()) })
	return fixture
}

func (fixture *fixture) setConfig(config spool.FleetConfig) {
	fixture.engine.SetConfig(&config)
}

// registerServers adds the servers to the pool as the registry shows them.
func (fixture *fixture) registerServers() {
	for _, server := range fixture.group.Servers() {
		fixture.pool.SetServer(spool.RegisteredServer{
			Server: server.ID, Group: "g1", Address: server.Address, Domain: "d", Slots: server.Slots,
			Primary: server.ID == fixture.group.Primary(), StartMillis: 1,
		})
	}
}

// caller is a connected caller.
type caller struct {
	*testing.T
	*linecl.Client
	openReply string // reply to the opening message
}

func (fixture *fixture) openSession(route, key string) *caller {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(fixture, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client, err := linecl.Dial(listener.Addr().String())
	qt.Assert(fixture, err, qt.IsNil)
	accepted, err := listener.Accept()
	qt.Assert(fixture, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fixture.engine.Serve(ctx, platform.NewCallerConn(accepted))
	}()
	fixture.Cleanup(func() {
		client.Close()
		cancel()
		<-done
	})
	return &caller{T: fixture.T, Client: client, openReply: client.Open(route, key)}
}

// connect opens a session and fails the test if it is rejected.
func (fixture *fixture) connect(route, key string) *caller {
	caller := fixture.openSession(route, key)
	qt.Assert(fixture, caller.openReply, qt.Equals, "READY I -")
	return caller
}

func (caller *caller) expect(text, verdict, state string) string {
	caller.Helper()
	reply := caller.Query(text)
	qt.Assert(caller, reply.Code+" "+reply.State, qt.Equals, verdict+" "+state, qt.Commentf("%s", text))
	return reply.Row
}

func TestSessionOpening(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	c.Assert(fixture.openSession("nowhere", "key-red").openReply, qt.Equals, "ERR NODB no such database")
	c.Assert(fixture.openSession("primary", "wrong").openReply, qt.Equals, "ERR NOAUTH unknown key")
	c.Assert(fixture.openSession("primary", "").openReply, qt.Equals, "ERR NOAUTH unknown key")
	caller := fixture.connect("primary", "key-red")
	caller.SendLine("NOISE")
	c.Assert(caller.ReadLine(), qt.Matches, "ERR MALFORMED .*")
	c.Assert(caller.ReadLine(), qt.Equals, "closed")
}

func TestReadsSeeWrites(t *testing.T) {
	for _, route := range []string{"primary", "bounded", "session"} {
		t.Run(route, func(t *testing.T) {
			caller := newFixture(t).connect(route, "key-red")
			caller.expect("WRITE item one", "DONE", "I")
			qt.Assert(t, caller.expect("READ item", "DONE", "I"), qt.Equals, "one")
		})
	}
}

// TestPreparedStatementsAndValues has two callers of one team use the same statement name for different statements.
func TestPreparedStatementsAndValues(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	first, second := fixture.connect("primary", "key-red"), fixture.connect("primary", "key-red")
	first.expect("PREPARE s WRITE q1", "DONE", "I")
	second.expect("PREPARE s READ q2", "DONE", "I")
	first.expect("SET zone north", "DONE", "I")
	for range 3 {
		first.expect("EXEC s item one", "DONE", "I")
		second.expect("EXEC s item", "DONE", "I")
	}
	second.expect("EXEC other item", "NOSTMT", "I")
	second.expect("DEALLOC s", "DONE", "I")
	second.expect("DEALLOC s", "NOSTMT", "I")
	for _, execution := range fixture.group.Executions() {
		if execution.PreparedText == "WRITE q1" {
			c.Assert(execution.SessionValues, qt.DeepEquals, map[string]string{"zone": "north"})
		} else {
			c.Assert(execution.PreparedText, qt.Equals, "READ q2")
			c.Assert(execution.SessionValues, qt.HasLen, 0)
		}
	}
}

func TestTransactions(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller, other := fixture.connect("session", "key-red"), fixture.connect("session", "key-blue")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item one", "DONE", "T")
	c.Assert(other.expect("READ item", "DONE", "I"), qt.Equals, "none")
	caller.expect("COMMIT", "DONE", "I")
	c.Assert(caller.expect("READ item", "DONE", "I"), qt.Equals, "one")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item two", "DONE", "T")
	caller.expect("ROLLBACK", "DONE", "I")
	c.Assert(fixture.group.WrittenValues("item"), qt.DeepEquals, []string{"one"})
	caller.expect("BEGIN READ", "DONE", "T")
	c.Assert(caller.expect("READ item", "DONE", "T"), qt.Equals, "one")
	caller.expect("WRITE item three", "READONLY", "E")
	caller.expect("READ item", "MALFORMED", "E")
	caller.expect("COMMIT", "ABORTED", "I")
	caller.expect("COMMIT", "MALFORMED", "I")
	caller.expect("ROLLBACK", "MALFORMED", "I")
	caller.expect("NONSENSE", "MALFORMED", "I")
}

// TestAbandonedAndIdleTransactionsAreRolledBack checks the transactions of a caller that disconnects and of one that is idle
// for too long.
func TestAbandonedAndIdleTransactionsAreRolledBack(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	disconnecting := fixture.connect("primary", "key-red")
	disconnecting.expect("BEGIN", "DONE", "T")
	disconnecting.expect("WRITE item one", "DONE", "T")
	disconnecting.SendLine("BYE")
	c.Assert(disconnecting.ReadLine(), qt.Equals, "closed")
	idle := fixture.connect("primary", "key-red")
	idle.expect("BEGIN", "DONE", "T")
	idle.expect("WRITE item two", "DONE", "T")
	time.Sleep(2 * fixture.config.TxIdle)
	idle.expect("COMMIT", "ABORTED", "I")
	c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
	idle.expect("WRITE item three", "DONE", "I")
}

// TestVerdictsOfLostAnswers checks the verdict on each kind of statement whose connection breaks before the answer.
func TestVerdictsOfLostAnswers(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller := fixture.connect("primary", "key-red")
	caller.expect("WRITE item zero", "DONE", "I")
	primary := fixture.group.Server("a")
	primary.LoseAnswers(1)
	caller.expect("WRITE item one", "INDOUBT", "I")
	primary.LoseAnswers(1)
	c.Assert(caller.expect("READ item", "DONE", "I"), qt.Equals, "one")
	caller.expect("BEGIN", "DONE", "T")
	primary.LoseAnswers(1)
	caller.expect("WRITE item two", "ABORTED", "E")
	caller.expect("ROLLBACK", "DONE", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item three", "DONE", "T")
	primary.LoseAnswers(1)
	caller.expect("COMMIT", "INDOUBT", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("READ item", "DONE", "T")
	primary.LoseAnswers(1)
	caller.expect("COMMIT", "ABORTED", "I")
	c.Assert(fixture.group.WrittenValues("item"), qt.DeepEquals, []string{"zero", "one", "three"})
}

// TestWritesRunOnce counts the effects of writes across busy answers and changes of the primary.
func TestWritesRunOnce(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller := fixture.connect("session", "key-red")
	caller.expect("WRITE item zero", "DONE", "I")
	fixture.group.Server("a").RefuseBusy(2)
	caller.expect("WRITE item one", "DONE", "I")
	fixture.group.Promote("b")
	caller.expect("WRITE item two", "DONE", "I")
	fixture.group.Promote("c")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item three", "DONE", "T")
	fixture.group.Promote("a")
	caller.expect("COMMIT", "READONLY", "I")
	c.Assert(fixture.group.WrittenValues("item"), qt.DeepEquals, []string{"zero", "one", "two"})
}

// TestStaleReplicasAreNotRead has replicas that apply nothing: reads that need newer data go to the primary.
func TestStaleReplicasAreNotRead(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	for _, server := range fixture.group.Servers() {
		server.Lagging = true
		server.WorkTime = 15 * time.Millisecond // so that reads do not prefer the primary for its speed
	}
	for _, route := range []string{"primary", "session"} {
		caller := fixture.connect(route, "key-red")
		for i := range 5 {
			caller.expect(fmt.Sprintf("WRITE item %s%d", route, i), "DONE", "I")
			c.Assert(caller.expect("READ item", "DONE", "I"), qt.Equals, fmt.Sprint(route, i))
		}
	}
}

// TestDemotedPrimaryIsNotRead promotes another server without notice to one proxy. The former primary would answer single
// reads from its old log, while another proxy writes to the new primary.
func TestDemotedPrimaryIsNotRead(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	reader := fixture.connect("primary", "key-red")
	reader.expect("WRITE item one", "DONE", "I")
	other := fixture.newProxy()
	fixture.group.Server("a").Lagging = true
	fixture.group.Promote("b")
	writer := other.connect("primary", "key-blue")
	writer.expect("WRITE item two", "DONE", "I")
	c.Assert(reader.expect("READ item", "DONE", "I"), qt.Equals, "two")
}

// TestServersReceiveTeamNotKey checks the team that reached the servers with each statement.
func TestServersReceiveTeamNotKey(t *testing.T) {
	fixture := newFixture(t)
	teams := map[string]string{} // by the statement's id
	for _, team := range []string{"red", "blue"} {
		caller := fixture.connect("session", "key-"+team)
		caller.expect("WRITE item "+team, "DONE", "I")
		teams[caller.LastID] = team
		caller.expect("READ item", "DONE", "I")
		teams[caller.LastID] = team
	}
	executions := fixture.group.Executions()
	qt.Assert(t, executions, qt.HasLen, len(teams))
	for _, execution := range executions {
		qt.Check(t, execution.Team, qt.Equals, teams[execution.ID])
	}
}

// TestWithdrawnKeyEndsSessions withdraws the key of an idle session and of one in a transaction.
func TestWithdrawnKeyEndsSessions(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	idle, busy := fixture.connect("primary", "key-red"), fixture.connect("primary", "key-red")
	busy.expect("BEGIN", "DONE", "T")
	busy.expect("WRITE item one", "DONE", "T")
	config := fixture.config
	config.Keys = map[string]spool.Team{"key-blue": "blue"}
	fixture.setConfig(config)
	c.Assert(idle.ReadLine(), qt.Matches, "ERR NOAUTH .*")
	busy.expect("COMMIT", "ABORTED", "I")
	busy.expect("READ item", "NOAUTH", "I")
	c.Assert(fixture.openSession("primary", "key-red").openReply, qt.Equals, "ERR NOAUTH unknown key")
	c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
}

// TestDrainWaitsForRunningWork drains while one session is idle, one is in a transaction and one waits for its answer.
func TestDrainWaitsForRunningWork(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	idle, busy := fixture.connect("primary", "key-red"), fixture.connect("primary", "key-red")
	working := fixture.connect("primary", "key-blue")
	busy.expect("BEGIN", "DONE", "T")
	busy.expect("WRITE item one", "DONE", "T")
	fixture.group.Server("a").WorkTime = 150 * time.Millisecond
	answered := make(chan string)
	go func() {
		answered <- working.Query("READ item").Code
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		fixture.engine.Drain(ctx)
		close(drained)
	}()
	c.Assert(idle.ReadLine(), qt.Equals, "closed")
	c.Assert(<-answered, qt.Equals, "DONE")
	busy.expect("COMMIT", "DONE", "I")
	c.Assert(busy.ReadLine(), qt.Equals, "closed")
	<-drained
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(fixture.group.WrittenValues("item"), qt.DeepEquals, []string{"one"})
}

// TestWriteToFullServerIsRefusedPromptly uses all connections: a write is refused in less than a second and does not run.
func TestWriteToFullServerIsRefusedPromptly(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	config := fixture.config
	config.TxIdle = time.Minute
	fixture.setConfig(config)
	for range 9 {
		holder := fixture.connect("primary", "key-red")
		holder.expect("BEGIN", "DONE", "T")
		holder.expect("READ item", "DONE", "T")
	}
	caller := fixture.connect("primary", "key-red")
	began := time.Now()
	caller.expect("WRITE item one", "BUSY", "I")
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	c.Assert(fixture.group.WrittenValues("item"), qt.HasLen, 0)
}

// TestUnservedOperationsReturnTheirToken counts the tokens of operations that were refused because no server was reachable:
// if they were spent, callers that retry would be refused below their rate.
func TestUnservedOperationsReturnTheirToken(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller := fixture.connect("primary", "key-red")
	caller.expect("WRITE item one", "DONE", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("READ item", "DONE", "T")
	caller.expect("COMMIT", "DONE", "I")
	c.Assert(fixture.limiter.spent.Load(), qt.Equals, int64(2))
	for _, server := range fixture.group.Servers() {
		fixture.pool.RemoveServer(server.ID)
	}
	caller.expect("READ item", "BUSY", "I")
	caller.expect("WRITE item two", "BUSY", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("READ item", "BUSY", "E")
	caller.expect("ROLLBACK", "DONE", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("ROLLBACK", "DONE", "I")
	c.Assert(fixture.limiter.spent.Load(), qt.Equals, int64(2))
}
