package pool_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/pkg/spool"
)

// TestClosureCoversAPrimaryThatStartsAgain guards against the loss of commits of a primary that crashed and is back, under another
// ID, before the promotion takes effect for which its commits were closed. A proxy that restarted knows no term of the group.
func TestClosureCoversAPrimaryThatStartsAgain(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	sent := clock.Real{}.Now()
	position := func(term spool.Term, number spool.Position) spool.LogPosition {
		return spool.LogPosition{Term: term, Number: number}
	}
	fixture.pool.CloseCommits("g1", "crashed", 3)
	c.Check(fixture.pool.RecordCommit("g1", "a", position(3, 198), sent), qt.IsFalse)
	fixture.pool.RecordPrimary("g1", "a", fresh.Watermark{Position: position(3, 197), SentAt: sent})
	_, allowed := fixture.pool.MayCommit("g1", false)
	c.Check(allowed, qt.IsFalse)
	fixture.pool.RecordPrimary("g1", "b", fresh.Watermark{Position: position(4, 197), SentAt: sent + 1})
	_, allowed = fixture.pool.MayCommit("g1", false)
	c.Check(allowed, qt.IsTrue)
	c.Check(fixture.pool.RecordCommit("g1", "b", position(4, 198), sent), qt.IsTrue)
}
