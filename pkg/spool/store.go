package spool

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted says that the store no longer has the history that a watch asked for.
var ErrCompacted = errors.New("history is no longer available")

// Change is one event of a watch.
type Change struct {
	Object
	Deleted bool
}

// Store is the object API of a platform that watches one kind at a time.
//
// Errors other than ErrConflict, ErrNotFound and ErrCompacted leave open whether a change took effect.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Ping reads an object, which may be old, and costs little; its error tells if the store answers.
	Ping(ctx context.Context, kind, name string) error
	// List returns the objects of a kind and the version that the list shows.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Create writes an object that does not exist yet, else ErrConflict.
	Create(ctx context.Context, object Object) (Object, error)
	// Put writes the object if its stored version equals object.Version, else ErrConflict.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its stored version equals object.Version, else ErrConflict.
	Delete(ctx context.Context, object Object) error
	// Watch waits for changes of a kind after a version, and returns none when the wait ends.
	Watch(ctx context.Context, kind string, after Version, wait time.Duration) ([]Change, Version, error)
}

// Promoter orders promotions at the platform.
type Promoter interface {
	// Promote makes the server the primary of its group; ErrFenced means that the order was refused.
	Promote(ctx context.Context, order Promotion) error
}

// ErrFenced says that a newer fencing token was used or the server is not running.
var ErrFenced = errors.New("the order was refused")

// Promotion is the order to make a server the primary of its group.
type Promotion struct {
	Group  Group
	Server Server
	Holder VM
	Token  uint64 // fencing token; rises with each change of holder
}
