package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	minBreakerPause = 500 * time.Millisecond // after an unanswered commit; half of the shortest time that callers wait for a commit
	maxBreakerPause = 2 * time.Second        // so that the end of a partition is noticed soon
)

// CircuitBreaker holds back commits to a primary that does not answer them, for example because no replica confirms them:
// until its timeout each would occupy a connection and a slot that reads could use. It allows one commit per pause.
type CircuitBreaker struct {
	pause       time.Duration // zero while commits are answered
	nextAllowed spool.Instant // when the next commit may be sent
}

// Allow reports whether a commit may be sent now, or how long to wait before a retry; it uses up the pause's one commit.
func (circuitBreaker *CircuitBreaker) Allow(now spool.Instant) (wait time.Duration, allowed bool) {
	if wait, allowed = circuitBreaker.Check(now); allowed && circuitBreaker.pause > 0 {
		circuitBreaker.nextAllowed = now.Add(circuitBreaker.pause)
	}
	return wait, allowed
}

// Check is like Allow for a statement that a commit will follow; it does not use up the pause's one commit.
func (circuitBreaker *CircuitBreaker) Check(now spool.Instant) (wait time.Duration, allowed bool) {
	if circuitBreaker.pause == 0 || now >= circuitBreaker.nextAllowed {
		return 0, true
	}
	return circuitBreaker.nextAllowed.Sub(now), false
}

// RecordFailure records a commit that was not answered in time.
func (circuitBreaker *CircuitBreaker) RecordFailure(now spool.Instant) {
	circuitBreaker.pause = min(max(minBreakerPause, 2*circuitBreaker.pause), maxBreakerPause)
	circuitBreaker.nextAllowed = now.Add(circuitBreaker.pause)
}

// RecordSuccess records an answered commit.
func (circuitBreaker *CircuitBreaker) RecordSuccess() { circuitBreaker.pause = 0 }
