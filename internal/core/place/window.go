package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	smallestWindow = 1                      // statement under way, so that the proxy notices when the server has time again
	cutPause       = 250 * time.Millisecond // between cuts: answers to statements sent before one say nothing of it
)

// CongestionWindow limits the statements that a proxy has under way with a server. It answers callers who want more than the server
// has time for: without it each answer comes after its deadline and none is of use. The zero Window sets no limit.
type CongestionWindow struct {
	size float64 // statements; zero without a limit
	cut  spool.Instant
}

// Allows tells if one more statement may start beside those under way.
func (window *CongestionWindow) Allows(underway int) bool {
	return window.size == 0 || float64(underway) < window.size
}

// Shrink halves the window after a statement that the server refused for load or answered late.
func (window *CongestionWindow) Shrink(underway int, now spool.Instant) {
	if window.cut != 0 && now.Sub(window.cut) < cutPause {
		return
	}
	window.cut = now
	size := float64(underway)
	if window.size != 0 {
		size = min(size, window.size)
	}
	window.size = max(smallestWindow, size/2)
}

// RecordAnswer notes a statement answered in time: the window grows by one each time that as many as it allows were answered,
// and ends at a number that the proxy cannot exceed anyway.
func (window *CongestionWindow) RecordAnswer(underway, most int) {
	if window.size == 0 || float64(underway) < window.size-1 {
		return // the proxy did not use all it may
	}
	window.size += 1 / window.size
	if window.size >= float64(most) {
		window.size = 0
	}
}

// ExpectedWait returns how long a statement waits behind others for its turn, given the server's mean response time.
func (window *CongestionWindow) ExpectedWait(ahead, most int, mean time.Duration) time.Duration {
	size := float64(most)
	if window.size != 0 {
		size = min(size, window.size)
	}
	return time.Duration(float64(mean) * float64(ahead+1) / max(smallestWindow, size))
}
