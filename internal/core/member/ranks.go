package member

import (
	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

// Ranks holds the local VM's rank among the serving VMs for many roles and is updated incrementally as a view changes.
type Ranks struct {
	view      *View
	serving   map[spool.VM]uint64 // hashes of the other serving VMs, which all ranks include
	leaving   bool
	indexes   map[string]int // index in roleRanks by role
	roleRanks []roleRank
}

// roleRank is the local VM's rank for one role.
type roleRank struct {
	name      string
	roleHash  uint64
	ownWeight uint64
	rank      int
}

// NewRanks returns the ranks for a view, without any role.
func NewRanks(view *View) *Ranks {
	return &Ranks{view: view, serving: map[spool.VM]uint64{}, indexes: map[string]int{}}
}

// Update applies the changes of the serving VMs up to now and reports whether any rank may have changed.
func (ranks *Ranks) Update(now spool.Instant) bool {
	changed := ranks.leaving != ranks.view.self.Leaving
	ranks.leaving = ranks.view.self.Leaving
	for vm, hash := range ranks.serving {
		if !ranks.view.servesBesideSelf(vm, now) {
			delete(ranks.serving, vm)
			ranks.adjust(vm, hash, -1)
			changed = true
		}
	}
	for vm := range ranks.view.entries {
		if _, counted := ranks.serving[vm]; !counted && ranks.view.servesBesideSelf(vm, now) {
			ranks.serving[vm] = rank.Hash(string(vm))
			ranks.adjust(vm, ranks.serving[vm], 1)
			changed = true
		}
	}
	return changed
}

// Rank returns the local VM's zero-based rank for a role among the VMs that served at the last Update, by rendezvous hashing;
// it returns false if the local VM is leaving.
func (ranks *Ranks) Rank(role string) (int, bool) {
	if ranks.leaving {
		return 0, false
	}
	index, known := ranks.indexes[role]
	if !known {
		index = ranks.add(role)
	}
	return ranks.roleRanks[index].rank, true
}

func (ranks *Ranks) add(role string) int {
	added := roleRank{name: role, roleHash: rank.Hash(role), ownWeight: rank.Weight(role, string(ranks.view.self.VM))}
	for vm, hash := range ranks.serving {
		added.adjust(ranks.view.self.VM, vm, hash, 1)
	}
	ranks.indexes[role] = len(ranks.roleRanks)
	ranks.roleRanks = append(ranks.roleRanks, added)
	return len(ranks.roleRanks) - 1
}

// Retain removes the ranks of the roles for which wanted returns false.
func (ranks *Ranks) Retain(wanted func(role string) bool) {
	kept := ranks.roleRanks[:0]
	clear(ranks.indexes)
	for _, roleRank := range ranks.roleRanks {
		if wanted(roleRank.name) {
			ranks.indexes[roleRank.name] = len(kept)
			kept = append(kept, roleRank)
		}
	}
	clear(ranks.roleRanks[len(kept):])
	ranks.roleRanks = kept
}

func (ranks *Ranks) adjust(vm spool.VM, hash uint64, delta int) {
	for i := range ranks.roleRanks {
		ranks.roleRanks[i].adjust(ranks.view.self.VM, vm, hash, delta)
	}
}

func (roleRank *roleRank) adjust(self, vm spool.VM, hash uint64, delta int) {
	if other := rank.CombineHashes(roleRank.roleHash, hash); other > roleRank.ownWeight || (other == roleRank.ownWeight && vm < self) {
		roleRank.rank += delta
	}
}
