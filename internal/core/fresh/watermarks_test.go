package fresh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

func instant(milliseconds int) spool.Instant {
	return spool.Instant(time.Duration(milliseconds) * time.Millisecond)
}

func position(number int) spool.LogPosition {
	return spool.LogPosition{Term: 1, Number: spool.Position(number)}
}

func TestCoveringReturnsLowestFreshPosition(t *testing.T) {
	c := qt.New(t)
	var watermarks Watermarks
	_, known := watermarks.Covering(0)
	c.Assert(known, qt.IsFalse)
	for i := range 10 {
		watermarks.Add(Watermark{Position: position(i), SentAt: instant(100 * i)})
	}
	found, known := watermarks.Covering(instant(450))
	c.Assert(known, qt.IsTrue)
	c.Assert(found, qt.Equals, position(5))
	_, known = watermarks.Covering(instant(950))
	c.Assert(known, qt.IsFalse)
}

func TestWatermarksIgnoreReorderedAnswersAndReplacedPrimaries(t *testing.T) {
	c := qt.New(t)
	var watermarks Watermarks
	watermarks.Add(Watermark{Position: spool.LogPosition{Term: 2, Number: 5}, SentAt: instant(100)})
	watermarks.Add(Watermark{Position: spool.LogPosition{Term: 2, Number: 3}, SentAt: instant(50)})
	watermarks.Add(Watermark{Position: spool.LogPosition{Term: 1, Number: 9}, SentAt: instant(200)})
	c.Assert(watermarks.Newest(), qt.Equals, Watermark{Position: spool.LogPosition{Term: 2, Number: 5}, SentAt: instant(100)})
}

// TestCoveringNeverMissesACommit compares Covering with a model that records every commit: for any sequence of answers and
// despite the thinning out of watermarks, the position covers all commits acknowledged before the requested instant.
func TestCoveringNeverMissesACommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var watermarks Watermarks
		now, number := 0, 0
		acked := map[int]int{} // number by the time of acknowledgement
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(1, 40).Draw(t, "pause")
			if rapid.Bool().Draw(t, "commit") {
				number++
				acked[now] = number
				continue
			}
			watermarks.Add(Watermark{Position: position(number), SentAt: instant(now)})
			since := now - rapid.IntRange(0, 4000).Draw(t, "age")
			found, known := watermarks.Covering(instant(since))
			if !known {
				continue
			}
			for when, committed := range acked {
				if when < since && found.Less(position(committed)) {
					t.Fatalf("position %v lacks commit %d acknowledged at %d, asked since %d", found, committed, when, since)
				}
			}
		}
	})
}
