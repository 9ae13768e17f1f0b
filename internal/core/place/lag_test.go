package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func at(number spool.Position) spool.LogPosition { return spool.LogPosition{Term: 1, Number: number} }

func TestReplicaIsAvoidedForWhatItLacks(t *testing.T) {
	c := qt.New(t)
	var lag LagTracker
	now := spool.Instant(time.Hour)
	c.Assert(lag.LikelyBehind(at(9), now), qt.IsFalse)
	lag.RecordMissing(at(9), now)
	c.Assert(lag.LikelyBehind(at(9), now.Add(shortestLag-1)), qt.IsTrue)
	c.Assert(lag.LikelyBehind(at(12), now), qt.IsTrue)
	c.Assert(lag.LikelyBehind(at(8), now), qt.IsFalse)
	c.Assert(lag.LikelyBehind(at(9), now.Add(shortestLag)), qt.IsFalse)
	lag.RecordMissing(at(7), now.Add(1))
	c.Assert(lag.LikelyBehind(at(8), now.Add(2)), qt.IsTrue)
}

// TestDeafReplicaIsAskedLittle plays a replica that receives nothing for ten seconds before 50 reads a second, of which
// each takes the newest position; without the memory each read asks it.
func TestDeafReplicaIsAskedLittle(t *testing.T) {
	c := qt.New(t)
	var lag LagTracker
	start := spool.Instant(time.Hour)
	asked, longest := 0, time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 20 * time.Millisecond {
		now := start.Add(elapsed)
		if !lag.LikelyBehind(at(100+spool.Position(elapsed/time.Second)), now) {
			asked++
			lag.RecordMissing(at(100+spool.Position(elapsed/time.Second)), now)
		}
		longest = max(longest, lag.pause)
	}
	c.Assert(asked < 25, qt.IsTrue, qt.Commentf("asked %d times", asked))
	c.Assert(longest, qt.Equals, longestLag)
}
