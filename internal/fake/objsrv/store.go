package objsrv

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

type objectKey struct {
	Kind string
	Name string
}

// store holds the objects and the global version counter.
type store struct {
	version spool.Version
	objects map[objectKey]spool.Object
}

var removedBody = json.RawMessage("null")

func newStore() store {
	return store{objects: map[objectKey]spool.Object{}}
}

func (store *store) clone() store {
	return newStoreWith(store.version, maps.Clone(store.objects))
}

func newStoreWith(version spool.Version, objects map[objectKey]spool.Object) store {
	return store{version: version, objects: objects}
}

func (store *store) get(kind, name string) (spool.Object, error) {
	object, ok := store.objects[objectKey{kind, name}]
	if !ok || isRemoved(object) {
		return spool.Object{}, spool.ErrNotFound
	}
	return object, nil
}

func (store *store) list(kind string) []spool.Object {
	return store.filter(func(object spool.Object) bool {
		return object.Kind == kind && !isRemoved(object)
	})
}

func (store *store) changedAfter(kinds []string, after spool.Version) []spool.Object {
	return store.filter(func(object spool.Object) bool {
		return object.Version > after && slices.Contains(kinds, object.Kind)
	})
}

func (store *store) filter(matches func(spool.Object) bool) []spool.Object {
	objects := []spool.Object{}
	for _, object := range store.objects {
		if matches(object) {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b spool.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

// put writes the object if the stored version is object.Version, else it fails with ErrConflict or ErrNotFound.
func (store *store) put(object spool.Object) (spool.Object, error) {
	stored := store.objects[objectKey{object.Kind, object.Name}]
	if stored.Version == 0 && object.Version != 0 {
		return spool.Object{}, spool.ErrNotFound
	}
	if stored.Version != object.Version {
		return spool.Object{}, spool.ErrConflict
	}
	return store.write(object), nil
}

func (store *store) write(object spool.Object) spool.Object {
	store.version++
	object.Version = store.version
	store.objects[objectKey{object.Kind, object.Name}] = object
	return object
}

func (store *store) setMembers(members []spool.Member) {
	present := map[string]bool{}
	for _, member := range members {
		present[string(member.VM)] = true
		body, err := json.Marshal(member)
		if err != nil {
			panic(err)
		}
		stored := store.objects[objectKey{spool.KindMember, string(member.VM)}]
		if string(stored.Body) != string(body) {
			store.write(spool.Object{Kind: spool.KindMember, Name: string(member.VM), Body: body})
		}
	}
	for _, object := range store.list(spool.KindMember) {
		if !present[object.Name] {
			store.write(spool.Object{Kind: object.Kind, Name: object.Name, Body: removedBody})
		}
	}
}

func isRemoved(object spool.Object) bool {
	return object.Kind == spool.KindMember && string(object.Body) == string(removedBody)
}
