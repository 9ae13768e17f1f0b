package spool

import "time"

// Timers is the timer service that parts of the proxy subscribe to.
type Timers interface {
	// Now returns the current instant of the monotonic clock.
	Now() Instant
	// Every calls receiver once a period until the returned function is called.
	Every(period time.Duration, receiver TimerReceiver) (stop func())
	// After calls receiver once, unless the returned function is called first.
	After(delay time.Duration, receiver TimerReceiver) (stop func())
}

// TimerReceiver is told when a subscribed timer fires.
type TimerReceiver interface {
	Fire(now Instant)
}

// TimerFunc makes a function a TimerReceiver.
type TimerFunc func(now Instant)

// Fire calls the function.
func (timerFunc TimerFunc) Fire(now Instant) { timerFunc(now) }
