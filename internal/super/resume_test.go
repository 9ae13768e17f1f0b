package super_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// overtakenPromoter has another supervisor take a token for server a and pause replica c, right before it returns from the first
// promotion that is requested.
type overtakenPromoter struct {
	spool.Promoter
	cluster   *cluster
	pauseTerm spool.Term
	fenced    bool // the request comes after that of the other supervisor
	overtaken chan struct{}
}

func (promoter *overtakenPromoter) Promote(ctx context.Context, promotion spool.Promotion) error {
	var err error
	if promoter.fenced {
		err = spool.ErrFenced
	} else {
		err = promoter.Promoter.Promote(ctx, promotion)
	}
	select {
	case <-promoter.overtaken:
		return err
	default:
	}
	other := super.NewFencingTokens(promoter.cluster.client, "vm2", rand.Uint64)
	_, _, tokenErr := other.Next(ctx, "g1", super.WithTarget(func(spool.Server) spool.Server { return "a" }))
	qt.Check(promoter.cluster, tokenErr, qt.IsNil)
	command := spool.Command{Verb: spool.VerbPause, Term: promoter.pauseTerm}
	_, pauseErr := promoter.cluster.pool.Execute("g1", "c", "operator", time.Second, command)
	qt.Check(promoter.cluster, pauseErr, qt.IsNil)
	close(promoter.overtaken)
	return err
}

// TestSupervisorLeavesReplicasPausedThatAnotherOnePaused guards against the loss of commits that a replica confirms alone: a supervisor
// that is late to end its handover resumes a replica which another one has paused since, for its own.
func TestSupervisorLeavesReplicasPausedThatAnotherOnePaused(t *testing.T) {
	for name, promoter := range map[string]*overtakenPromoter{
		"after its promotion":    {pauseTerm: 3},
		"after a newer token":    {pauseTerm: 2, fenced: true},
		"for a term of its view": {pauseTerm: 3, fenced: true},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t)
			cluster.group.Server("c").StopReceiving() // so that b is chosen
			write := spool.Command{Verb: spool.VerbWrite, ID: "1", Text: "item one"}
			answers, err := cluster.pool.Execute("g1", "a", "operator", time.Second, write)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, answers[0].Refusal == nil, qt.IsTrue)
			promoter.Promoter, promoter.cluster, promoter.overtaken = cluster.client, cluster, make(chan struct{})
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			tokens := super.NewFencingTokens(cluster.client, "vm1", rand.Uint64)
			cluster.register("a", true)
			go super.New("vm1", cluster.pool, platform.ServerDialer{}, tokens, promoter, stubFleet{}, clock.Real{}, zap.NewNop()).Run(ctx)
			<-promoter.overtaken
			for range 100 {
				qt.Assert(t, slices.Contains(cluster.group.PausedServers(), "c"), qt.IsTrue)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
