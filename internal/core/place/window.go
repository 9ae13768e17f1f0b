package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	minWindow      = 1                      // statement in flight, so that the proxy notices when the server has capacity again
	shrinkInterval = 250 * time.Millisecond // between two shrinks: answers to statements sent before the first do not reflect it yet
)

// CongestionWindow limits the statements that a proxy has in flight at a server, for callers that request more than the
// server can handle: without it every answer comes after its deadline and is useless. The zero value sets no limit.
type CongestionWindow struct {
	size     float64 // in statements; zero means no limit
	shrunkAt spool.Instant
}

// Allows reports whether one more statement may start in addition to those in flight.
func (congestionWindow *CongestionWindow) Allows(inFlight int) bool {
	return congestionWindow.size == 0 || float64(inFlight) < congestionWindow.size
}

// Shrink halves the window after a statement that the server refused because of load or answered late.
func (congestionWindow *CongestionWindow) Shrink(inFlight int, now spool.Instant) {
	if congestionWindow.shrunkAt != 0 && now.Sub(congestionWindow.shrunkAt) < shrinkInterval {
		return
	}
	congestionWindow.shrunkAt = now
	size := float64(inFlight)
	if congestionWindow.size != 0 {
		size = min(size, congestionWindow.size)
	}
	congestionWindow.size = max(minWindow, size/2)
}

// RecordAnswer records a statement answered in time: the window grows by one per window of answers, and is removed when it
// reaches limit, which the proxy cannot exceed anyway.
func (congestionWindow *CongestionWindow) RecordAnswer(inFlight, limit int) {
	if congestionWindow.size == 0 || float64(inFlight) < congestionWindow.size-1 {
		return // the proxy did not use the window fully
	}
	congestionWindow.size += 1 / congestionWindow.size
	if congestionWindow.size >= float64(limit) {
		congestionWindow.size = 0
	}
}

// ExpectedWait returns how long a statement waits behind those already queued, given the server's mean response time.
func (congestionWindow *CongestionWindow) ExpectedWait(queued, limit int, mean time.Duration) time.Duration {
	size := float64(limit)
	if congestionWindow.size != 0 {
		size = min(size, congestionWindow.size)
	}
	return time.Duration(float64(mean) * float64(queued+1) / max(minWindow, size))
}
