package terms

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/internal/rapids"
)

func TestMain(m *testing.M) { rapids.Main(m, rapids.WithSeed(4), rapids.WithChecks(20)) }

// faults bring about a fault, or end it.
var faults = []func(world *world, proxy *proxy, server *fakeServer){
	func(_ *world, proxy *proxy, _ *fakeServer) { proxy.paused = true },
	func(world *world, proxy *proxy, _ *fakeServer) { world.wake(proxy) },
	func(world *world, proxy *proxy, _ *fakeServer) { world.restart(proxy) },
	func(world *world, proxy *proxy, _ *fakeServer) { world.isolate(string(proxy.vm)) },
	func(world *world, _ *proxy, server *fakeServer) { world.isolate(string(server.Domain)) },
	func(world *world, _ *proxy, _ *fakeServer) { world.loss = world.random.IntN(3) * 15 },
	func(world *world, _ *proxy, _ *fakeServer) { world.platform.down = !world.platform.down },
	func(world *world, _ *proxy, _ *fakeServer) { world.platform.loses = !world.platform.loses },
	func(world *world, _ *proxy, _ *fakeServer) {
		world.platform.delay = time.Duration(2+world.random.IntN(2)*900) * time.Millisecond
	},
	func(_ *world, _ *proxy, server *fakeServer) { server.dead = true },
	func(_ *world, _ *proxy, server *fakeServer) { server.dead = false },
}

func (world *world) isolate(name string) { world.isolated[name] = !world.isolated[name] }

// strike brings about a fault; an index beyond the proxies strikes the leader and the primary.
func (world *world) strike(kind, index int) {
	proxy := world.proxies[index%len(world.proxies)]
	server := world.servers[index%len(world.servers)]
	if index >= len(world.proxies) {
		proxy, server = world.struck(proxy, server)
	}
	faults[kind](world, proxy, server)
}

// struck returns the leader and the primary of an open term, if there is one.
func (world *world) struck(other *proxy, server *fakeServer) (*proxy, *fakeServer) {
	for _, leader := range world.proxies {
		if leader.leader.OpenTerm() == world.highest {
			return leader, world.server(leader.leader.Primary())
		}
	}
	return other, server
}

// wake delivers what came in during the pause before anything else runs.
func (world *world) wake(proxy *proxy) {
	proxy.paused = false
	inbox := proxy.inbox
	proxy.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// heal ends all faults.
func (world *world) heal() {
	world.loss = 0
	world.isolated = map[string]bool{}
	world.platform.down, world.platform.loses = false, false
	world.platform.delay = 2 * time.Millisecond
	for _, server := range world.servers {
		server.dead = false
	}
	for _, proxy := range world.proxies {
		world.wake(proxy)
	}
}

// TestTerms draws faults and checks that terms are never confused and that writes go on afterwards.
func TestTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(rapid.Uint64().Draw(t, "seed"), 1500*time.Microsecond)
		world.clock.Advance(3 * time.Second)
		draws := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 5))
		for range rapid.IntRange(1, 12).Draw(t, "episodes") {
			for range 1 + draws.IntN(4) {
				world.strike(draws.IntN(len(faults)), draws.IntN(15))
				world.clock.Advance(time.Duration(draws.Int64N(int64(2 * time.Second))))
			}
			if draws.IntN(2) == 0 {
				world.heal()
				world.clock.Advance(time.Duration(draws.Int64N(int64(3 * time.Second))))
			}
		}
		world.heal()
		world.clock.Advance(8 * time.Second)
		for _, violation := range world.violations {
			t.Fatal(violation)
		}
		world.requireProgress(t)
	})
}

// requireProgress fails unless the newest term takes writes and all servers are in it.
func (world *world) requireProgress(t rapid.TB) {
	if len(world.acks) == 0 || world.clock.Now().Sub(world.acks[len(world.acks)-1].at) > time.Second {
		t.Fatalf("no write was acknowledged in the last second; record %v", world.platform.record)
	}
	for _, server := range world.servers {
		if server.status.Term != world.highest || server.status.Primary != (server.Name == world.opened[world.highest]) {
			t.Fatalf("%s is not in term %d: %+v", server.Name, world.highest, server.status)
		}
	}
}

func TestCalm(t *testing.T) {
	world := newWorld(1, 1500*time.Microsecond)
	world.clock.Advance(5 * time.Second)
	world.requireProgress(t)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.platform.record.Opened, qt.IsTrue)
	qt.Assert(t, world.platform.record.Term, qt.Equals, uint64(1))
	qt.Assert(t, world.platform.writes, qt.Equals, 1)
}
