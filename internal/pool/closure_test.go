package pool_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestClosureCoversAPrimaryThatStartsAgain guards against the loss of commits of a primary that crashed and is back, under another
// ID, before the promotion takes effect for which its commits were closed, and against commits that are refused although the
// promoted server leads: its position is of the term before until its first commit.
func TestClosureCoversAPrimaryThatStartsAgain(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	sent := clock.Real{}.Now()
	acts := func(server spool.Server, term spool.Term, sent spool.Instant) bool {
		fixture.pool.RecordPrimary("g1", server, fresh.Watermark{Position: spool.LogPosition{Term: term, Number: 197}, SentAt: sent})
		_, allowed := fixture.pool.MayCommit("g1", false)
		return allowed
	}
	commits := func(server spool.Server, term spool.Term) bool {
		return fixture.pool.RecordCommit("g1", server, spool.LogPosition{Term: term, Number: 198}, sent)
	}
	c.Check(acts("a", 3, sent), qt.IsTrue)
	fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Primary: "a", Term: 3})
	again := fixture.registration("a")
	again.Server, again.StartMillis = "again", 2
	fixture.pool.SetServer(again)
	c.Check(acts("again", 3, sent+1), qt.IsFalse)
	c.Check(commits("again", 3), qt.IsFalse)
	c.Check(acts("b", 3, sent+2), qt.IsTrue)
	c.Check(commits("b", 4), qt.IsTrue)
}

// TestClosureCoversTermsUnknownToAProxy guards against commits that are acknowledged by a proxy that restarted and knows neither the
// group's term nor the primary that was closed.
func TestClosureCoversTermsUnknownToAProxy(t *testing.T) {
	fixture := newFixture(t, dial, 9)
	fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Term: 3})
	position := spool.LogPosition{Term: 3, Number: 198}
	qt.Check(t, fixture.pool.RecordCommit("g1", "a", position, clock.Real{}.Now()), qt.IsFalse)
}

// TestClosureCoversAPrimaryUnknownToTheSupervisor guards against the loss of commits of a primary that the supervisor has not heard of:
// it replaces the one of an earlier term, while the servers that follow the newest one are out of its reach.
func TestClosureCoversAPrimaryUnknownToTheSupervisor(t *testing.T) {
	fixture := newFixture(t, dial, 9)
	fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Primary: "a", Term: 1})
	position, sent := spool.LogPosition{Term: 2, Number: 198}, clock.Real{}.Now()
	fixture.pool.RecordPrimary("g1", "c", fresh.Watermark{Position: position, SentAt: sent})
	qt.Check(t, fixture.pool.RecordCommit("g1", "c", position, sent), qt.IsFalse)
	_, allowed := fixture.pool.MayCommit("g1", false)
	qt.Check(t, allowed, qt.IsFalse)
}

// TestClosureOfAnOlderTokenDoesNotEndAnotherOne guards against commits that are acknowledged while one supervisor's promotion takes
// effect, because another supervisor, which acts too late, had commits closed for a promotion of its own.
func TestClosureOfAnOlderTokenDoesNotEndAnotherOne(t *testing.T) {
	fixture := newFixture(t, dial, 9)
	position := spool.LogPosition{Term: 4, Number: 198}
	commits := func(server spool.Server) bool {
		return fixture.pool.RecordCommit("g1", server, position, clock.Real{}.Now())
	}
	_, closed := fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "b", Primary: "a", Term: 3, Token: 8})
	qt.Check(t, closed, qt.IsTrue)
	_, closed = fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "a", Primary: "b", Term: 2, Token: 7})
	qt.Check(t, closed, qt.IsFalse)
	qt.Check(t, commits("a"), qt.IsFalse)
	qt.Check(t, commits("b"), qt.IsTrue)
	_, closed = fixture.pool.CloseCommits("g1", elect.Closure{Chosen: "c", Primary: "a", Term: 3, Token: 9})
	qt.Check(t, closed, qt.IsTrue)
	qt.Check(t, commits("b"), qt.IsFalse)
	qt.Check(t, commits("c"), qt.IsTrue)
}

// TestProcessThatStartsAcknowledgesNothingBeforeOrdersAreListed guards against the loss of commits by a promotion that was requested
// before the process started: it may not know that their server is to be replaced.
func TestProcessThatStartsAcknowledgesNothingBeforeOrdersAreListed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9, pool.WithUnknownOrders())
	position, sent := spool.LogPosition{Term: 3, Number: 198}, clock.Real{}.Now()
	commits := func() bool { return fixture.pool.RecordCommit("g1", "a", position, sent) }
	fixture.pool.RecordPrimary("g1", "a", fresh.Watermark{Position: position, SentAt: sent})
	wait, allowed := fixture.pool.MayCommit("g1", true)
	c.Check(allowed, qt.IsFalse)
	c.Check(wait > 0, qt.IsTrue)
	c.Check(commits(), qt.IsFalse)
	fixture.pool.ListOrders(map[spool.Group][]elect.Order{"g1": {{Server: "b", Term: 3, Token: 7}}})
	_, allowed = fixture.pool.MayCommit("g1", true)
	c.Check(allowed, qt.IsTrue)
	c.Check(commits(), qt.IsFalse)
	fixture.pool.RecordChosen("g1", "b", spool.ReplicaStatus{Term: 3, Received: position})
	c.Check(commits(), qt.IsTrue)
}
