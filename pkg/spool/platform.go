package spool

import (
	"context"
	"encoding/json"
	"errors"
)

// Version numbers the changes of all platform objects in one sequence; zero means that an object does not exist. For a store
// that announces eras it is composed of era and revision, see NewVersion.
type Version uint64

// Object is a versioned value of the platform's object API.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Body    json.RawMessage
}

// Kinds of objects that the proxy uses in the platform.
const (
	KindManifest = "Manifest" // one object per partner
	KindTerm     = "Term"     // one object per group
	KindQuorum   = "Quorum"   // the VMs that witness leases
	KindMark     = "Mark"     // written by starting VMs to distinguish fresh reads from stale ones
	KindAudit    = "Audit"    // one object per entry of the audit trail
	KindMember   = "Member"   // the platform's list of VMs, which may be stale; read only
)

// Errors of an object API in addition to those of its transport.
var (
	ErrConflict = errors.New("object has another version")
	ErrNotFound = errors.New("object does not exist")
)

// Platform is the object API that stores the state that must survive the VMs.
//
// After an error other than ErrConflict and ErrNotFound it is unknown whether a change took effect.
type Platform interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns the objects of a kind and the version as of which they are listed.
	List(ctx context.Context, kind string) ([]Object, Version, error)
	// Put writes the object if its stored version equals object.Version and returns it with its new version, or ErrConflict.
	Put(ctx context.Context, object Object) (Object, error)
	// Watch waits for changes of the kinds after a version; on timeout it returns none and the same version.
	Watch(ctx context.Context, kinds []string, after Version) ([]Object, Version, error)
}
