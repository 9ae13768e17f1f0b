package spool

import "fmt"

// LogPosition is a place in a group's log: positions of a later term lie behind all of an earlier one.
type LogPosition struct {
	Term   Term
	Number Position
}

// Less tells if position lies before other.
func (position LogPosition) Less(other LogPosition) bool {
	if position.Term != other.Term {
		return position.Term < other.Term
	}
	return position.Number < other.Number
}

// IsZero tells if the position is not known.
func (position LogPosition) IsZero() bool { return position == LogPosition{} }

// Max returns the later of both positions.
func (position LogPosition) Max(other LogPosition) LogPosition {
	if position.Less(other) {
		return other
	}
	return position
}

// String returns the position as term/number for logs.
func (position LogPosition) String() string {
	return fmt.Sprintf("%d/%d", position.Term, position.Number)
}
