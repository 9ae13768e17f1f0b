package elect

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// AckedKnowledge tells what proxies know of the commits that were acknowledged: one that restarted forgot those of before.
type AckedKnowledge struct {
	Restarted time.Duration // since the start of the youngest proxy that acknowledged commits in an earlier process; zero if there is none
	AckedAge  time.Duration // since the newest acknowledged commit that is known was sent; zero if there is none
}

// Merge adds the knowledge of another proxy.
func (knowledge *AckedKnowledge) Merge(other AckedKnowledge) {
	knowledge.Restarted = minPositive(knowledge.Restarted, other.Restarted)
	knowledge.AckedAge = minPositive(knowledge.AckedAge, other.AckedAge)
}

// Bound returns a position at or above every commit that any proxy has acknowledged, if one is known. Acked is the newest
// position that the proxies know, elapsed the time since they were asked; told returns the lowest position that the primary is
// known to have told in answer to a request of at most an age. Commits that a restarted proxy forgot are below each position
// that was requested after its start.
func (knowledge AckedKnowledge) Bound(
	acked spool.LogPosition, elapsed time.Duration, told func(age time.Duration) (spool.LogPosition, bool),
) (spool.LogPosition, bool) {
	if knowledge.Restarted == 0 || knowledge.AckedAge != 0 && knowledge.AckedAge+elapsed < knowledge.Restarted {
		return acked, true
	}
	position, known := told(knowledge.Restarted)
	return acked.Max(position), known
}

func minPositive(left, right time.Duration) time.Duration {
	if left == 0 || right == 0 {
		return max(left, right)
	}
	return min(left, right)
}
