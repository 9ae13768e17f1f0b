package super_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// recoveringFleet starts a server again once a fencing token was issued.
type recoveringFleet struct {
	stubFleet
	cluster *cluster
	server  spool.Server
	once    *sync.Once
}

func (fleet recoveringFleet) RegistryComplete() bool {
	if len(fleet.cluster.store.Names(super.KindFencingToken)) > 0 {
		fleet.once.Do(func() { _ = fleet.cluster.group.Server(fleet.server).Start() })
	}
	return true
}

// TestFailoverEndsWhenPrimaryAnswersAgain guards against a promotion while the primary commits again: it was cut off from the
// proxies when they were polled, and answers before the promotion is requested.
func TestFailoverEndsWhenPrimaryAnswersAgain(t *testing.T) {
	cluster := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fleet := recoveringFleet{stubFleet{poll: allUnreachable}, cluster, "a", &sync.Once{}}
	tokens := super.NewFencingTokens(cluster.client, "vm1", rand.Uint64)
	cluster.group.Server("a").Refuse()
	go super.New(
		"vm1", cluster.pool, platform.ServerDialer{}, tokens, cluster.client, fleet, clock.Real{}, zap.NewNop(),
	).Run(ctx)
	cluster.eventually(func() bool { return len(cluster.store.Names(super.KindFencingToken)) > 0 })
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
	cluster.eventually(func() bool { return len(cluster.group.PausedServers()) == 0 })
}

// TestServerThatJoinsBeforePromotionIsPaused guards against the loss of commits that a new server confirms: it joins after the
// promotion was requested and before it takes effect, while the leaving primary still commits.
func TestServerThatJoinsBeforePromotionIsPaused(t *testing.T) {
	cluster := newCluster(t)
	_, err := cluster.group.Add("d")
	qt.Assert(t, err, qt.IsNil)
	joined := make(chan struct{})
	cluster.orderDelay = time.Second
	cluster.onOrder = sync.OnceFunc(func() {
		time.AfterFunc(100*time.Millisecond, func() {
			cluster.pool.SetServer(cluster.spec("d", "a"))
			close(joined)
		})
	})
	cluster.startSupervisor("vm1", stubFleet{})
	spec := cluster.spec("a", "a")
	spec.Mode = spool.ServerLeaving
	cluster.pool.SetServer(spec)
	cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
	<-joined
	time.Sleep(500 * time.Millisecond) // half a second before the promotion takes effect
	qt.Assert(t, slices.Contains(cluster.group.PausedServers(), "d"), qt.IsTrue)
	qt.Assert(t, cluster.group.Primary(), qt.Equals, spool.Server("a"))
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	cluster.eventually(func() bool { return len(cluster.group.PausedServers()) == 0 })
}
