package member

import "corianderspool.example/spool/pkg/spool"

// Ranks holds the own place among the serving VMs for many roles and follows the changes of a view.
type Ranks struct {
	view    *View
	serving map[spool.VM]bool // other VMs that count in all places
	leaving bool
	places  map[string]*place
}

// place is the own place for one role.
type place struct {
	own  uint64 // own weight
	rank int
}

// NewRanks returns ranks that follow a view.
func NewRanks(view *View) *Ranks {
	return &Ranks{view: view, serving: map[spool.VM]bool{}, places: map[string]*place{}}
}

// Update takes over which VMs serve at the instant and tells whether any place may have changed.
func (ranks *Ranks) Update(now spool.Instant) bool {
	changed := ranks.leaving != ranks.view.self.Leaving
	ranks.leaving = ranks.view.self.Leaving
	for vm := range ranks.serving {
		if !ranks.view.counts(vm, now) {
			delete(ranks.serving, vm)
			ranks.shift(vm, -1)
			changed = true
		}
	}
	for vm := range ranks.view.entries {
		if !ranks.serving[vm] && ranks.view.counts(vm, now) {
			ranks.serving[vm] = true
			ranks.shift(vm, 1)
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
	known := ranks.places[role]
	if known == nil {
		known = &place{own: weight(role, ranks.view.self.VM)}
		for vm := range ranks.serving {
			known.shift(role, ranks.view.self.VM, vm, 1)
		}
		ranks.places[role] = known
	}
	return known.rank, true
}

// Keep drops the places of all roles but those that wanted names.
func (ranks *Ranks) Keep(wanted func(role string) bool) {
	for role := range ranks.places {
		if !wanted(role) {
			delete(ranks.places, role)
		}
	}
}

func (ranks *Ranks) shift(vm spool.VM, step int) {
	for role, place := range ranks.places {
		place.shift(role, ranks.view.self.VM, vm, step)
	}
}

func (place *place) shift(role string, self, vm spool.VM, step int) {
	if other := weight(role, vm); other > place.own || (other == place.own && vm < self) {
		place.rank += step
	}
}
