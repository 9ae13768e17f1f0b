package spool

import (
	"context"
	"encoding/json"
	"errors"
)

// Version orders all changes of the platform's objects; zero means that an object does not exist.
type Version uint64

// Object is one value of the platform's object API.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Body    json.RawMessage
}

// Kinds of objects that the proxy keeps in the platform.
const (
	KindManifest = "Manifest" // one object a partner
	KindTerm     = "Term"     // one object a group
	KindQuorum   = "Quorum"   // the witnesses of leases
	KindMark     = "Mark"     // written by starting VMs to tell fresh reads from stale ones
	KindAudit    = "Audit"    // one object an entry of the audit trail
	KindMember   = "Member"   // the platform's lagging list of VMs, read only
)

// Errors that an object API returns besides those of its transport.
var (
	ErrConflict = errors.New("object has another version")
	ErrNotFound = errors.New("object does not exist")
)

// Platform is the object API that holds whatever must outlast the VMs.
//
// Any other error than ErrConflict and ErrNotFound leaves open whether a change took effect.
type Platform interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind and the version that the list shows.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Put writes the object if its stored version equals object.Version and returns it with its new version, else ErrConflict.
	Put(ctx context.Context, object Object) (Object, error)
	// Watch waits for changes of the kinds after a version; it returns none and the same version when the wait ends.
	Watch(ctx context.Context, kinds []string, after Version) ([]Object, Version, error)
}
