package member

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// relay is a VM with its weight as relay of its failure domain; the first relay also watches the platform.
type relay struct {
	spool.Member
	weight uint64
}

// precedes reports whether a candidate ranks before another one.
func (candidate relay) precedes(other relay) bool {
	return candidate.weight > other.weight || (candidate.weight == other.weight && candidate.VM < other.VM)
}

// insertRanked inserts a VM into the ranked relays of a failure domain, of which at most RelaysPerDomain remain.
func insertRanked(top []relay, added relay) []relay {
	index := len(top)
	for index > 0 && added.precedes(top[index-1]) {
		index--
	}
	if index == RelaysPerDomain {
		return top
	}
	top = slices.Insert(top, index, added)
	return top[:min(len(top), RelaysPerDomain)]
}

// topRelays returns the relays of a failure domain: its first serving VMs in rendezvous order.
func (view *View) topRelays(domain spool.Domain, now spool.Instant) []relay {
	var top []relay
	for _, entry := range view.entries {
		if entry.Domain == domain && !entry.Leaving && view.alive(entry, now) {
			top = insertRanked(top, relay{Member: entry.Member, weight: relayWeight(entry)})
		}
	}
	return top
}

// topRelaysByDomain returns the relays of every failure domain.
func (view *View) topRelaysByDomain(now spool.Instant) map[spool.Domain][]relay {
	all := map[spool.Domain][]relay{}
	for _, entry := range view.entries {
		if !entry.Leaving && view.alive(entry, now) {
			all[entry.Domain] = insertRanked(all[entry.Domain], relay{Member: entry.Member, weight: relayWeight(entry)})
		}
	}
	return all
}

func relayWeight(entry *Entry) uint64 {
	return rank.Weight("Reader/"+string(entry.Domain), string(entry.VM))
}

// IsReader reports whether the local VM is the one that watches the platform for its failure domain.
func (view *View) IsReader(now spool.Instant) bool {
	relays := view.topRelays(view.self.Domain, now)
	return len(relays) > 0 && relays[0].VM == view.self.VM
}

// IsRelay reports whether the local VM forwards heartbeats and configuration for its failure domain.
func (view *View) IsRelay(now spool.Instant) bool {
	return containsVM(view.topRelays(view.self.Domain, now), view.self.VM)
}

// HeartbeatTargets returns the VMs to which the local VM sends its heartbeat: all in a small fleet, else the relays of its
// failure domain. A relay also sends to the VMs of its failure domain and to the relays of the others.
func (view *View) HeartbeatTargets(now spool.Instant) []spool.VM {
	if len(view.entries) <= MeshLimit {
		return view.otherVMs(func(*Entry) bool { return true })
	}
	targets := map[spool.VM]bool{}
	relays := view.topRelays(view.self.Domain, now)
	addVMs(targets, relays)
	if containsVM(relays, view.self.VM) {
		for _, vm := range view.otherVMs(func(entry *Entry) bool { return entry.Domain == view.self.Domain }) {
			targets[vm] = true
		}
		for _, others := range view.topRelaysByDomain(now) {
			addVMs(targets, others)
		}
	}
	if len(targets) <= 1 {
		return view.otherVMs(func(entry *Entry) bool { return entry.Domain == view.self.Domain })
	}
	delete(targets, view.self.VM)
	return sortedVMs(targets)
}

// Digest returns the heartbeats that a relay forwards; none in a small fleet, where heartbeats form a full mesh.
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

func (view *View) otherVMs(match func(*Entry) bool) []spool.VM {
	vms := map[spool.VM]bool{}
	for vm, entry := range view.entries {
		if vm != view.self.VM && match(entry) {
			vms[vm] = true
		}
	}
	return sortedVMs(vms)
}

func addVMs(vms map[spool.VM]bool, relays []relay) {
	for _, relay := range relays {
		vms[relay.VM] = true
	}
}

func sortedVMs(set map[spool.VM]bool) []spool.VM {
	list := make([]spool.VM, 0, len(set))
	for vm := range set {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

func containsVM(relays []relay, vm spool.VM) bool {
	return slices.ContainsFunc(relays, func(relay relay) bool { return relay.VM == vm })
}
