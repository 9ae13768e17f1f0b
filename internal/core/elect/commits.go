package elect

import "time"

const (
	// StallTimeout is the time without any answered commit after which a primary counts as stalled because no replica
	// confirms commits. While commits merely wait in a full queue, some of them are answered within this time.
	StallTimeout = 1500 * time.Millisecond
	// MinUnanswered is the number of consecutive unanswered commits of a stall, so that one lost answer is not a stall.
	MinUnanswered = 3
)

// UnansweredTTL is how long after the newest unanswered commit a series of them still counts.
const UnansweredTTL = 3 * time.Second

// CommitStats summarizes the outcomes of a group's commits at one or more proxies.
type CommitStats struct {
	Unanswered  int           // consecutive unanswered commits after the newest answered one
	SinceFirst  time.Duration // since the first unanswered commit was sent
	SinceLast   time.Duration // since the last unanswered commit was sent
	SinceAnswer time.Duration // since the newest answer; zero if there was none
}

// Merge adds the statistics of another proxy; an answer at any proxy ends the series of all.
func (stats *CommitStats) Merge(other CommitStats) {
	stats.Unanswered += other.Unanswered
	stats.SinceFirst = max(stats.SinceFirst, other.SinceFirst)
	if stats.SinceLast == 0 || other.SinceLast != 0 && other.SinceLast < stats.SinceLast {
		stats.SinceLast = other.SinceLast
	}
	if stats.SinceAnswer == 0 || other.SinceAnswer != 0 && other.SinceAnswer < stats.SinceAnswer {
		stats.SinceAnswer = other.SinceAnswer
	}
}

// IsStalled reports whether commits were sent and none was answered for so long that the primary cannot complete them.
func (stats CommitStats) IsStalled() bool {
	if stats.Unanswered < MinUnanswered || stats.SinceFirst < StallTimeout {
		return false
	}
	return stats.SinceAnswer == 0 || stats.SinceAnswer >= StallTimeout && stats.SinceAnswer > stats.SinceLast
}
