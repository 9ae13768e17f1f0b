package elect

import "time"

const (
	// StallTime is how long no commit may be answered before a primary counts as stalled: its replicas confirm none. Commits
	// that only wait in a full queue are answered in between.
	StallTime = 1500 * time.Millisecond
	// LeastUnanswered is how many commits in a row have to stay without an answer, so that one lost answer is none.
	LeastUnanswered = 3
)

// RowLife is how long after the newest unanswered commit a row of them still counts.
const RowLife = 3 * time.Second

// Commits is what became of a group's commits at one or more proxies.
type Commits struct {
	Unanswered int           // in a row, after the newest answered one
	Stalled    time.Duration // since the first of these was sent
	Last       time.Duration // since the last of these was sent
	Answered   time.Duration // since the newest answer; zero if there was none
}

// Merge adds what another proxy saw: an answer anywhere ends the row of all.
func (commits *Commits) Merge(other Commits) {
	commits.Unanswered += other.Unanswered
	commits.Stalled = max(commits.Stalled, other.Stalled)
	if commits.Last == 0 || other.Last != 0 && other.Last < commits.Last {
		commits.Last = other.Last
	}
	if commits.Answered == 0 || other.Answered != 0 && other.Answered < commits.Answered {
		commits.Answered = other.Answered
	}
}

// Stall tells if commits were sent and none was answered for so long that the primary cannot complete them.
func (commits Commits) Stall() bool {
	if commits.Unanswered < LeastUnanswered || commits.Stalled < StallTime {
		return false
	}
	return commits.Answered == 0 || commits.Answered >= StallTime && commits.Answered > commits.Last
}
