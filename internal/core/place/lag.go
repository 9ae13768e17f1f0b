package place

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	shortestLag = 30 * time.Millisecond // a replica usually applies within 20 to 60 ms
	longestLag  = time.Second           // a replica that receives again is in use within a second
)

// LagTracker remembers the positions that a replica lacked. It answers replicas that fall behind: each question to one that still
// lacks the position costs the caller a round trip and the replica, for want of a connection, a handshake.
type LagTracker struct {
	lacked spool.LogPosition // lowest one of late
	noted  spool.Instant
	pause  time.Duration
}

// RecordMissing notes that the replica lacked a position; the pause grows while it goes on.
func (lag *LagTracker) RecordMissing(position spool.LogPosition, now spool.Instant) {
	if lag.noted == 0 || now.Sub(lag.noted) > 2*longestLag {
		lag.pause = 0
	}
	if !lag.avoids(now) || position.Less(lag.lacked) {
		lag.lacked = position
	}
	if now.Sub(lag.noted) >= lag.pause {
		lag.pause = min(max(shortestLag, 2*lag.pause), longestLag)
	}
	lag.noted = now
}

func (lag *LagTracker) avoids(now spool.Instant) bool {
	return lag.noted != 0 && now.Sub(lag.noted) < lag.pause
}

// LikelyBehind tells if the replica is likely to lack a position.
func (lag *LagTracker) LikelyBehind(position spool.LogPosition, now spool.Instant) bool {
	return lag.avoids(now) && !position.Less(lag.lacked)
}
