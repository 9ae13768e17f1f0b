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

// faults lists functions that each start or end a fault.
var faults = []func(cluster *cluster, proxy *proxy, server *fakeServer){
	func(_ *cluster, proxy *proxy, _ *fakeServer) { proxy.paused = true },
	func(cluster *cluster, proxy *proxy, _ *fakeServer) { cluster.resume(proxy) },
	func(cluster *cluster, proxy *proxy, _ *fakeServer) { cluster.restart(proxy) },
	func(cluster *cluster, proxy *proxy, _ *fakeServer) { cluster.toggleIsolation(string(proxy.vm)) },
	func(cluster *cluster, _ *proxy, server *fakeServer) { cluster.toggleIsolation(string(server.Domain)) },
	func(cluster *cluster, _ *proxy, _ *fakeServer) { cluster.lossPercent = cluster.random.IntN(3) * 15 },
	func(cluster *cluster, _ *proxy, _ *fakeServer) { cluster.platform.down = !cluster.platform.down },
	func(cluster *cluster, _ *proxy, _ *fakeServer) {
		cluster.platform.losesAnswers = !cluster.platform.losesAnswers
	},
	func(cluster *cluster, _ *proxy, _ *fakeServer) {
		cluster.platform.delay = time.Duration(2+cluster.random.IntN(2)*900) * time.Millisecond
	},
	func(_ *cluster, _ *proxy, server *fakeServer) { server.dead = true },
	func(_ *cluster, _ *proxy, server *fakeServer) { server.dead = false },
}

func (cluster *cluster) toggleIsolation(name string) {
	cluster.isolated[name] = !cluster.isolated[name]
}

// injectFault applies a fault to the proxy and server at index, or to the leader and the primary if index exceeds the
// proxies.
func (cluster *cluster) injectFault(kind, index int) {
	proxy := cluster.proxies[index%len(cluster.proxies)]
	server := cluster.servers[index%len(cluster.servers)]
	if index >= len(cluster.proxies) {
		proxy, server = cluster.leaderAndPrimary(proxy, server)
	}
	faults[kind](cluster, proxy, server)
}

// leaderAndPrimary returns the leader and the primary of the open term, or the arguments if no term is open.
func (cluster *cluster) leaderAndPrimary(other *proxy, server *fakeServer) (*proxy, *fakeServer) {
	for _, leader := range cluster.proxies {
		if leader.leader.OpenTerm() == cluster.highest {
			return leader, cluster.server(leader.leader.Primary())
		}
	}
	return other, server
}

// resume ends a pause and first delivers the messages that arrived during it.
func (cluster *cluster) resume(proxy *proxy) {
	proxy.paused = false
	inbox := proxy.inbox
	proxy.inbox = nil
	for _, do := range inbox {
		do()
	}
}

func (cluster *cluster) endFaults() {
	cluster.lossPercent = 0
	cluster.isolated = map[string]bool{}
	cluster.platform.down, cluster.platform.losesAnswers = false, false
	cluster.platform.delay = 2 * time.Millisecond
	for _, server := range cluster.servers {
		server.dead = false
	}
	for _, proxy := range cluster.proxies {
		cluster.resume(proxy)
	}
}

// TestTermsUnderFaults injects random faults and checks that no term has two primaries, that no loss of acknowledged
// writes goes unreported and that writes continue afterwards.
func TestTermsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := newCluster(rapid.Uint64().Draw(t, "seed"), 1500*time.Microsecond)
		cluster.clock.Advance(3 * time.Second)
		generator := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "faults"), 5))
		for range rapid.IntRange(1, 12).Draw(t, "episodes") {
			for range 1 + generator.IntN(4) {
				cluster.injectFault(generator.IntN(len(faults)), generator.IntN(15))
				cluster.clock.Advance(time.Duration(generator.Int64N(int64(2 * time.Second))))
			}
			if generator.IntN(2) == 0 {
				cluster.endFaults()
				cluster.clock.Advance(time.Duration(generator.Int64N(int64(3 * time.Second))))
			}
		}
		cluster.endFaults()
		cluster.clock.Advance(8 * time.Second)
		for _, violation := range cluster.violations {
			t.Fatal(violation)
		}
		cluster.requireProgress(t)
	})
}

// requireProgress fails unless writes were acknowledged in the last second and all servers are in the newest term.
func (cluster *cluster) requireProgress(t rapid.TB) {
	if len(cluster.acks) == 0 || cluster.clock.Now().Sub(cluster.acks[len(cluster.acks)-1].at) > time.Second {
		t.Fatalf("no write was acknowledged in the last second; record %v", cluster.platform.record)
	}
	for _, server := range cluster.servers {
		if server.status.Term != cluster.highest || server.status.Primary != (server.Name == cluster.opened[cluster.highest]) {
			t.Fatalf("%s is not in term %d: %+v", server.Name, cluster.highest, server.status)
		}
	}
}

func TestNoFailoverWithoutFaults(t *testing.T) {
	cluster := newCluster(1, 1500*time.Microsecond)
	cluster.clock.Advance(5 * time.Second)
	cluster.requireProgress(t)
	qt.Assert(t, cluster.violations, qt.HasLen, 0)
	qt.Assert(t, cluster.platform.record.Opened, qt.IsTrue)
	qt.Assert(t, cluster.platform.record.Term, qt.Equals, uint64(1))
	qt.Assert(t, cluster.platform.writes, qt.Equals, 1)
}
