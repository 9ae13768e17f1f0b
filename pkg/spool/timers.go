package spool

import "time"

// Timers is a monotonic clock with periodic and one-shot timers.
type Timers interface {
	// Now returns the current instant of the monotonic clock.
	Now() Instant
	// Every calls receiver once per period until stop is called.
	Every(period time.Duration, receiver TimerReceiver) (stop func())
	// After calls receiver once after delay unless stop is called first.
	After(delay time.Duration, receiver TimerReceiver) (stop func())
}

// TimerReceiver handles the firing of a timer.
type TimerReceiver interface {
	Fire(now Instant)
}

// TimerFunc adapts a function to TimerReceiver.
type TimerFunc func(now Instant)

// Fire calls the function.
func (timerFunc TimerFunc) Fire(now Instant) { timerFunc(now) }
