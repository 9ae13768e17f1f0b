package elect

import "time"

// sendMargin covers that two proxies measure at moments that differ by the time that messages take.
const sendMargin = 200 * time.Millisecond

// AckedKnowledge tells whether proxies know every commit that they acknowledged: one that restarted forgot those of before.
type AckedKnowledge struct {
	Uninformed time.Duration // since the start of the youngest proxy that may have forgotten commits; zero if none has
	AckedAge   time.Duration // since the newest acknowledged commit that is known was sent; zero if there is none
}

// Merge adds the knowledge of another proxy.
func (knowledge *AckedKnowledge) Merge(other AckedKnowledge) {
	knowledge.Uninformed = minPositive(knowledge.Uninformed, other.Uninformed)
	knowledge.AckedAge = minPositive(knowledge.AckedAge, other.AckedAge)
}

// IsComplete reports whether no commit that was acknowledged is newer than the newest known one: none was forgotten, or the
// newest known one was sent after those that were.
func (knowledge AckedKnowledge) IsComplete() bool {
	return knowledge.Uninformed == 0 || knowledge.AckedAge != 0 && knowledge.AckedAge+sendMargin < knowledge.Uninformed
}

func minPositive(left, right time.Duration) time.Duration {
	if left == 0 || right == 0 {
		return max(left, right)
	}
	return min(left, right)
}
