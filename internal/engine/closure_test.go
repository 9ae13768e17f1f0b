package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/fake/linecl"
	"corianderspool.example/spool/pkg/spool"
)

// TestCommitIsNotAcknowledgedWhileClosed guards against a commit that is acknowledged after the proxy told a supervisor its newest
// acknowledged position, although the server that is about to be promoted does not receive it.
func TestCommitIsNotAcknowledgedWhileClosed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller := fixture.connect("primary", "key-red")
	caller.expect("WRITE item one", "DONE", "I")
	acked := fixture.pool.Acked("g1").Position
	fixture.group.Server("b").StopReceiving()
	fixture.group.Server("a").WorkTime = 300 * time.Millisecond
	answered := make(chan linecl.Reply, 1)
	go func() { answered <- caller.Query("WRITE item two") }()
	time.Sleep(100 * time.Millisecond)
	told, closed := fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Primary: "a", Term: 1})
	c.Assert(closed, qt.IsTrue)
	c.Assert(told.Position, qt.Equals, acked)
	c.Assert((<-answered).Code, qt.Equals, "INDOUBT")
	c.Assert(fixture.pool.Acked("g1").Position, qt.Equals, acked)
	caller.expect("WRITE item three", "BUSY", "I")
	caller.expect("READ item", "DONE", "I")
	fixture.group.Promote("b")
	fixture.registerServers()
	caller.expect("WRITE item four", "DONE", "I")
}

// TestCommitIsAcknowledgedOnceTheChosenServerHasIt guards against callers who wait for a planned promotion, or do not learn the outcome
// of a commit, although the server that is about to be promoted receives all commits.
func TestCommitIsAcknowledgedOnceTheChosenServerHasIt(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller := fixture.connect("primary", "key-red")
	_, closed := fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Primary: "a", Term: 1, MaySend: true})
	c.Assert(closed, qt.IsTrue)
	began := time.Now()
	caller.expect("WRITE item one", "DONE", "I")
	c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue)
	caller.expect("BEGIN", "DONE", "T")
	caller.expect("WRITE item two", "DONE", "T")
	caller.expect("COMMIT", "DONE", "I")
	c.Assert(fixture.pool.Acked("g1").Position.Number, qt.Equals, spool.Position(2))
}

// TestWaitingCommitIsAcknowledgedWhenThePromotionIsGivenUp guards against unknown outcomes of commits that wait for a server whose
// promotion does not come about.
func TestWaitingCommitIsAcknowledgedWhenThePromotionIsGivenUp(t *testing.T) {
	fixture := newFixture(t)
	caller := fixture.connect("primary", "key-red")
	fixture.group.Server("b").StopReceiving()
	fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Primary: "a", Term: 1, Token: 5, MaySend: true})
	answered := make(chan linecl.Reply, 1)
	go func() { answered <- caller.Query("WRITE item one") }()
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, answered, qt.HasLen, 0)
	fixture.pool.OpenCommits("g1", 5)
	qt.Assert(t, (<-answered).Code, qt.Equals, "DONE")
}
