package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Store keeps the newest valid manifest of each partner; it is not safe for concurrent use.
type Store struct {
	parts    map[spool.Partner]part
	refused  map[spool.Partner]RejectedManifest
	snapshot *Snapshot
}

// part is a manifest in force and the object that it came in.
type part struct {
	object   spool.Object
	manifest spool.Manifest
}

// RejectedManifest is the newest manifest of a partner that was found invalid and is newer than the one in force.
type RejectedManifest struct {
	Version spool.Version
	Faults  spool.Faults
}

// NewStore returns a store without manifests.
func NewStore() *Store {
	return &Store{
		parts:    map[spool.Partner]part{},
		refused:  map[spool.Partner]RejectedManifest{},
		snapshot: newSnapshot(nil),
	}
}

// Apply takes an object that any path brought and puts it in force if it is valid and newer than what is in force.
//
// An invalid object leaves what is in force; its faults are returned the first time that its version is offered.
func (store *Store) Apply(object spool.Object) (Change, spool.Faults) {
	partner := spool.Partner(object.Name)
	if object.Kind != spool.KindManifest {
		return Change{}, spool.Faults{{Reason: fmt.Sprintf("object of kind %q is not a manifest", object.Kind)}}
	}
	current := store.parts[partner]
	if object.Version <= current.object.Version || store.refused[partner].Version == object.Version {
		return Change{}, nil
	}
	manifest, faults := ParseManifest(partner, object.Body)
	if len(faults) > 0 {
		store.refuse(partner, object.Version, faults)
		return Change{}, faults
	}
	store.accept(partner, object, manifest)
	change := diff(current.manifest, manifest)
	change.Accepted = true
	change.Partner = partner
	change.Version = object.Version
	return change, nil
}

func (store *Store) accept(partner spool.Partner, object spool.Object, manifest spool.Manifest) {
	object.Body = slices.Clone(object.Body)
	store.parts[partner] = part{object: object, manifest: manifest}
	if store.refused[partner].Version < object.Version {
		delete(store.refused, partner)
	}
	manifests := make([]spool.Manifest, 0, len(store.parts))
	for _, part := range store.parts {
		manifests = append(manifests, part.manifest)
	}
	store.snapshot = newSnapshot(manifests)
}

func (store *Store) refuse(partner spool.Partner, version spool.Version, faults spool.Faults) {
	if store.refused[partner].Version < version {
		store.refused[partner] = RejectedManifest{Version: version, Faults: faults}
	}
}

// Snapshot returns all manifests in force.
func (store *Store) Snapshot() *Snapshot { return store.snapshot }

// Objects returns copies of the objects in force, in the order of their names.
func (store *Store) Objects() []spool.Object {
	objects := make([]spool.Object, 0, len(store.parts))
	for _, part := range store.parts {
		object := part.object
		object.Body = slices.Clone(object.Body)
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(left, right spool.Object) int { return cmp.Compare(left.Name, right.Name) })
	return objects
}

// Versions returns the version in force of each partner's manifest.
func (store *Store) Versions() map[spool.Partner]spool.Version {
	versions := make(map[spool.Partner]spool.Version, len(store.parts))
	for partner, part := range store.parts {
		versions[partner] = part.object.Version
	}
	return versions
}

// Rejected returns the partners whose newest known manifest is invalid.
func (store *Store) Rejected() map[spool.Partner]RejectedManifest { return maps.Clone(store.refused) }
