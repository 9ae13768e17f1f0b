package spool

import "time"

// Instant is a reading of the VM's monotonic clock, in nanoseconds since an arbitrary origin.
type Instant int64

// Add returns the instant that lies duration after instant.
func (instant Instant) Add(duration time.Duration) Instant {
	return instant + Instant(duration)
}

// Sub returns the time that passed between earlier and instant.
func (instant Instant) Sub(earlier Instant) time.Duration {
	return time.Duration(instant - earlier)
}
