package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// TickInterval is the time between two ticks that a running proxy records.
	TickInterval = 100 * time.Millisecond
	// ResumeWait is the longest wait for the evacuated set after a suspension.
	ResumeWait = 500 * time.Millisecond

	maxTickGap = time.Second // a shorter suspension leaves the set within the bound of the evacuation
)

// Suspended reports whether a proxy whose last tick was at an instant has been suspended since. It answers the failure of a VM
// that is frozen during an evacuation and resumes with the set from before.
func Suspended(lastTick, now spool.Instant) bool { return now.Sub(lastTick) > maxTickGap }
