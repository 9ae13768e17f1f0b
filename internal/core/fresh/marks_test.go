package fresh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

func at(milliseconds int) spool.Instant {
	return spool.Instant(time.Duration(milliseconds) * time.Millisecond)
}

func position(number int) spool.LogPosition {
	return spool.LogPosition{Term: 1, Number: spool.Position(number)}
}

func TestCoveringAsksForTheLowestPositionThatIsFreshEnough(t *testing.T) {
	c := qt.New(t)
	var marks Watermarks
	_, known := marks.Covering(0)
	c.Assert(known, qt.IsFalse)
	for i := range 10 {
		marks.Add(Watermark{Position: position(i), SentAt: at(100 * i)})
	}
	found, known := marks.Covering(at(450))
	c.Assert(known, qt.IsTrue)
	c.Assert(found, qt.Equals, position(5))
	_, known = marks.Covering(at(950))
	c.Assert(known, qt.IsFalse)
}

func TestMarksIgnoreOvertakenAnswersAndReplacedPrimaries(t *testing.T) {
	c := qt.New(t)
	var marks Watermarks
	marks.Add(Watermark{Position: spool.LogPosition{Term: 2, Number: 5}, SentAt: at(100)})
	marks.Add(Watermark{Position: spool.LogPosition{Term: 2, Number: 3}, SentAt: at(50)})
	marks.Add(Watermark{Position: spool.LogPosition{Term: 1, Number: 9}, SentAt: at(200)})
	c.Assert(marks.Newest(), qt.Equals, Watermark{Position: spool.LogPosition{Term: 2, Number: 5}, SentAt: at(100)})
}

// TestCoveringNeverMissesACommit compares with an oracle that remembers every commit: whatever answers the marks are made
// of, and however they are thinned out, the position covers all commits acknowledged before the instant asked for.
func TestCoveringNeverMissesACommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var marks Watermarks
		now, number := 0, 0
		acked := map[int]int{} // number by the time of acknowledgement
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(1, 40).Draw(t, "pause")
			if rapid.Bool().Draw(t, "commit") {
				number++
				acked[now] = number
				continue
			}
			marks.Add(Watermark{Position: position(number), SentAt: at(now)})
			since := now - rapid.IntRange(0, 4000).Draw(t, "age")
			found, known := marks.Covering(at(since))
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
