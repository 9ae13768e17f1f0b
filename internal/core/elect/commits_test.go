package elect

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStallRequiresUnansweredCommitsSinceLastAnswer merges the commit statistics of several proxies.
func TestStallRequiresUnansweredCommitsSinceLastAnswer(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		seen  []CommitStats
		stall bool
	}{
		"none sent":                     {[]CommitStats{{}, {SinceAnswer: 20 * second}}, false},
		"unanswered everywhere":         {[]CommitStats{{Unanswered: 2, SinceFirst: 3 * second, SinceLast: second}, {Unanswered: 1, SinceFirst: 2 * second, SinceLast: 2 * second, SinceAnswer: 4 * second}}, true},
		"never any answer":              {[]CommitStats{{Unanswered: 3, SinceFirst: 2 * second, SinceLast: second}}, true},
		"answered at another proxy":     {[]CommitStats{{Unanswered: 9, SinceFirst: 5 * second, SinceLast: second}, {SinceAnswer: second}}, false},
		"answered after the last":       {[]CommitStats{{Unanswered: 9, SinceFirst: 6 * second, SinceLast: 3 * second}, {SinceAnswer: 2 * second}}, false},
		"one lost answer":               {[]CommitStats{{Unanswered: 1, SinceFirst: 5 * second, SinceLast: 5 * second}, {}}, false},
		"too short":                     {[]CommitStats{{Unanswered: 9, SinceFirst: second, SinceLast: second / 2, SinceAnswer: 2 * second}}, false},
		"answered only a moment before": {[]CommitStats{{Unanswered: 9, SinceFirst: 2 * second, SinceLast: second / 4, SinceAnswer: second}}, false},
	} {
		var merged CommitStats
		for _, seen := range test.seen {
			merged.Merge(seen)
		}
		qt.Check(t, merged.IsStalled(), qt.Equals, test.stall, qt.Commentf("%s", name))
	}
}
