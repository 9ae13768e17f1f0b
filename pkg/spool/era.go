package spool

import (
	"errors"
	"fmt"
)

// Era numbers the lives of a store: it rises each time the store comes back from an older copy of its data, after which
// revisions are assigned again. Zero is a store that announces no era.
type Era uint64

const (
	revisionBits = 48
	// MaxEra is the greatest era that a Version can hold.
	MaxEra Era = 1<<(64-revisionBits) - 1
	// MaxRevision is the greatest revision that a Version of an era above zero can hold.
	MaxRevision uint64 = 1<<revisionBits - 1
)

// NewVersion returns the version of a revision in an era: the era is in the upper 16 bits and the revision in the lower 48,
// so that versions are ordered by era first. In era zero the version is the revision itself, whatever its size.
func NewVersion(era Era, revision uint64) Version {
	return Version(uint64(era)<<revisionBits | revision)
}

// Era returns the era of a version; it is meaningful only if the store announces eras.
func (version Version) Era() Era { return Era(version >> revisionBits) }

// Revision returns the revision within the era; it is meaningful only if the store announces eras.
func (version Version) Revision() uint64 { return uint64(version) & MaxRevision }

// ErrEraChanged means that the store began a new era while a call was in progress. Whether a change took effect is unknown;
// the object has to be read again.
var ErrEraChanged = errors.New("the store began a new era during the call")

// EraError reports an answer of the store that was not accepted because of its era.
type EraError struct {
	Header    string // era as received, empty if the answer had none
	Known     Era    // newest era known
	Malformed bool   // the header is not an era; otherwise the era is older than the known one
}

// Error returns the received and the known era.
func (eraError *EraError) Error() string {
	if eraError.Malformed {
		return fmt.Sprintf("answer of the store with malformed era %q, newest known %d", eraError.Header, eraError.Known)
	}
	return fmt.Sprintf("answer of the store of older era %q, newest known %d", eraError.Header, eraError.Known)
}
