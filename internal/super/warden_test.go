package super_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// others stands for the other proxies.
type others struct {
	canvass elect.PeerPoll
	settled *atomic.Bool // nil for always
}

func (others others) Supervises(spool.Group, spool.Domain) bool { return true }

func (others others) PollPrimary(spool.Group, spool.Server) elect.PeerPoll { return others.canvass }

func (others others) PollCommits(spool.Group, spool.Server) elect.PeerPoll { return others.canvass }

func (others others) RegistryComplete() bool { return others.settled == nil || others.settled.Load() }

func (others others) Operator() spool.Team { return "operator" }

// world is a warden before a group of servers and the platform.
type world struct {
	*testing.T
	group  *linesrv.Group
	store  *kvsrv.Server
	client *platform.Client
	pool   *pool.Pool
	mutex  sync.Mutex
	orders []string
}

func newWorld(t *testing.T) *world {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	world := &world{T: t, group: group}
	world.store = kvsrv.New(func(_, server string) bool {
		world.mutex.Lock()
		defer world.mutex.Unlock()
		world.orders = append(world.orders, server)
		group.Promote(spool.Server(server))
		return true
	})
	t.Cleanup(world.store.Close)
	world.client = platform.NewClient(world.store.Address(), world.store.Address(), sock.Dialer(time.Second))
	world.pool = pool.New(platform.ServerDialer{}, sock.Dialer(time.Second), clock.Real{})
	t.Cleanup(func() { world.pool.Close(context.Background()) })
	world.pool.SetLimits(map[spool.Group]spool.GroupLimits{"g1": {Connections: 10, SyncReplicas: 1}})
	world.register("a", false)
	return world
}

// register tells the pool of the servers, of which one calls itself primary and may be leaving.
func (world *world) register(primary spool.Server, leaving bool) {
	for _, server := range world.group.Servers() {
		spec := world.spec(server.ID, primary)
		if leaving && spec.Primary {
			spec.Mode = spool.ServerLeaving
		}
		world.pool.SetServer(spec)
	}
}

// spec is the entry of a server.
func (world *world) spec(id, primary spool.Server) spool.RegisteredServer {
	return spool.RegisteredServer{
		Server: id, Group: "g1", Address: world.group.Server(id).Address, Domain: "d", Slots: 5,
		Primary: id == primary, StartMillis: 1,
	}
}

func (world *world) start(vm spool.VM, others others) {
	ctx, cancel := context.WithCancel(context.Background())
	world.Cleanup(cancel)
	nonce := uint64(len(vm)) * 1000
	tokens := super.NewFencingTokens(world.client, vm, func() uint64 { nonce++; return nonce })
	go super.New(
		vm, world.pool, platform.ServerDialer{}, tokens, world.client, others, clock.Real{}, zap.NewNop(),
	).Run(ctx)
}

func (world *world) ordered() []string {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]string(nil), world.orders...)
}

func (world *world) eventually(condition func() bool) {
	world.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			world.Fatalf("the condition did not come about; orders %v", world.ordered())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var allUnreached = elect.PeerPoll{Asked: 3, Unreached: 3}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	world := newWorld(t)
	world.start("vm1", others{canvass: allUnreached})
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 0)
	began := time.Now()
	world.group.Server("a").Kill()
	world.eventually(func() bool { return world.group.Primary() != "a" })
	qt.Assert(t, time.Since(began) < 2500*time.Millisecond, qt.IsTrue)
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 1)
	qt.Assert(t, world.group.Paused(), qt.HasLen, 0)
}

func TestPrimaryThatOthersReachStays(t *testing.T) {
	world := newWorld(t)
	world.start("vm1", others{canvass: elect.PeerPoll{Asked: 3, Unreached: 2, Reached: 1}})
	world.group.Server("a").Kill()
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 0)
}

// TestFullPrimaryStays fills all connections of the primary, as those of a fleet that lost power do.
func TestFullPrimaryStays(t *testing.T) {
	world := newWorld(t)
	world.group.Server("a").Limit = 0
	world.start("vm1", others{canvass: allUnreached})
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 0)
}

// TestCommitOfAnUnseenReplicaIsNotLost has a replica out of reach that may alone hold an acknowledged commit.
func TestCommitOfAnUnseenReplicaIsNotLost(t *testing.T) {
	world := newWorld(t)
	world.group.Server("c").Kill()
	world.start("vm1", others{canvass: allUnreached})
	world.group.Server("a").Kill()
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 0)
	qt.Assert(t, world.group.Server("c").Start(), qt.IsNil)
	world.eventually(func() bool { return len(world.ordered()) == 1 })
}

func TestUnseenReplicaDoesNotMatterWhenAllProxiesTold(t *testing.T) {
	world := newWorld(t)
	world.group.Server("c").Kill()
	world.start("vm1", others{canvass: elect.PeerPoll{Asked: 3, Unreached: 3, Complete: true}})
	world.group.Server("a").Kill()
	world.eventually(func() bool { return len(world.ordered()) == 1 })
	qt.Assert(t, world.ordered(), qt.DeepEquals, []string{"b"})
}

func TestLeavingPrimaryHandsOverWhileItServes(t *testing.T) {
	world := newWorld(t)
	world.start("vm1", others{})
	world.register("a", true)
	world.eventually(func() bool { return world.group.Primary() != "a" })
	qt.Assert(t, world.ordered(), qt.HasLen, 1)
	world.eventually(func() bool { return len(world.group.Paused()) == 0 })
}

// TestUnregisteredReplicaIsNotForgotten has a new replica that runs, confirms commits and is registered only when the
// store is back: neither a hand-over nor a replacement goes on without it.
func TestUnregisteredReplicaIsNotForgotten(t *testing.T) {
	for _, crash := range []bool{false, true} {
		world := newWorld(t)
		world.pool.RemoveServer("c")
		settled := &atomic.Bool{}
		world.start("vm1", others{canvass: allUnreached, settled: settled})
		if crash {
			world.group.Server("a").Kill()
		} else {
			leaving := world.spec("a", "a")
			leaving.Mode = spool.ServerLeaving
			world.pool.SetServer(leaving)
		}
		time.Sleep(1200 * time.Millisecond)
		qt.Assert(t, world.ordered(), qt.HasLen, 0)
		world.pool.SetServer(world.spec("c", "a"))
		settled.Store(true)
		world.eventually(func() bool { return len(world.ordered()) == 1 })
	}
}

// TestTwoWardensOrderOnce starts two proxies that both believe they look after the group.
func TestTwoWardensOrderOnce(t *testing.T) {
	world := newWorld(t)
	world.start("vm1", others{canvass: allUnreached})
	world.start("vm-two", others{canvass: allUnreached})
	world.group.Server("a").Kill()
	world.eventually(func() bool { return world.group.Primary() != "a" })
	time.Sleep(2500 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 1)
}

func TestNothingIsOrderedWithoutAToken(t *testing.T) {
	world := newWorld(t)
	world.store.SetFaults(kvsrv.Faults{Status: 503})
	world.start("vm1", others{canvass: allUnreached})
	world.group.Server("a").Kill()
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, world.ordered(), qt.HasLen, 0)
	world.store.SetFaults(kvsrv.Faults{})
	world.eventually(func() bool { return len(world.ordered()) == 1 })
}

// memory is a store of one object whose changes may take effect without an answer.
type memory struct {
	spool.Store
	object spool.Object
	exists bool
	lose   int
}

var errLost = errors.New("no answer")

func (memory *memory) Get(context.Context, string, string) (spool.Object, error) {
	if !memory.exists {
		return spool.Object{}, spool.ErrNotFound
	}
	return memory.object, nil
}

func (memory *memory) Create(_ context.Context, object spool.Object) (spool.Object, error) {
	if memory.exists {
		return spool.Object{}, spool.ErrConflict
	}
	return memory.write(object)
}

func (memory *memory) Put(_ context.Context, object spool.Object) (spool.Object, error) {
	if object.Version != memory.object.Version {
		return spool.Object{}, spool.ErrConflict
	}
	return memory.write(object)
}

func (memory *memory) write(object spool.Object) (spool.Object, error) {
	object.Version = memory.object.Version + 1
	memory.object, memory.exists = object, true
	if memory.lose > 0 {
		memory.lose--
		return spool.Object{}, errLost
	}
	return object, nil
}

// TestTokensRiseThroughLostAnswers takes tokens by turns while answers get lost; none is ever given twice.
func TestTokensRiseThroughLostAnswers(t *testing.T) {
	c := qt.New(t)
	store := &memory{}
	nonce := uint64(0)
	next := func() uint64 { nonce++; return nonce }
	holders := []*super.FencingTokens{super.NewFencingTokens(store, "vm1", next), super.NewFencingTokens(store, "vm2", next)}
	last := uint64(0)
	for i := range 40 {
		store.lose = i % 3
		token, recent, err := holders[i/2%2].Next(context.Background(), "g1")
		c.Assert(err, qt.IsNil)
		c.Assert(token > last, qt.IsTrue)
		if i > 0 && i%2 == 0 {
			c.Assert(recent, qt.IsTrue)
		}
		last = token
	}
	store.object.Body = json.RawMessage(`"noise"`)
	_, _, err := holders[0].Next(context.Background(), "g1")
	c.Assert(err, qt.IsNotNil)
}
