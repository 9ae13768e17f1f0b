package elect

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStallNeedsUnansweredCommitsAfterTheNewestAnswer merges what proxies saw of a primary's commits.
func TestStallNeedsUnansweredCommitsAfterTheNewestAnswer(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		seen  []Commits
		stall bool
	}{
		"none sent":                     {[]Commits{{}, {Answered: 20 * second}}, false},
		"unanswered everywhere":         {[]Commits{{Unanswered: 2, Stalled: 3 * second, Last: second}, {Unanswered: 1, Stalled: 2 * second, Last: 2 * second, Answered: 4 * second}}, true},
		"never any answer":              {[]Commits{{Unanswered: 3, Stalled: 2 * second, Last: second}}, true},
		"answered at another proxy":     {[]Commits{{Unanswered: 9, Stalled: 5 * second, Last: second}, {Answered: second}}, false},
		"answered after the last":       {[]Commits{{Unanswered: 9, Stalled: 6 * second, Last: 3 * second}, {Answered: 2 * second}}, false},
		"one lost answer":               {[]Commits{{Unanswered: 1, Stalled: 5 * second, Last: 5 * second}, {}}, false},
		"too short":                     {[]Commits{{Unanswered: 9, Stalled: second, Last: second / 2, Answered: 2 * second}}, false},
		"answered only a moment before": {[]Commits{{Unanswered: 9, Stalled: 2 * second, Last: second / 4, Answered: second}}, false},
	} {
		var merged Commits
		for _, seen := range test.seen {
			merged.Merge(seen)
		}
		qt.Check(t, merged.Stall(), qt.Equals, test.stall, qt.Commentf("%s", name))
	}
}
