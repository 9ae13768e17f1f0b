package change

import (
	"fmt"

	"corianderspool.example/spool/pkg/spool"
)

// ConflictError says that the stored object has another version than the update's condition.
type ConflictError struct {
	StoredVersion spool.Version // zero if reads did not show the version yet
	MaybeApplied  bool          // the update may have been in force before Found replaced it
}

// Error names the version that was found.
func (conflict *ConflictError) Error() string {
	text := fmt.Sprintf("object has another version: %d", conflict.StoredVersion)
	if conflict.MaybeApplied {
		text += "; this change may have been in force before it"
	}
	return text
}

// Unwrap returns spool.ErrConflict.
func (conflict *ConflictError) Unwrap() error { return spool.ErrConflict }

// UnknownOutcomeError says that the update may have taken effect.
type UnknownOutcomeError struct {
	Cause error
}

// Error returns the cause.
func (unknown *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether the change took effect: %v", unknown.Cause)
}

// Unwrap returns the cause.
func (unknown *UnknownOutcomeError) Unwrap() error { return unknown.Cause }
