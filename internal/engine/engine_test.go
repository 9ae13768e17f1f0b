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

// open admits every operation and counts the tokens that are spent.
type open struct {
	spent *atomic.Int64
}

func (open open) Admit(context.Context, spool.Team) *spool.Refusal {
	open.spent.Add(1)
	return nil
}

func (open open) Finish(_ spool.Team, reached bool) {
	if !reached {
		open.spent.Add(-1)
	}
}

// world is an engine before a group of servers.
type world struct {
	*testing.T
	group      *linesrv.Group
	pool       *pool.Pool
	engine     *engine.Engine
	deployment spool.FleetConfig
	limiter    open
}

func newWorld(t *testing.T) *world {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	return proxy(t, group)
}

// another returns another proxy before the same servers.
func (world *world) another() *world { return proxy(world.T, world.group) }

func proxy(t *testing.T, group *linesrv.Group) *world {
	connections := pool.New(platform.ServerDialer{}, sock.Dialer(time.Second), clock.Real{})
	world := &world{T: t, group: group, pool: connections, limiter: open{new(atomic.Int64)}}
	world.engine = engine.New(connections, clock.Real{}, world.limiter)
	route := func(name string, kind spool.Consistency) spool.Route {
		return spool.Route{
			Name: name, Group: "g1", Consistency: kind, MaxAge: 2 * time.Second, Timeout: 700 * time.Millisecond,
			Target: 2 * time.Second,
		}
	}
	world.deployment = spool.FleetConfig{
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
	connections.SetLimits(world.deployment.Groups)
	world.apply(world.deployment)
	world.register()
	t.Cleanup(func() { connections.Close(context.Background()) })
	return world
}

func (world *world) apply(config spool.FleetConfig) { world.engine.SetConfig(&config) }

// register tells the pool of the servers as the registry shows them.
func (world *world) register() {
	for _, server := range world.group.Servers() {
		world.pool.SetServer(spool.RegisteredServer{
			Server: server.ID, Group: "g1", Address: server.Address, Domain: "d", Slots: server.Slots,
			Primary: server.ID == world.group.Primary(), StartMillis: 1,
		})
	}
}

// caller is a connected caller.
type caller struct {
	*testing.T
	*linecl.Client
	opened string // the answer to its opening
}

func (world *world) call(route, key string) *caller {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(world, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client, err := linecl.Dial(listener.Addr().String())
	qt.Assert(world, err, qt.IsNil)
	accepted, err := listener.Accept()
	qt.Assert(world, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		world.engine.Serve(ctx, platform.NewCaller(accepted))
	}()
	world.Cleanup(func() {
		client.Close()
		cancel()
		<-done
	})
	return &caller{T: world.T, Client: client, opened: client.Open(route, key)}
}

// connect opens a session that is accepted.
func (world *world) connect(route, key string) *caller {
	caller := world.call(route, key)
	qt.Assert(world, caller.opened, qt.Equals, "READY I -")
	return caller
}

func (caller *caller) expect(text, verdict, state string) string {
	caller.Helper()
	reply := caller.Ask(text)
	qt.Assert(caller, reply.Code+" "+reply.State, qt.Equals, verdict+" "+state, qt.Commentf("%s", text))
	return reply.Row
}

func TestOpening(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	c.Assert(world.call("nowhere", "key-red").opened, qt.Equals, "ERR NODB no such database")
	c.Assert(world.call("primary", "wrong").opened, qt.Equals, "ERR NOAUTH unknown key")
	c.Assert(world.call("primary", "").opened, qt.Equals, "ERR NOAUTH unknown key")
	caller := world.connect("primary", "key-red")
	caller.Send("NOISE")
	c.Assert(caller.Line(), qt.Matches, "ERR MALFORMED .*")
	c.Assert(caller.Line(), qt.Equals, "closed")
}

func TestReadsSeeWrites(t *testing.T) {
	for _, route := range []string{"primary", "bounded", "session"} {
		t.Run(route, func(t *testing.T) {
			caller := newWorld(t).connect(route, "key-red")
			caller.expect("WRITE item one", "DONE", "I")
			qt.Assert(t, caller.expect("READ item", "DONE", "I"), qt.Equals, "one")
		})
	}
}

// TestPreparedStatementsAndValues lets two callers of one team use the same names for different things.
func TestPreparedStatementsAndValues(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	one, two := world.connect("primary", "key-red"), world.connect("primary", "key-red")
	one.expect("PREPARE s WRITE q1", "DONE", "I")
	two.expect("PREPARE s READ q2", "DONE", "I")
	one.expect("SET zone north", "DONE", "I")
	for range 3 {
		one.expect("EXEC s item one", "DONE", "I")
		two.expect("EXEC s item", "DONE", "I")
	}
	two.expect("EXEC other item", "NOSTMT", "I")
	two.expect("DEALLOC s", "DONE", "I")
	two.expect("DEALLOC s", "NOSTMT", "I")
	for _, run := range world.group.Runs() {
		if run.Shape == "WRITE q1" {
			c.Assert(run.Values, qt.DeepEquals, map[string]string{"zone": "north"})
		} else {
			c.Assert(run.Shape, qt.Equals, "READ q2")
			c.Assert(run.Values, qt.HasLen, 0)
		}
	}
}

func TestTransactions(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	caller, other := world.connect("session", "key-red"), world.connect("session", "key-blue")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item one", "DONE", "T")
	c.Assert(other.expect("READ item", "DONE", "I"), qt.Equals, "none")
	caller.expect("COMMIT", "DONE", "I")
	c.Assert(caller.expect("READ item", "DONE", "I"), qt.Equals, "one")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item two", "DONE", "T")
	caller.expect("ROLLBACK", "DONE", "I")
	c.Assert(world.group.Written("item"), qt.DeepEquals, []string{"one"})
	caller.expect("BEGIN READ", "DONE", "T")
	c.Assert(caller.expect("READ item", "DONE", "T"), qt.Equals, "one")
	caller.expect("WRITE item three", "READONLY", "E")
	caller.expect("READ item", "MALFORMED", "E")
	caller.expect("COMMIT", "ABORTED", "I")
	caller.expect("COMMIT", "MALFORMED", "I")
	caller.expect("ROLLBACK", "MALFORMED", "I")
	caller.expect("NONSENSE", "MALFORMED", "I")
}

// TestLeftAndIdleTransactionsAreRolledBack frees the connection of a caller that left or rests too long.
func TestLeftAndIdleTransactionsAreRolledBack(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	leaving := world.connect("primary", "key-red")
	leaving.expect("BEGIN", "DONE", "T")
	leaving.expect("WRITE item one", "DONE", "T")
	leaving.Send("BYE")
	c.Assert(leaving.Line(), qt.Equals, "closed")
	resting := world.connect("primary", "key-red")
	resting.expect("BEGIN", "DONE", "T")
	resting.expect("WRITE item two", "DONE", "T")
	time.Sleep(2 * world.deployment.TxIdle)
	resting.expect("COMMIT", "ABORTED", "I")
	c.Assert(world.group.Written("item"), qt.HasLen, 0)
	resting.expect("WRITE item three", "DONE", "I")
}

// TestLostAnswers says what is true of each statement whose server gave no answer.
func TestLostAnswers(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	caller := world.connect("primary", "key-red")
	caller.expect("WRITE item zero", "DONE", "I")
	primary := world.group.Server("a")
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
	c.Assert(world.group.Written("item"), qt.DeepEquals, []string{"zero", "one", "three"})
}

// TestWritesRunOnce counts the effects of writes through busy answers and a change of the primary.
func TestWritesRunOnce(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	caller := world.connect("session", "key-red")
	caller.expect("WRITE item zero", "DONE", "I")
	world.group.Server("a").RefuseBusy(2)
	caller.expect("WRITE item one", "DONE", "I")
	world.group.Promote("b")
	caller.expect("WRITE item two", "DONE", "I")
	world.group.Promote("c")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item three", "DONE", "T")
	world.group.Promote("a")
	caller.expect("COMMIT", "READONLY", "I")
	c.Assert(world.group.Written("item"), qt.DeepEquals, []string{"zero", "one", "two"})
}

// TestStaleReplicasAreNotRead has replicas that apply nothing: reads that ask for newer data go to the primary.
func TestStaleReplicasAreNotRead(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	for _, server := range world.group.Servers() {
		server.Lagging = true
		server.Work = 15 * time.Millisecond // so that the primary is not the fastest by far
	}
	for _, route := range []string{"primary", "session"} {
		caller := world.connect(route, "key-red")
		for i := range 5 {
			caller.expect(fmt.Sprintf("WRITE item %s%d", route, i), "DONE", "I")
			c.Assert(caller.expect("READ item", "DONE", "I"), qt.Equals, fmt.Sprint(route, i))
		}
	}
}

// TestReplacedPrimaryIsNotRead leaves a proxy in the belief that a replaced server is the primary, which answers single
// reads from its old log, while another proxy writes to the new one.
func TestReplacedPrimaryIsNotRead(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	reader := world.connect("primary", "key-red")
	reader.expect("WRITE item one", "DONE", "I")
	other := world.another()
	world.group.Server("a").Lagging = true
	world.group.Promote("b")
	writer := other.connect("primary", "key-blue")
	writer.expect("WRITE item two", "DONE", "I")
	c.Assert(reader.expect("READ item", "DONE", "I"), qt.Equals, "two")
}

// TestServersLearnTheTeamAndNotTheKey looks at what reached the servers.
func TestServersLearnTheTeamAndNotTheKey(t *testing.T) {
	world := newWorld(t)
	teams := map[string]string{} // by the statement's id
	for _, team := range []string{"red", "blue"} {
		caller := world.connect("session", "key-"+team)
		caller.expect("WRITE item "+team, "DONE", "I")
		teams[caller.Last] = team
		caller.expect("READ item", "DONE", "I")
		teams[caller.Last] = team
	}
	runs := world.group.Runs()
	qt.Assert(t, runs, qt.HasLen, len(teams))
	for _, run := range runs {
		qt.Check(t, run.Team, qt.Equals, teams[run.ID])
	}
}

// TestWithdrawnKey ends the sessions of a key, also one in a transaction.
func TestWithdrawnKey(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	idle, busy := world.connect("primary", "key-red"), world.connect("primary", "key-red")
	busy.expect("BEGIN", "DONE", "T")
	busy.expect("WRITE item one", "DONE", "T")
	config := world.deployment
	config.Keys = map[string]spool.Team{"key-blue": "blue"}
	world.apply(config)
	c.Assert(idle.Line(), qt.Matches, "ERR NOAUTH .*")
	busy.expect("COMMIT", "ABORTED", "I")
	busy.expect("READ item", "NOAUTH", "I")
	c.Assert(world.call("primary", "key-red").opened, qt.Equals, "ERR NOAUTH unknown key")
	c.Assert(world.group.Written("item"), qt.HasLen, 0)
}

// TestDrainCutsNothing drains while one session rests, one is in a transaction and one waits for its answer.
func TestDrainCutsNothing(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	idle, busy := world.connect("primary", "key-red"), world.connect("primary", "key-red")
	working := world.connect("primary", "key-blue")
	busy.expect("BEGIN", "DONE", "T")
	busy.expect("WRITE item one", "DONE", "T")
	world.group.Server("a").Work = 150 * time.Millisecond
	answered := make(chan string)
	go func() {
		answered <- working.Ask("READ item").Code
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		world.engine.Drain(ctx)
		close(drained)
	}()
	c.Assert(idle.Line(), qt.Equals, "closed")
	c.Assert(<-answered, qt.Equals, "DONE")
	busy.expect("COMMIT", "DONE", "I")
	c.Assert(busy.Line(), qt.Equals, "closed")
	<-drained
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(world.group.Written("item"), qt.DeepEquals, []string{"one"})
}

// TestFullServersAreRefusedAtOnce says so soon, and nothing runs.
func TestFullServersAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	config := world.deployment
	config.TxIdle = time.Minute
	world.apply(config)
	for range 9 {
		holder := world.connect("primary", "key-red")
		holder.expect("BEGIN", "DONE", "T")
		holder.expect("READ item", "DONE", "T")
	}
	caller := world.connect("primary", "key-red")
	began := time.Now()
	caller.expect("WRITE item one", "BUSY", "I")
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	c.Assert(world.group.Written("item"), qt.HasLen, 0)
}

// TestOperationsThatNoServerRanCostNoToken counts the tokens of operations that were refused because no server could be
// reached, so that callers who come back are not refused for a rate that they did not use.
func TestOperationsThatNoServerRanCostNoToken(t *testing.T) {
	c := qt.New(t)
	world := newWorld(t)
	caller := world.connect("primary", "key-red")
	caller.expect("WRITE item one", "DONE", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("READ item", "DONE", "T")
	caller.expect("COMMIT", "DONE", "I")
	c.Assert(world.limiter.spent.Load(), qt.Equals, int64(2))
	for _, server := range world.group.Servers() {
		world.pool.RemoveServer(server.ID)
	}
	caller.expect("READ item", "BUSY", "I")
	caller.expect("WRITE item two", "BUSY", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("READ item", "BUSY", "E")
	caller.expect("ROLLBACK", "DONE", "I")
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("ROLLBACK", "DONE", "I")
	c.Assert(world.limiter.spent.Load(), qt.Equals, int64(2))
}
