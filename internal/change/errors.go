package change

import (
	"fmt"

	"corianderspool.example/spool/pkg/spool"
)

// Conflict says that the stored object has another version than the update's condition.
type Conflict struct {
	Found   spool.Version // zero if reads did not show the version yet
	Unclear bool          // the update may have been in force before Found replaced it
}

// Error names the version that was found.
func (conflict *Conflict) Error() string {
	text := fmt.Sprintf("object has another version: %d", conflict.Found)
	if conflict.Unclear {
		text += "; this change may have been in force before it"
	}
	return text
}

// Unwrap returns spool.ErrConflict.
func (conflict *Conflict) Unwrap() error { return spool.ErrConflict }

// Unknown says that the update may have taken effect.
type Unknown struct {
	Cause error
}

// Error returns the cause.
func (unknown *Unknown) Error() string {
	return fmt.Sprintf("it is unknown whether the change took effect: %v", unknown.Cause)
}

// Unwrap returns the cause.
func (unknown *Unknown) Unwrap() error { return unknown.Cause }
