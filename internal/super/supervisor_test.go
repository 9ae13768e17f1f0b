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

// stubFleet answers polls of the other proxies with a fixed result.
type stubFleet struct {
	poll             elect.PeerPoll
	registryComplete *atomic.Bool // nil means always true
}

func (fleet stubFleet) Supervises(spool.Group, spool.Domain) bool { return true }

func (fleet stubFleet) PollPrimary(spool.Group, spool.Server) elect.PeerPoll { return fleet.poll }

func (fleet stubFleet) PollCommits(spool.Group, spool.Server) elect.PeerPoll { return fleet.poll }

func (fleet stubFleet) CloseCommits(spool.Group, elect.Closure) elect.PeerPoll {
	return fleet.poll
}

func (fleet stubFleet) OpenCommits(spool.Group, uint64) {}

func (fleet stubFleet) SettleOrders(spool.Group, uint64) {}

func (fleet stubFleet) RefreshMembers(context.Context) (uint64, error) { return 0, nil }

func (fleet stubFleet) RefreshRegistry(context.Context) error { return nil }

func (fleet stubFleet) RegistryComplete() bool {
	return fleet.registryComplete == nil || fleet.registryComplete.Load()
}

func (fleet stubFleet) Operator() spool.Team { return "operator" }

// cluster is a group of fake servers, a fake store and a pool for the supervisors under test.
type cluster struct {
	*testing.T
	group      *linesrv.Group
	store      *kvsrv.Server
	client     *platform.Client
	pool       *pool.Pool
	mutex      sync.Mutex
	promotions []string
	orderDelay time.Duration // from an accepted promotion until it takes effect
	onOrder    func()        // called for each accepted promotion; may be nil
}

func newCluster(t *testing.T) *cluster {
	group, err := linesrv.NewGroup("g1", "a", "b", "c")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(group.Close)
	cluster := &cluster{T: t, group: group}
	cluster.store = kvsrv.New(func(_, server string) bool {
		cluster.mutex.Lock()
		defer cluster.mutex.Unlock()
		cluster.promotions = append(cluster.promotions, server)
		if cluster.onOrder != nil {
			cluster.onOrder()
		}
		if cluster.orderDelay == 0 {
			group.Promote(spool.Server(server))
		} else {
			time.AfterFunc(cluster.orderDelay, func() { group.Promote(spool.Server(server)) })
		}
		return true
	})
	t.Cleanup(cluster.store.Close)
	cluster.client = platform.NewClient(cluster.store.Address(), cluster.store.Address(), sock.Dialer(time.Second))
	cluster.pool = pool.New(platform.ServerDialer{}, sock.Dialer(time.Second), clock.Real{})
	t.Cleanup(func() { cluster.pool.Close(context.Background()) })
	cluster.pool.SetLimits(map[spool.Group]spool.GroupLimits{"g1": {Connections: 10, SyncReplicas: 1}})
	cluster.register("a", false)
	return cluster
}

// register adds the servers to the pool with the given primary, which may be leaving.
func (cluster *cluster) register(primary spool.Server, leaving bool) {
	for _, server := range cluster.group.Servers() {
		spec := cluster.spec(server.ID, primary)
		if leaving && spec.Primary {
			spec.Mode = spool.ServerLeaving
		}
		cluster.pool.SetServer(spec)
	}
}

// spec returns the registry entry of a server.
func (cluster *cluster) spec(id, primary spool.Server) spool.RegisteredServer {
	return spool.RegisteredServer{
		Server: id, Group: "g1", Address: cluster.group.Server(id).Address, Domain: "d", Slots: 5,
		Primary: id == primary, StartMillis: 1,
	}
}

func (cluster *cluster) startSupervisor(vm spool.VM, fleet stubFleet) {
	ctx, cancel := context.WithCancel(context.Background())
	cluster.Cleanup(cancel)
	nonce := uint64(len(vm)) * 1000
	fencingTokens := super.NewFencingTokens(cluster.client, vm, func() uint64 { nonce++; return nonce })
	go super.New(
		vm, cluster.pool, platform.ServerDialer{}, fencingTokens, cluster.client, fleet, clock.Real{}, zap.NewNop(),
	).Run(ctx)
}

func (cluster *cluster) promotedServers() []string {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return append([]string(nil), cluster.promotions...)
}

func (cluster *cluster) eventually(condition func() bool) {
	cluster.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			cluster.Fatalf("condition not met within 8 s; promoted servers %v", cluster.promotedServers())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var allUnreachable = elect.PeerPoll{Asked: 3, Unreached: 3}

// TestGroupWithoutConfigurationIsNotSupervised guards against connections to an address that only an odd entry of the registry
// names, and against promotions in a group that no configuration has.
func TestGroupWithoutConfigurationIsNotSupervised(t *testing.T) {
	cluster := newCluster(t)
	unknown, err := linesrv.NewGroup("unknown", "x", "y")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(unknown.Close)
	for _, server := range unknown.Servers() {
		cluster.pool.SetServer(spool.RegisteredServer{
			Server: server.ID, Group: "unknown", Address: server.Address, Domain: "d", Slots: 5, StartMillis: 1,
		})
	}
	unknown.Server("x").Refuse()
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	time.Sleep(1500 * time.Millisecond)
	qt.Check(t, cluster.promotedServers(), qt.HasLen, 0)
	qt.Check(t, unknown.Server("y").LastArrival().Line, qt.Equals, "")
	cluster.group.Server("a").Kill()
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
}

func TestCrashedPrimaryIsReplaced(t *testing.T) {
	cluster := newCluster(t)
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	began := time.Now()
	cluster.group.Server("a").Kill()
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	qt.Assert(t, time.Since(began) < 2500*time.Millisecond, qt.IsTrue)
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 1)
	qt.Assert(t, cluster.group.PausedServers(), qt.HasLen, 0)
}

func TestPrimaryReachableByPeersStays(t *testing.T) {
	cluster := newCluster(t)
	cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Asked: 3, Unreached: 2, Reached: 1}})
	cluster.group.Server("a").Kill()
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
}

// TestOverloadedPrimaryStays exhausts the primary's connections, as reconnects after a power failure of the fleet do: a
// primary that rejects probes for lack of capacity is not replaced.
func TestOverloadedPrimaryStays(t *testing.T) {
	cluster := newCluster(t)
	cluster.group.Server("a").MaxConnections = 0
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
}

// TestNoFailoverWithoutReplicaThatMayHoldCommit makes a replica unreachable that may be the only one with an acknowledged
// commit: a failover without it could lose the commit.
func TestNoFailoverWithoutReplicaThatMayHoldCommit(t *testing.T) {
	cluster := newCluster(t)
	cluster.group.Server("c").Kill()
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	cluster.group.Server("a").Kill()
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	qt.Assert(t, cluster.group.Server("c").Start(), qt.IsNil)
	cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
}

func TestUnreachableReplicaIsIgnoredWhenAllProxiesAnswer(t *testing.T) {
	cluster := newCluster(t)
	cluster.group.Server("c").Kill()
	cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Asked: 3, Unreached: 3, Complete: true}})
	cluster.group.Server("a").Kill()
	cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
	qt.Assert(t, cluster.promotedServers(), qt.DeepEquals, []string{"b"})
}

func TestLeavingPrimarySwitchesOver(t *testing.T) {
	cluster := newCluster(t)
	cluster.startSupervisor("vm1", stubFleet{})
	cluster.register("a", true)
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 1)
	cluster.eventually(func() bool { return len(cluster.group.PausedServers()) == 0 })
}

// TestNoPromotionWhileRegistryIsIncomplete runs a new replica that confirms commits but is registered only after an outage
// of the store: neither a switchover nor a failover proceeds without it.
func TestNoPromotionWhileRegistryIsIncomplete(t *testing.T) {
	for _, crash := range []bool{false, true} {
		cluster := newCluster(t)
		cluster.pool.RemoveServer("c")
		registryComplete := &atomic.Bool{}
		cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable, registryComplete: registryComplete})
		if crash {
			cluster.group.Server("a").Kill()
		} else {
			leaving := cluster.spec("a", "a")
			leaving.Mode = spool.ServerLeaving
			cluster.pool.SetServer(leaving)
		}
		time.Sleep(1200 * time.Millisecond)
		qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
		cluster.pool.SetServer(cluster.spec("c", "a"))
		registryComplete.Store(true)
		cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
	}
}

// TestTwoSupervisorsPromoteOnce starts two proxies that both supervise the group; only one may request a promotion.
func TestTwoSupervisorsPromoteOnce(t *testing.T) {
	cluster := newCluster(t)
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	cluster.startSupervisor("vm-two", stubFleet{poll: allUnreachable})
	cluster.group.Server("a").Kill()
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	time.Sleep(2500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 1)
}

func TestNoPromotionWithoutFencingToken(t *testing.T) {
	cluster := newCluster(t)
	cluster.store.SetFaults(kvsrv.Faults{Status: 503})
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	cluster.group.Server("a").Kill()
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	cluster.store.SetFaults(kvsrv.Faults{})
	cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
}

// memoryStore is a store of one object whose changes may take effect without an answer.
type memoryStore struct {
	spool.Store
	object      spool.Object
	exists      bool
	lostAnswers int
}

func (memoryStore *memoryStore) Era() spool.Era { return 0 }

var errNoAnswer = errors.New("no answer")

func (memoryStore *memoryStore) Get(context.Context, string, string) (spool.Object, error) {
	if !memoryStore.exists {
		return spool.Object{}, spool.ErrNotFound
	}
	return memoryStore.object, nil
}

func (memoryStore *memoryStore) Create(_ context.Context, object spool.Object) (spool.Object, error) {
	if memoryStore.exists {
		return spool.Object{}, spool.ErrConflict
	}
	return memoryStore.write(object)
}

func (memoryStore *memoryStore) Put(_ context.Context, object spool.Object) (spool.Object, error) {
	if object.Version != memoryStore.object.Version {
		return spool.Object{}, spool.ErrConflict
	}
	return memoryStore.write(object)
}

func (memoryStore *memoryStore) write(object spool.Object) (spool.Object, error) {
	object.Version = memoryStore.object.Version + 1
	memoryStore.object, memoryStore.exists = object, true
	if memoryStore.lostAnswers > 0 {
		memoryStore.lostAnswers--
		return spool.Object{}, errNoAnswer
	}
	return object, nil
}

// TestFencingTokensIncreaseDespiteLostAnswers acquires tokens for two holders in turn while answers are lost; no token is
// issued twice.
func TestFencingTokensIncreaseDespiteLostAnswers(t *testing.T) {
	c := qt.New(t)
	store := &memoryStore{}
	nonce := uint64(0)
	next := func() uint64 { nonce++; return nonce }
	holders := []*super.FencingTokens{super.NewFencingTokens(store, "vm1", next), super.NewFencingTokens(store, "vm2", next)}
	last := uint64(0)
	for i := range 40 {
		store.lostAnswers = i % 3
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
