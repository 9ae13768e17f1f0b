package member

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// ranked returns the serving VMs of a failure domain in order of their duty to read and relay for it.
func (view *View) ranked(domain spool.Domain, now spool.Instant) []spool.Member {
	members := view.collect(func(entry *Entry) bool {
		return entry.Domain == domain && view.alive(entry, now) && !entry.Leaving
	})
	slices.SortStableFunc(members, func(a, b spool.Member) int {
		return cmp.Compare(weight("Reader/"+string(domain), b.VM), weight("Reader/"+string(domain), a.VM))
	})
	return members
}

// Reader tells whether the own VM is the one that watches the platform for its failure domain.
func (view *View) Reader(now spool.Instant) bool {
	ranked := view.ranked(view.self.Domain, now)
	return len(ranked) > 0 && ranked[0].VM == view.self.VM
}

// Relay tells whether the own VM passes heartbeats and configuration on for its failure domain.
func (view *View) Relay(now spool.Instant) bool {
	return contains(view.relays(view.self.Domain, now), view.self.VM)
}

func (view *View) relays(domain spool.Domain, now spool.Instant) []spool.Member {
	ranked := view.ranked(domain, now)
	return ranked[:min(len(ranked), RelaysPerDomain)]
}

// Links returns the VMs that the own heartbeat goes to: all in a small fleet, else the relays of the own failure
// domain, and from a relay also its domain's VMs and the relays of the other domains.
func (view *View) Links(now spool.Instant) []spool.VM {
	if len(view.entries) <= MeshLimit {
		return view.others(func(*Entry) bool { return true })
	}
	links := map[spool.VM]bool{}
	add(links, view.relays(view.self.Domain, now))
	if view.Relay(now) {
		for _, vm := range view.others(func(entry *Entry) bool { return entry.Domain == view.self.Domain }) {
			links[vm] = true
		}
		for _, domain := range view.domains() {
			add(links, view.relays(domain, now))
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
	if len(view.entries) <= MeshLimit || !view.Relay(now) {
		return nil
	}
	infos := []*wire.MemberInfo{}
	for _, entry := range view.entries {
		if entry.VM == view.self.VM || !view.alive(entry, now) {
			continue
		}
		infos = append(infos, &wire.MemberInfo{
			VM: string(entry.VM), Domain: string(entry.Domain), Address: entry.Address,
			Incarnation: entry.Incarnation, Leaving: entry.Leaving, AgeNanos: int64(now.Sub(entry.Heard)),
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

func (view *View) domains() []spool.Domain {
	domains := []spool.Domain{}
	for _, entry := range view.entries {
		if !slices.Contains(domains, entry.Domain) {
			domains = append(domains, entry.Domain)
		}
	}
	slices.Sort(domains)
	return domains
}

func add(links map[spool.VM]bool, members []spool.Member) {
	for _, member := range members {
		links[member.VM] = true
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

func contains(members []spool.Member, vm spool.VM) bool {
	return slices.ContainsFunc(members, func(member spool.Member) bool { return member.VM == vm })
}
