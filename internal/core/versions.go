package core

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

type objectName struct{ kind, name string }

func nameOf(version *wire.ObjectVersion) objectName {
	return objectName{kind: version.Kind, name: version.Name}
}

// versions is an immutable set of the object versions that a proxy has.
type versions struct {
	list   []*wire.ObjectVersion // sorted; messages share it
	newest map[objectName]uint64
}

func newVersions(list []*wire.ObjectVersion) *versions {
	versions := &versions{list: list, newest: make(map[objectName]uint64, len(list))}
	for _, version := range list {
		versions.newest[nameOf(version)] = version.Version
	}
	return versions
}

// lacks reports whether the set has no version of that object or an older one.
func (versions *versions) lacks(version *wire.ObjectVersion) bool {
	current, known := versions.newest[nameOf(version)]
	return !known || version.Version > current
}

// currentVersions returns the versions of the manifests and the quorum in force.
func (core *Core) currentVersions() *versions {
	if core.cachedVersions == nil {
		core.cachedVersions = newVersions(core.listVersions())
	}
	return core.cachedVersions
}

func (core *Core) listVersions() []*wire.ObjectVersion {
	list := []*wire.ObjectVersion{}
	for partner, version := range core.store.Versions() {
		list = append(list, &wire.ObjectVersion{
			Kind: spool.KindManifest, Name: string(partner), Version: uint64(version),
		})
	}
	if core.quorum.Version > 0 {
		list = append(list, &wire.ObjectVersion{
			Kind: spool.KindQuorum, Name: lease.QuorumName, Version: uint64(core.quorum.Version),
		})
	}
	slices.SortFunc(list, func(a, b *wire.ObjectVersion) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// behind reports whether a peer has a newer version of any object.
func (core *Core) behind(seen []*wire.ObjectVersion) bool {
	return slices.ContainsFunc(seen, core.currentVersions().lacks)
}
