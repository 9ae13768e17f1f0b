package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func position(number spool.Position) spool.LogPosition {
	return spool.LogPosition{Term: 1, Number: number}
}

func TestReplicaIsAvoidedForMissingPositions(t *testing.T) {
	c := qt.New(t)
	var lagTracker LagTracker
	now := spool.Instant(time.Hour)
	c.Assert(lagTracker.LikelyBehind(position(9), now), qt.IsFalse)
	lagTracker.RecordMissing(position(9), now)
	c.Assert(lagTracker.LikelyBehind(position(9), now.Add(minLagPause-1)), qt.IsTrue)
	c.Assert(lagTracker.LikelyBehind(position(12), now), qt.IsTrue)
	c.Assert(lagTracker.LikelyBehind(position(8), now), qt.IsFalse)
	c.Assert(lagTracker.LikelyBehind(position(9), now.Add(minLagPause)), qt.IsFalse)
	lagTracker.RecordMissing(position(7), now.Add(1))
	c.Assert(lagTracker.LikelyBehind(position(8), now.Add(2)), qt.IsTrue)
}

// TestNonReceivingReplicaIsAskedRarely simulates a replica that receives nothing for ten seconds and 50 reads per second
// that require the newest position; without a LagTracker every read is sent to the replica first.
func TestNonReceivingReplicaIsAskedRarely(t *testing.T) {
	c := qt.New(t)
	var lagTracker LagTracker
	start := spool.Instant(time.Hour)
	asked, longest := 0, time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 20 * time.Millisecond {
		now := start.Add(elapsed)
		if !lagTracker.LikelyBehind(position(100+spool.Position(elapsed/time.Second)), now) {
			asked++
			lagTracker.RecordMissing(position(100+spool.Position(elapsed/time.Second)), now)
		}
		longest = max(longest, lagTracker.pause)
	}
	c.Assert(asked < 25, qt.IsTrue, qt.Commentf("asked %d times", asked))
	c.Assert(longest, qt.Equals, maxLagPause)
}
