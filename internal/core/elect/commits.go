package elect

import "time"

const (
	// StallTimeout is how long no commit may be answered before a primary counts as stalled: its replicas confirm none. Commits
	// that only wait in a full queue are answered in between.
	StallTimeout = 1500 * time.Millisecond
	// MinUnanswered is how many commits in a row have to stay without an answer, so that one lost answer is none.
	MinUnanswered = 3
)

// UnansweredTTL is how long after the newest unanswered commit a row of them still counts.
const UnansweredTTL = 3 * time.Second

// CommitStats is what became of a group's commits at one or more proxies.
type CommitStats struct {
	Unanswered  int           // in a row, after the newest answered one
	SinceFirst  time.Duration // since the first of these was sent
	SinceLast   time.Duration // since the last of these was sent
	SinceAnswer time.Duration // since the newest answer; zero if there was none
}

// Merge adds what another proxy saw: an answer anywhere ends the row of all.
func (commits *CommitStats) Merge(other CommitStats) {
	commits.Unanswered += other.Unanswered
	commits.SinceFirst = max(commits.SinceFirst, other.SinceFirst)
	if commits.SinceLast == 0 || other.SinceLast != 0 && other.SinceLast < commits.SinceLast {
		commits.SinceLast = other.SinceLast
	}
	if commits.SinceAnswer == 0 || other.SinceAnswer != 0 && other.SinceAnswer < commits.SinceAnswer {
		commits.SinceAnswer = other.SinceAnswer
	}
}

// IsStalled tells if commits were sent and none was answered for so long that the primary cannot complete them.
func (commits CommitStats) IsStalled() bool {
	if commits.Unanswered < MinUnanswered || commits.SinceFirst < StallTimeout {
		return false
	}
	return commits.SinceAnswer == 0 || commits.SinceAnswer >= StallTimeout && commits.SinceAnswer > commits.SinceLast
}
