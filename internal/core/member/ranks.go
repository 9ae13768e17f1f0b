package member

import (
	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

// Ranks holds the own place among the serving VMs for many roles and follows the changes of a view.
type Ranks struct {
	view    *View
	serving map[spool.VM]uint64 // hashes of the other VMs that count in all places
	leaving bool
	places  map[string]int // index in list
	list    []place
}

// place is the own place for one role.
type place struct {
	name string
	role uint64 // hash
	own  uint64 // own weight
	rank int
}

// NewRanks returns ranks that follow a view.
func NewRanks(view *View) *Ranks {
	return &Ranks{view: view, serving: map[spool.VM]uint64{}, places: map[string]int{}}
}

// Update takes over which VMs serve at the instant and tells whether any place may have changed.
func (ranks *Ranks) Update(now spool.Instant) bool {
	changed := ranks.leaving != ranks.view.self.Leaving
	ranks.leaving = ranks.view.self.Leaving
	for vm, hash := range ranks.serving {
		if !ranks.view.counts(vm, now) {
			delete(ranks.serving, vm)
			ranks.shift(vm, hash, -1)
			changed = true
		}
	}
	for vm := range ranks.view.entries {
		if _, counted := ranks.serving[vm]; !counted && ranks.view.counts(vm, now) {
			ranks.serving[vm] = rank.Hash(string(vm))
			ranks.shift(vm, ranks.serving[vm], 1)
			changed = true
		}
	}
	return changed
}

// Rank returns the own place at the last Update among the serving VMs that may hold a role, by rendezvous hashing; a
// leaving VM has none.
func (ranks *Ranks) Rank(role string) (int, bool) {
	if ranks.leaving {
		return 0, false
	}
	index, known := ranks.places[role]
	if !known {
		index = ranks.add(role)
	}
	return ranks.list[index].rank, true
}

func (ranks *Ranks) add(role string) int {
	added := place{name: role, role: rank.Hash(role), own: rank.Weight(role, string(ranks.view.self.VM))}
	for vm, hash := range ranks.serving {
		added.shift(ranks.view.self.VM, vm, hash, 1)
	}
	ranks.places[role] = len(ranks.list)
	ranks.list = append(ranks.list, added)
	return len(ranks.list) - 1
}

// Retain drops the places of all roles but those that wanted names.
func (ranks *Ranks) Retain(wanted func(role string) bool) {
	kept := ranks.list[:0]
	clear(ranks.places)
	for _, place := range ranks.list {
		if wanted(place.name) {
			ranks.places[place.name] = len(kept)
			kept = append(kept, place)
		}
	}
	clear(ranks.list[len(kept):])
	ranks.list = kept
}

func (ranks *Ranks) shift(vm spool.VM, hash uint64, step int) {
	for i := range ranks.list {
		ranks.list[i].shift(ranks.view.self.VM, vm, hash, step)
	}
}

func (place *place) shift(self, vm spool.VM, hash uint64, step int) {
	if other := rank.CombineHashes(place.role, hash); other > place.own || (other == place.own && vm < self) {
		place.rank += step
	}
}
