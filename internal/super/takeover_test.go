package super_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// TestRequestOfDeadSupervisorTakesEffectWhileReplicasArePaused guards against the loss of commits by a request that the platform
// carries out late: the supervisor that sent it is gone, the primary works again, and a replica has restarted.
func TestRequestOfDeadSupervisorTakesEffectWhileReplicasArePaused(t *testing.T) {
	cluster := newCluster(t)
	paused := make(chan []spool.Server, 8)
	cluster.onOrder = func() { paused <- cluster.group.PausedServers() }
	ctx, kill := context.WithCancel(context.Background())
	t.Cleanup(kill)
	promoter := &latePromoter{Promoter: cluster.client}
	cluster.group.Server("a").Refuse()
	go super.New(
		"vm1", cluster.pool, platform.ServerDialer{}, super.NewFencingTokens(cluster.client, "vm1", rand.Uint64), promoter,
		stubFleet{poll: allUnreachable}, clock.Real{}, zap.NewNop(),
	).Run(ctx)
	cluster.eventually(func() bool { return promoter.requests.Load() == 1 })
	kill()
	replica := cluster.group.PausedServers()[0]
	cluster.group.Server(replica).Kill()
	qt.Assert(t, cluster.group.Server("a").Start(), qt.IsNil)
	qt.Assert(t, cluster.group.Server(replica).Start(), qt.IsNil)
	qt.Assert(t, cluster.group.PausedServers(), qt.HasLen, 0)
	cluster.startSupervisor("vm1", stubFleet{}) // its name does not tell that the process is another one
	qt.Assert(t, <-paused, qt.DeepEquals, []spool.Server{replica})
	cluster.eventually(func() bool { return len(cluster.group.PausedServers()) == 0 })
}

// TestReplicaThatDeadSupervisorPausedIsResumed guards against a replica that receives nothing for ever, because the supervisor
// that paused it ended before it requested the promotion.
func TestReplicaThatDeadSupervisorPausedIsResumed(t *testing.T) {
	cluster := newCluster(t)
	_, err := cluster.pool.Execute("g1", "c", "operator", time.Second, spool.Command{Verb: spool.VerbPause, Term: 7})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cluster.group.PausedServers(), qt.HasLen, 1)
	cluster.startSupervisor("vm1", stubFleet{})
	cluster.eventually(func() bool { return len(cluster.group.PausedServers()) == 0 })
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 0)
}

// TestTokenOfAnEarlierProcessIsRecent guards against a supervisor that restarts and acts at once, although what its earlier process
// requested may still take effect.
func TestTokenOfAnEarlierProcessIsRecent(t *testing.T) {
	store := &memoryStore{}
	ctx := context.Background()
	earlier, restarted := super.NewFencingTokens(store, "vm1", rand.Uint64), super.NewFencingTokens(store, "vm1", rand.Uint64)
	_, _, err := earlier.Next(ctx, "g1", super.WithTarget(func(spool.Server) spool.Server { return "b" }))
	qt.Assert(t, err, qt.IsNil)
	target, _, err := earlier.PendingTarget(ctx, "g1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, target, qt.Equals, spool.Server(""))
	target, _, err = restarted.PendingTarget(ctx, "g1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, target, qt.Equals, spool.Server("b"))
	_, recent, err := restarted.Next(ctx, "g1")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, recent, qt.IsTrue)
}
