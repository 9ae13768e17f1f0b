package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	shortestBreak = 500 * time.Millisecond // after a commit without an answer; half of what callers wait for one at least
	longestBreak  = 2 * time.Second        // so that the end of a cut is seen soon
)

// CircuitBreaker keeps commits off a primary that does not answer them, as one does whose replicas confirm none: each would hold a
// connection and a slot until it runs out of time, which reads could use. One commit in each pause is let through.
type CircuitBreaker struct {
	pause time.Duration // zero while commits are answered
	next  spool.Instant // when the next commit may go
}

// Allow tells if a commit may be sent now, or when to try again.
func (breaker *CircuitBreaker) Allow(now spool.Instant) (wait time.Duration, allowed bool) {
	if wait, allowed = breaker.Check(now); allowed && breaker.pause > 0 {
		breaker.next = now.Add(breaker.pause)
	}
	return wait, allowed
}

// Check is like Allow for a statement that a commit will follow.
func (breaker *CircuitBreaker) Check(now spool.Instant) (wait time.Duration, allowed bool) {
	if breaker.pause == 0 || now >= breaker.next {
		return 0, true
	}
	return breaker.next.Sub(now), false
}

// RecordFailure notes a commit that was not answered in time.
func (breaker *CircuitBreaker) RecordFailure(now spool.Instant) {
	breaker.pause = min(max(shortestBreak, 2*breaker.pause), longestBreak)
	breaker.next = now.Add(breaker.pause)
}

// RecordSuccess notes an answered commit.
func (breaker *CircuitBreaker) RecordSuccess() { breaker.pause = 0 }
