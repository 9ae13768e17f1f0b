package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestBreakerLetsOneCommitOfEachPauseThrough plays a primary that answers no commit for seven seconds and then all, with forty
// callers that each come back when they were told.
func TestBreakerLetsOneCommitOfEachPauseThrough(t *testing.T) {
	c := qt.New(t)
	const (
		timeout = time.Second // of a commit
		heals   = 7 * time.Second
		callers = 40
	)
	start := spool.Instant(time.Hour)
	var breaker CircuitBreaker
	var hanging []spool.Instant // when the commits that got no answer run out of time
	back := make([]spool.Instant, callers)
	tripped, hung := false, 0
	var served spool.Instant
	for now := start; now < start.Add(10*time.Second); now = now.Add(10 * time.Millisecond) {
		for len(hanging) > 0 && hanging[0] <= now {
			breaker.RecordFailure(now)
			hanging, tripped = hanging[1:], true
		}
		for caller := range back {
			if back[caller] > now {
				continue
			}
			wait, allowed := breaker.Allow(now)
			switch {
			case !allowed:
				c.Assert(wait > 0 && wait <= longestBreak, qt.IsTrue)
				back[caller] = now.Add(wait)
			case now < start.Add(heals):
				hanging = append(hanging, now.Add(timeout))
				back[caller] = now.Add(timeout)
				if tripped {
					hung++
				}
			default:
				breaker.RecordSuccess()
				back[caller] = now.Add(timeout)
				if served == 0 {
					served = now
				}
			}
		}
	}
	c.Assert(hung <= 6, qt.IsTrue, qt.Commentf("%d", hung)) // 40 a second hang without a breaker
	c.Assert(served.Sub(start.Add(heals)) <= longestBreak+timeout, qt.IsTrue)
}

// TestBreakerAllowsWhileCommitsAreAnswered lets statements before a commit through without taking the commit's place.
func TestBreakerAllowsWhileCommitsAreAnswered(t *testing.T) {
	c := qt.New(t)
	now := spool.Instant(time.Hour)
	allowed := func(ask func(spool.Instant) (time.Duration, bool), at spool.Instant) bool {
		_, allowed := ask(at)
		return allowed
	}
	var breaker CircuitBreaker
	c.Assert(allowed(breaker.Allow, now), qt.IsTrue)
	c.Assert(allowed(breaker.Allow, now), qt.IsTrue)
	breaker.RecordFailure(now)
	c.Assert(allowed(breaker.Check, now), qt.IsFalse)
	later := now.Add(shortestBreak)
	c.Assert(allowed(breaker.Check, later), qt.IsTrue)
	c.Assert(allowed(breaker.Check, later), qt.IsTrue)
	c.Assert(allowed(breaker.Allow, later), qt.IsTrue)
	c.Assert(allowed(breaker.Check, later), qt.IsFalse)
	breaker.RecordSuccess()
	c.Assert(allowed(breaker.Allow, later), qt.IsTrue)
}
