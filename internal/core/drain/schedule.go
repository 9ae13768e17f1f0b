package drain

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// exitMargin is the time from the last closed connection to the end of the grace period.
	exitMargin = 200 * time.Millisecond
	// answerMargin is the time from the last answer of a server that is waited for to the last closed connection.
	answerMargin = 200 * time.Millisecond
	// maxHeldWork is the longest time after the start for which statements are sent to a server that may outlast the grace period.
	maxHeldWork = 3 * time.Second
	// readinessLag covers two failed readiness probes, one per second: until then new callers arrive.
	readinessLag = 2500 * time.Millisecond
)

// Schedule is the course of a planned stop. Every request that the proxy reads is answered before it ends: a statement that may
// not be finished by then is not sent to a server.
type Schedule struct {
	Began spool.Instant // when the proxy was told to stop
	Grace time.Duration // from then until the process is killed
}

// AcceptUntil returns until when new callers are accepted, if any arrive.
func (schedule Schedule) AcceptUntil() spool.Instant {
	return min(schedule.Began.Add(max(readinessLag, schedule.Grace/2)), schedule.AnswerBy())
}

// MinAccept returns until when new callers are accepted although none is connected.
func (schedule Schedule) MinAccept() spool.Instant {
	return min(schedule.Began.Add(readinessLag), schedule.AnswerBy())
}

// MaySend reports whether a statement with a timeout may be sent to a server: it is finished or given up before AnswerBy, or the
// first half of the grace period, which open transactions have to end, is not over.
func (schedule Schedule) MaySend(now spool.Instant, timeout time.Duration) bool {
	firstHalf := schedule.Began.Add(min(schedule.Grace/2, maxHeldWork))
	return now < firstHalf || now.Add(timeout) <= schedule.AnswerBy()
}

// AnswerBy returns when statements that a server still runs are given up and answered.
func (schedule Schedule) AnswerBy() spool.Instant { return schedule.End().Add(-answerMargin) }

// Closes reports whether a session without a request ends now; before, only one without a transaction does.
func (schedule Schedule) Closes(now spool.Instant) bool { return now >= schedule.AnswerBy() }

// End returns when the remaining connections are closed.
func (schedule Schedule) End() spool.Instant {
	return schedule.Began.Add(max(0, schedule.Grace-exitMargin))
}
