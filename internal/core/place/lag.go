package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	minLagPause = 30 * time.Millisecond // a replica usually applies within 20 to 60 ms
	maxLagPause = time.Second           // a replica that receives again is in use within a second
)

// LagTracker remembers positions that a replica had not reached, so that reads avoid replicas that fall behind: each read
// sent to a replica that lacks the position costs the caller a round trip and, without a free connection, the replica a
// handshake.
type LagTracker struct {
	missing    spool.LogPosition // lowest recently missing position
	recordedAt spool.Instant
	pause      time.Duration
}

// RecordMissing records that the replica lacked a position; the pause grows with repetition.
func (lagTracker *LagTracker) RecordMissing(position spool.LogPosition, now spool.Instant) {
	if lagTracker.recordedAt == 0 || now.Sub(lagTracker.recordedAt) > 2*maxLagPause {
		lagTracker.pause = 0
	}
	if !lagTracker.active(now) || position.Less(lagTracker.missing) {
		lagTracker.missing = position
	}
	if now.Sub(lagTracker.recordedAt) >= lagTracker.pause {
		lagTracker.pause = min(max(minLagPause, 2*lagTracker.pause), maxLagPause)
	}
	lagTracker.recordedAt = now
}

func (lagTracker *LagTracker) active(now spool.Instant) bool {
	return lagTracker.recordedAt != 0 && now.Sub(lagTracker.recordedAt) < lagTracker.pause
}

// LikelyBehind reports whether the replica is likely to lack a position.
func (lagTracker *LagTracker) LikelyBehind(position spool.LogPosition, now spool.Instant) bool {
	return lagTracker.active(now) && !position.Less(lagTracker.missing)
}
