package engine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/fake/linecl"
)

// TestCommitIsNotAcknowledgedWhileClosed guards against a commit that is acknowledged after the proxy told a supervisor its newest
// acknowledged position: another server may be promoted without it.
func TestCommitIsNotAcknowledgedWhileClosed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	caller := fixture.connect("primary", "key-red")
	caller.expect("WRITE item one", "DONE", "I")
	acked := fixture.pool.Acked("g1").Position
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
