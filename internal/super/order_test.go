package super_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// latePromoter gives no answer to the first request, which is carried out seconds later.
type latePromoter struct {
	spool.Promoter
	requests atomic.Int64
}

const orderLateness = 4 * time.Second

func (promoter *latePromoter) Promote(ctx context.Context, promotion spool.Promotion) error {
	if promoter.requests.Add(1) > 1 {
		return promoter.Promoter.Promote(ctx, promotion)
	}
	time.AfterFunc(orderLateness, func() { _ = promoter.Promoter.Promote(context.Background(), promotion) })
	return errNoAnswer
}

// TestUnansweredOrderTakesEffectWhileReplicasArePaused guards against the loss of commits by a request that the platform carries
// out late: the primary is reachable again by then, and the replicas would have been resumed.
func TestUnansweredOrderTakesEffectWhileReplicasArePaused(t *testing.T) {
	cluster := newCluster(t)
	paused := make(chan []spool.Server, 8)
	cluster.onOrder = func() { paused <- cluster.group.PausedServers() }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	promoter := &latePromoter{Promoter: cluster.client}
	tokens := super.NewFencingTokens(cluster.client, "vm1", rand.Uint64)
	cluster.group.Server("a").Refuse()
	go super.New(
		"vm1", cluster.pool, platform.ServerDialer{}, tokens, promoter, stubFleet{poll: allUnreachable}, clock.Real{}, zap.NewNop(),
	).Run(ctx)
	cluster.eventually(func() bool { return promoter.requests.Load() == 1 })
	qt.Assert(t, cluster.group.Server("a").Start(), qt.IsNil)
	qt.Assert(t, <-paused, qt.HasLen, 1)
	time.Sleep(orderLateness)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 1) // the late one is fenced
	cluster.eventually(func() bool { return len(cluster.group.PausedServers()) == 0 })
}

// closingFleet counts how often the commits of a primary were closed.
type closingFleet struct {
	stubFleet
	closures *atomic.Int64
	newest   *atomic.Int64 // when they were last closed, in Unix milliseconds
}

func (fleet closingFleet) CloseCommits(group spool.Group, closure elect.Closure) elect.PeerPoll {
	fleet.closures.Add(1)
	fleet.newest.Store(time.Now().UnixMilli())
	return fleet.stubFleet.CloseCommits(group, closure)
}

// TestUnansweredOrderTakesEffectWhileCommitsAreClosed guards against the loss of commits by a request that the platform carries out
// late: the closure on which it relied has ended, the primary works again, and a replica that does not answer confirms commits.
func TestUnansweredOrderTakesEffectWhileCommitsAreClosed(t *testing.T) {
	cluster := newCluster(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	promoter := &latePromoter{Promoter: cluster.client}
	fleet := closingFleet{stubFleet{poll: elect.PeerPoll{Asked: 3, Unreached: 3, Complete: true}}, &atomic.Int64{}, &atomic.Int64{}}
	var closedFor atomic.Int64 // since the commits were closed when the repeated request was accepted, in milliseconds
	cluster.onOrder = func() { closedFor.Store(time.Now().UnixMilli() - fleet.newest.Load()) }
	cluster.group.Server("a").Refuse()
	cluster.group.Server("c").Refuse()
	tokens := super.NewFencingTokens(cluster.client, "vm1", rand.Uint64)
	began := time.Now()
	go super.New("vm1", cluster.pool, platform.ServerDialer{}, tokens, promoter, fleet, clock.Real{}, zap.NewNop()).Run(ctx)
	cluster.eventually(func() bool { return promoter.requests.Load() == 1 })
	qt.Assert(t, fleet.closures.Load(), qt.Equals, int64(1))
	qt.Assert(t, cluster.group.Server("a").Start(), qt.IsNil)
	cluster.eventually(func() bool { return cluster.group.Primary() == "b" })
	qt.Assert(t, time.Since(began) < orderLateness, qt.IsTrue)
	qt.Assert(t, fleet.closures.Load() > 1, qt.IsTrue)
	qt.Assert(t, time.Duration(closedFor.Load())*time.Millisecond < elect.CommitHold/2, qt.IsTrue)
}

// TestTokenTellsTheServerOfARecentHolder guards against two holders that promote different servers in turn: a request of the
// first may still be carried out when the second pauses its server.
func TestTokenTellsTheServerOfARecentHolder(t *testing.T) {
	c := qt.New(t)
	store := &memoryStore{}
	nonce := uint64(0)
	next := func() uint64 { nonce++; return nonce }
	acquire := func(tokens *super.FencingTokens, own spool.Server) (target spool.Server, recent bool) {
		_, recent, err := tokens.Next(context.Background(), "g1", super.WithTarget(func(earlier spool.Server) spool.Server {
			target = own
			if earlier != "" {
				target = earlier
			}
			return target
		}))
		c.Assert(err, qt.IsNil)
		return target, recent
	}
	first, second := super.NewFencingTokens(store, "vm1", next), super.NewFencingTokens(store, "vm2", next)
	target, recent := acquire(first, "b")
	c.Assert(target, qt.Equals, spool.Server("b"))
	c.Assert(recent, qt.IsFalse)
	store.lostAnswers = 1
	target, recent = acquire(second, "c")
	c.Assert(target, qt.Equals, spool.Server("b"))
	c.Assert(recent, qt.IsTrue)
	target, recent = acquire(second, "c") // its own choice once it has waited
	c.Assert(target, qt.Equals, spool.Server("c"))
	c.Assert(recent, qt.IsFalse)
}

// slowPromoter delays each request by most of the age that a fencing token may have.
type slowPromoter struct{ spool.Promoter }

func (promoter slowPromoter) Promote(ctx context.Context, promotion spool.Promotion) error {
	time.Sleep(700 * time.Millisecond)
	return promoter.Promoter.Promote(ctx, promotion)
}

// TestSecondSupervisorWaitsForTheFirst guards against two supervisors that replace a primary in turn: the first requests its
// promotion with an old token, and it takes effect as late as the platform allows.
func TestSecondSupervisorWaitsForTheFirst(t *testing.T) {
	cluster := newCluster(t)
	cluster.orderDelay = time.Second
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	tokens := super.NewFencingTokens(cluster.client, "vm1", rand.Uint64)
	cluster.register("a", true)
	go super.New(
		"vm1", cluster.pool, platform.ServerDialer{}, tokens, slowPromoter{cluster.client}, stubFleet{}, clock.Real{}, zap.NewNop(),
	).Run(ctx)
	cluster.eventually(func() bool { return len(cluster.store.Names(super.KindFencingToken)) > 0 })
	cluster.startSupervisor("vm2", stubFleet{})
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	time.Sleep(2500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 1)
}

// TestCompletedPromotionIsNotWaitedFor guards against an outage that is longer by the wait for another holder, although the server
// that it promoted has been the primary since.
func TestCompletedPromotionIsNotWaitedFor(t *testing.T) {
	cluster := newCluster(t)
	tokens := super.NewFencingTokens(cluster.client, "vm0", rand.Uint64)
	_, _, err := tokens.Next(context.Background(), "g1", super.WithTarget(func(spool.Server) spool.Server { return "a" }))
	qt.Assert(t, err, qt.IsNil)
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	cluster.group.Server("a").Kill()
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	qt.Assert(t, time.Since(began) < 1500*time.Millisecond, qt.IsTrue) // a detection and a promotion take half of that
}

// TestTwoSupervisorsDoNotWaitForEachOther guards against a primary that is never replaced: two supervisors find the recent token of
// a third one, and each waits for the other.
func TestTwoSupervisorsDoNotWaitForEachOther(t *testing.T) {
	cluster := newCluster(t)
	tokens := super.NewFencingTokens(cluster.client, "vm0", rand.Uint64)
	_, _, err := tokens.Next(context.Background(), "g1")
	qt.Assert(t, err, qt.IsNil)
	cluster.group.Server("a").Kill()
	cluster.startSupervisor("vm1", stubFleet{poll: allUnreachable})
	cluster.startSupervisor("vm-two", stubFleet{poll: allUnreachable})
	cluster.eventually(func() bool { return cluster.group.Primary() != "a" })
	time.Sleep(2500 * time.Millisecond)
	qt.Assert(t, cluster.promotedServers(), qt.HasLen, 1)
}
