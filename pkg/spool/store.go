package spool

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store no longer has the history requested by a watch.
var ErrCompacted = errors.New("history is no longer available")

// Change is one event of a watch.
type Change struct {
	Object
	Deleted bool
}

// Store is the object API of a platform whose watches cover one kind each.
//
// After an error other than ErrConflict, ErrNotFound and ErrCompacted it is unknown whether a change took effect. A change
// whose version is of an older era than the newest one known is not sent and returns ErrConflict.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Ping cheaply reads an object, which may be stale, and returns an error if the store does not answer.
	Ping(ctx context.Context, kind, name string) error
	// List returns the objects of a kind and the version as of which they are listed.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Create writes an object that does not exist yet, or returns ErrConflict.
	Create(ctx context.Context, object Object) (Object, error)
	// Put writes the object if its stored version equals object.Version, or returns ErrConflict.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its stored version equals object.Version, or returns ErrConflict.
	Delete(ctx context.Context, object Object) error
	// Watch waits for changes of a kind after a version; on timeout it returns none.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) ([]Change, Version, error)
	// Era returns the newest era known; zero if the store announces none.
	Era() Era
	// ObserveEra announces an era that another client of the store has seen; it is ignored unless it is newer.
	ObserveEra(era Era)
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote makes the server the primary of its group, or returns ErrFenced.
	Promote(ctx context.Context, promotion Promotion) error
}

// ErrFenced means that a newer fencing token was used or that the server is not running.
var ErrFenced = errors.New("promotion rejected: newer fencing token or server not running")

// Promotion is the request to make a server the primary of its group.
type Promotion struct {
	Group  Group
	Server Server
	Holder VM
	Token  uint64 // fencing token; increases with each change of holder
}
