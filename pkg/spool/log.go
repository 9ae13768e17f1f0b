package spool

import "fmt"

// LogPosition is a position in a group's log, ordered by term and then by number.
type LogPosition struct {
	Term   Term
	Number Position
}

// Less reports whether position is before other.
func (position LogPosition) Less(other LogPosition) bool {
	if position.Term != other.Term {
		return position.Term < other.Term
	}
	return position.Number < other.Number
}

// IsZero reports whether the position is unknown.
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
