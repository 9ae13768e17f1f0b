package member

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// duty is a VM with its weight for reading and relaying for its failure domain.
type duty struct {
	spool.Member
	weight uint64
}

// before tells whether the duty falls to this VM rather than to the other.
func (own duty) before(other duty) bool {
	return own.weight > other.weight || (own.weight == other.weight && own.VM < other.VM)
}

// insert puts a VM in its place among the first ones of a failure domain.
func insert(first []duty, added duty) []duty {
	place := len(first)
	for place > 0 && added.before(first[place-1]) {
		place--
	}
	if place == RelaysPerDomain {
		return first
	}
	first = slices.Insert(first, place, added)
	return first[:min(len(first), RelaysPerDomain)]
}

// duties returns the serving VMs to which the duty for a failure domain falls first.
func (view *View) duties(domain spool.Domain, now spool.Instant) []duty {
	var first []duty
	for _, entry := range view.entries {
		if entry.Domain == domain && !entry.Leaving && view.alive(entry, now) {
			first = insert(first, duty{Member: entry.Member, weight: dutyWeight(entry)})
		}
	}
	return first
}

// allDuties returns duties of every failure domain.
func (view *View) allDuties(now spool.Instant) map[spool.Domain][]duty {
	all := map[spool.Domain][]duty{}
	for _, entry := range view.entries {
		if !entry.Leaving && view.alive(entry, now) {
			all[entry.Domain] = insert(all[entry.Domain], duty{Member: entry.Member, weight: dutyWeight(entry)})
		}
	}
	return all
}

func dutyWeight(entry *Entry) uint64 {
	return rank.Weight("Reader/"+string(entry.Domain), string(entry.VM))
}

// IsReader tells whether the own VM is the one that watches the platform for its failure domain.
func (view *View) IsReader(now spool.Instant) bool {
	first := view.duties(view.self.Domain, now)
	return len(first) > 0 && first[0].VM == view.self.VM
}

// IsRelay tells whether the own VM passes heartbeats and configuration on for its failure domain.
func (view *View) IsRelay(now spool.Instant) bool {
	return contains(view.duties(view.self.Domain, now), view.self.VM)
}

// HeartbeatTargets returns the VMs that the own heartbeat goes to: all in a small fleet, else the relays of the own failure
// domain, and from a relay also its domain's VMs and the relays of the other domains.
func (view *View) HeartbeatTargets(now spool.Instant) []spool.VM {
	if len(view.entries) <= MeshLimit {
		return view.others(func(*Entry) bool { return true })
	}
	links := map[spool.VM]bool{}
	relays := view.duties(view.self.Domain, now)
	add(links, relays)
	if contains(relays, view.self.VM) {
		for _, vm := range view.others(func(entry *Entry) bool { return entry.Domain == view.self.Domain }) {
			links[vm] = true
		}
		for _, others := range view.allDuties(now) {
			add(links, others)
		}
	}
	if len(links) <= 1 {
		return view.others(func(entry *Entry) bool { return entry.Domain == view.self.Domain })
	}
	delete(links, view.self.VM)
	return sorted(links)
}

// Digest returns the heartbeats that a relay passes on; none in a small fleet, where everyone hears everyone.
func (view *View) Digest(now spool.Instant) []*wire.MemberInfo {
	if len(view.entries) <= MeshLimit || !view.IsRelay(now) {
		return nil
	}
	infos := []*wire.MemberInfo{}
	for _, entry := range view.entries {
		if entry.VM == view.self.VM || !view.alive(entry, now) {
			continue
		}
		infos = append(infos, &wire.MemberInfo{
			VM: string(entry.VM), Domain: string(entry.Domain), Address: entry.Address,
			Incarnation: entry.Incarnation, Leaving: entry.Leaving, AgeNanos: int64(now.Sub(entry.LastHeard)),
		})
	}
	slices.SortFunc(infos, func(a, b *wire.MemberInfo) int { return cmp.Compare(a.VM, b.VM) })
	return infos
}

func (view *View) others(keep func(*Entry) bool) []spool.VM {
	names := map[spool.VM]bool{}
	for vm, entry := range view.entries {
		if vm != view.self.VM && keep(entry) {
			names[vm] = true
		}
	}
	return sorted(names)
}

func add(links map[spool.VM]bool, duties []duty) {
	for _, duty := range duties {
		links[duty.VM] = true
	}
}

func sorted(names map[spool.VM]bool) []spool.VM {
	list := make([]spool.VM, 0, len(names))
	for vm := range names {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

func contains(duties []duty, vm spool.VM) bool {
	return slices.ContainsFunc(duties, func(duty duty) bool { return duty.VM == vm })
}
