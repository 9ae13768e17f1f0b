package change

import (
	"fmt"

	"corianderspool.example/spool/pkg/spool"
)

// ConflictError means that the stored version differs from the expected version of an update.
type ConflictError struct {
	StoredVersion spool.Version // zero if the object does not exist or reads did not return the version yet
	MaybeApplied  bool          // the update may have taken effect before StoredVersion replaced it
}

// Error returns a message with the stored version.
func (conflict *ConflictError) Error() string {
	text := fmt.Sprintf("object has another version: %d", conflict.StoredVersion)
	if conflict.MaybeApplied {
		text += "; this change may have been in force before it"
	}
	return text
}

// Unwrap returns spool.ErrConflict.
func (conflict *ConflictError) Unwrap() error { return spool.ErrConflict }

// UnknownOutcomeError means that it is unknown whether the update took effect.
type UnknownOutcomeError struct {
	Cause error
}

// Error returns a message with the cause.
func (unknown *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether the change took effect: %v", unknown.Cause)
}

// Unwrap returns the cause.
func (unknown *UnknownOutcomeError) Unwrap() error { return unknown.Cause }
