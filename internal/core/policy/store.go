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
	active   map[spool.Partner]activeManifest
	rejected map[spool.Partner]RejectedManifest
	snapshot *Snapshot
}

// activeManifest is the active manifest of a partner and the object that contains it.
type activeManifest struct {
	object   spool.Object
	manifest spool.Manifest
}

// RejectedManifest describes the newest invalid manifest of a partner if it is newer than the active one.
type RejectedManifest struct {
	Version spool.Version
	Faults  spool.Faults
}

// NewStore returns a store without manifests.
func NewStore() *Store {
	return &Store{
		active:   map[spool.Partner]activeManifest{},
		rejected: map[spool.Partner]RejectedManifest{},
		snapshot: newSnapshot(nil),
	}
}

// Apply makes the manifest in an object active if it is valid and newer than the active one, whatever the object's
// source.
//
// An invalid manifest leaves the active one in place. Applying the newest rejected version again returns no faults.
func (store *Store) Apply(object spool.Object) (Change, spool.Faults) {
	partner := spool.Partner(object.Name)
	if object.Kind != spool.KindManifest {
		return Change{}, spool.Faults{{Reason: fmt.Sprintf("object of kind %q is not a manifest", object.Kind)}}
	}
	current := store.active[partner]
	if object.Version <= current.object.Version || store.rejected[partner].Version == object.Version {
		return Change{}, nil
	}
	manifest, faults := ParseManifest(partner, object.Body)
	if len(faults) > 0 {
		store.reject(partner, object.Version, faults)
		return Change{}, faults
	}
	store.accept(partner, object, manifest)
	change := diffManifests(current.manifest, manifest)
	change.Accepted = true
	change.Partner = partner
	change.Version = object.Version
	return change, nil
}

func (store *Store) accept(partner spool.Partner, object spool.Object, manifest spool.Manifest) {
	object.Body = slices.Clone(object.Body)
	store.active[partner] = activeManifest{object: object, manifest: manifest}
	if store.rejected[partner].Version < object.Version {
		delete(store.rejected, partner)
	}
	manifests := make([]spool.Manifest, 0, len(store.active))
	for _, active := range store.active {
		manifests = append(manifests, active.manifest)
	}
	store.snapshot = newSnapshot(manifests)
}

func (store *Store) reject(partner spool.Partner, version spool.Version, faults spool.Faults) {
	if store.rejected[partner].Version < version {
		store.rejected[partner] = RejectedManifest{Version: version, Faults: faults}
	}
}

// Snapshot returns all active manifests.
func (store *Store) Snapshot() *Snapshot { return store.snapshot }

// Objects returns copies of the objects of the active manifests, sorted by name.
func (store *Store) Objects() []spool.Object {
	objects := make([]spool.Object, 0, len(store.active))
	for _, active := range store.active {
		object := active.object
		object.Body = slices.Clone(object.Body)
		objects = append(objects, object)
	}
	slices.SortFunc(objects, func(left, right spool.Object) int { return cmp.Compare(left.Name, right.Name) })
	return objects
}

// Versions returns the version of each partner's active manifest.
func (store *Store) Versions() map[spool.Partner]spool.Version {
	versions := make(map[spool.Partner]spool.Version, len(store.active))
	for partner, active := range store.active {
		versions[partner] = active.object.Version
	}
	return versions
}

// Rejected returns the rejected manifests by partner.
func (store *Store) Rejected() map[spool.Partner]RejectedManifest { return maps.Clone(store.rejected) }
