package spool

import "time"

// Instant is a reading of the VM's monotonic clock, in nanoseconds since an arbitrary origin.
type Instant int64

// Add returns the instant that is duration later.
func (instant Instant) Add(duration time.Duration) Instant {
	return instant + Instant(duration)
}

// Sub returns the time elapsed since earlier.
func (instant Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(instant - earlier)
}
