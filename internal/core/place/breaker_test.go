package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestBreakerAllowsOneCommitPerPause simulates a primary that answers no commit for seven seconds and then all, with forty
// callers that retry after the returned wait.
func TestBreakerAllowsOneCommitPerPause(t *testing.T) {
	c := qt.New(t)
	const (
		timeout  = time.Second // of a commit
		recovery = 7 * time.Second
		callers  = 40
	)
	start := spool.Instant(time.Hour)
	var circuitBreaker CircuitBreaker
	var unanswered []spool.Instant // timeouts of the unanswered commits
	retryAt := make([]spool.Instant, callers)
	tripped, timedOut := false, 0
	var served spool.Instant
	for now := start; now < start.Add(10*time.Second); now = now.Add(10 * time.Millisecond) {
		for len(unanswered) > 0 && unanswered[0] <= now {
			circuitBreaker.RecordFailure(now)
			unanswered, tripped = unanswered[1:], true
		}
		for caller := range retryAt {
			if retryAt[caller] > now {
				continue
			}
			wait, allowed := circuitBreaker.Allow(now)
			switch {
			case !allowed:
				c.Assert(wait > 0 && wait <= maxBreakerPause, qt.IsTrue)
				retryAt[caller] = now.Add(wait)
			case now < start.Add(recovery):
				unanswered = append(unanswered, now.Add(timeout))
				retryAt[caller] = now.Add(timeout)
				if tripped {
					timedOut++
				}
			default:
				circuitBreaker.RecordSuccess()
				retryAt[caller] = now.Add(timeout)
				if served == 0 {
					served = now
				}
			}
		}
	}
	c.Assert(timedOut <= 6, qt.IsTrue, qt.Commentf("%d", timedOut)) // 40 per second time out without a breaker
	c.Assert(served.Sub(start.Add(recovery)) <= maxBreakerPause+timeout, qt.IsTrue)
}

// TestBreakerAllowsWhileCommitsAreAnswered also checks that statements before a commit do not use up the allowed commit.
func TestBreakerAllowsWhileCommitsAreAnswered(t *testing.T) {
	c := qt.New(t)
	now := spool.Instant(time.Hour)
	allowed := func(ask func(spool.Instant) (time.Duration, bool), at spool.Instant) bool {
		_, allowed := ask(at)
		return allowed
	}
	var circuitBreaker CircuitBreaker
	c.Assert(allowed(circuitBreaker.Allow, now), qt.IsTrue)
	c.Assert(allowed(circuitBreaker.Allow, now), qt.IsTrue)
	circuitBreaker.RecordFailure(now)
	c.Assert(allowed(circuitBreaker.Check, now), qt.IsFalse)
	later := now.Add(minBreakerPause)
	c.Assert(allowed(circuitBreaker.Check, later), qt.IsTrue)
	c.Assert(allowed(circuitBreaker.Check, later), qt.IsTrue)
	c.Assert(allowed(circuitBreaker.Allow, later), qt.IsTrue)
	c.Assert(allowed(circuitBreaker.Check, later), qt.IsFalse)
	circuitBreaker.RecordSuccess()
	c.Assert(allowed(circuitBreaker.Allow, later), qt.IsTrue)
}
