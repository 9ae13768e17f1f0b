package drain

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

// TestEveryStatementEndsBeforeTheProcess guards against a statement that is sent to a server and whose answer cannot be passed on,
// for all grace periods, timeouts and moments.
func TestEveryStatementEndsBeforeTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := Schedule{
			Began: spool.Instant(rapid.Int64Range(0, 1e12).Draw(t, "Began")),
			Grace: time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "Grace")),
		}
		killed := schedule.Began.Add(schedule.Grace)
		timeout := time.Duration(rapid.Int64Range(1, 20e9).Draw(t, "Timeout"))
		now := schedule.Began.Add(time.Duration(rapid.Int64Range(0, 60e9).Draw(t, "Elapsed")))
		sent := schedule.MaySend(now, timeout)
		halfway := now < schedule.Began.Add(schedule.Grace/2)
		if sent && !halfway && now.Add(timeout) > schedule.AnswerBy() {
			t.Fatalf("a statement that may outlast the process is sent")
		}
		if halfway && now < schedule.Began.Add(maxHeldWork) && !sent {
			t.Fatalf("a transaction has less than half of the grace period")
		}
		if schedule.Grace > time.Second && schedule.End() > killed.Add(-exitMargin) || schedule.AnswerBy() > schedule.End() {
			t.Fatalf("connections are closed too late")
		}
		if schedule.MinAccept() > schedule.AcceptUntil() || schedule.AcceptUntil() > schedule.AnswerBy() {
			t.Fatalf("callers are accepted whose requests cannot be answered")
		}
		if schedule.Closes(now) && sent && !halfway {
			t.Fatalf("a session ends while statements are sent")
		}
	})
}

// TestScheduleOfSixSeconds checks the moments of a usual grace period.
func TestScheduleOfSixSeconds(t *testing.T) {
	c := qt.New(t)
	schedule := Schedule{Began: spool.Instant(time.Hour), Grace: 6 * time.Second}
	at := func(after time.Duration) spool.Instant { return schedule.Began.Add(after) }
	c.Assert(schedule.AcceptUntil(), qt.Equals, at(3*time.Second))
	c.Assert(schedule.AnswerBy(), qt.Equals, at(5600*time.Millisecond))
	c.Assert(schedule.MaySend(at(2900*time.Millisecond), time.Minute), qt.IsTrue)
	c.Assert(schedule.MaySend(at(3600*time.Millisecond), 2*time.Second), qt.IsTrue)
	c.Assert(schedule.MaySend(at(3700*time.Millisecond), 2*time.Second), qt.IsFalse)
	c.Assert(schedule.MaySend(at(4600*time.Millisecond), time.Second), qt.IsTrue)
}
