package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/pkg/spool"
)

// startedClock returns a clock whose instants are not zero.
func startedClock() *clock.Simulated {
	timers := &clock.Simulated{}
	timers.Advance(time.Minute)
	return timers
}

// stall records commits to a server that were sent over two seconds and not answered.
func (fixture *fixture) stall(timers *clock.Simulated, server spool.Server) {
	for range 5 {
		timers.Advance(500 * time.Millisecond)
		fixture.pool.RecordCommitTimeout("g1", server, timers.Now().Add(-100*time.Millisecond))
	}
}

// TestUnansweredCommitsOfAReplacedPrimaryDoNotCountForItsSuccessor guards against the replacement of a healthy new primary by the
// deposed one, however this proxy learns of the new one: commits that the deposed one did not answer count for it alone.
func TestUnansweredCommitsOfAReplacedPrimaryDoNotCountForItsSuccessor(t *testing.T) {
	for name, replace := range map[string]func(fixture *fixture, now spool.Instant){
		"registered as primary": func(fixture *fixture, _ spool.Instant) {
			successor := fixture.registration("b")
			successor.Primary = true
			fixture.pool.SetServer(successor)
		},
		"acts as primary": func(fixture *fixture, now spool.Instant) {
			fixture.pool.RecordPrimary("g1", "b", fresh.Watermark{Position: spool.LogPosition{Term: 1, Number: 305}, SentAt: now})
		},
		"its predecessor refuses": func(fixture *fixture, _ spool.Instant) {
			successor := fixture.registration("b")
			fixture.pool.SetServer(successor)
			fixture.pool.RecordNotPrimary("g1", "a")
			successor.Primary = true
			fixture.pool.SetServer(successor)
		},
		"its predecessor is gone": func(fixture *fixture, _ spool.Instant) {
			fixture.pool.RemoveServer("a")
			successor := fixture.registration("b")
			successor.Primary = true
			fixture.pool.SetServer(successor)
		},
	} {
		t.Run(name, func(t *testing.T) {
			timers := startedClock()
			fixture := newFixtureWithTimers(t, dial, timers, 9)
			fixture.pool.RecordPrimary("g1", "a", fresh.Watermark{Position: spool.LogPosition{Term: 1, Number: 305}, SentAt: timers.Now()})
			fixture.stall(timers, "a")
			qt.Assert(t, fixture.pool.CommitStats("g1", "a").IsStalled(), qt.IsTrue)
			_, allowed := fixture.pool.MayCommit("g1", true)
			qt.Assert(t, allowed, qt.IsFalse)
			replace(fixture, timers.Now())
			qt.Check(t, fixture.pool.CommitStats("g1", "b"), qt.Equals, elect.CommitStats{})
			qt.Check(t, fixture.pool.CommitStats("g1", "a"), qt.Equals, elect.CommitStats{})
			_, allowed = fixture.pool.MayCommit("g1", true)
			qt.Check(t, allowed, qt.IsTrue)
			_, known := fixture.pool.RecentContact("g1", "b")
			qt.Check(t, known, qt.Equals, name == "acts as primary") // that of its predecessor tells nothing about it
		})
	}
}

// TestLateTimeoutsOfAnEarlierLeadershipDoNotCount guards against a primary that leads again and is replaced, on commits that it was
// sent when it led before.
func TestLateTimeoutsOfAnEarlierLeadershipDoNotCount(t *testing.T) {
	timers := startedClock()
	fixture := newFixtureWithTimers(t, dial, timers, 9)
	sent := timers.Now()
	timers.Advance(time.Second)
	for _, server := range []spool.Server{"b", "a"} {
		fixture.pool.RecordPrimary("g1", server, fresh.Watermark{Position: spool.LogPosition{Term: 1, Number: 305}, SentAt: timers.Now()})
	}
	timers.Advance(time.Second)
	for range 5 {
		fixture.pool.RecordCommitTimeout("g1", "a", sent)
	}
	qt.Check(t, fixture.pool.CommitStats("g1", "a"), qt.Equals, elect.CommitStats{})
}

// TestAnswersOfAnotherServerDoNotEndAStall guards against a primary that completes no commit and is not replaced, since the late
// answer of the one before counts for it.
func TestAnswersOfAnotherServerDoNotEndAStall(t *testing.T) {
	timers := startedClock()
	fixture := newFixtureWithTimers(t, dial, timers, 9)
	fixture.stall(timers, "a")
	fixture.pool.RecordCommit("g1", "b", spool.LogPosition{Term: 1, Number: 305}, timers.Now())
	qt.Check(t, fixture.pool.CommitStats("g1", "a").IsStalled(), qt.IsTrue)
}
