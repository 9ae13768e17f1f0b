package member

import (
	"cmp"
	"slices"
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultTimeout = 1 * time.Second
	expireAfter    = 30 * time.Second
	// MeshLimit is the largest fleet in which every VM sends its heartbeat to every other one.
	MeshLimit = 32
	// RelaysPerDomain is the number of VMs of a failure domain that forward heartbeats and configuration.
	RelaysPerDomain = 2
)

// Entry is the state of one VM in the view.
type Entry struct {
	spool.Member
	LastHeard spool.Instant // last heartbeat, direct or relayed
	EverHeard bool
	Listed    bool
}

// View is one proxy's view of the fleet; it is not safe for concurrent use.
type View struct {
	self    spool.Member
	timeout time.Duration
	entries map[spool.VM]*Entry
}

// Option configures a View.
type Option func(*View)

// WithTimeout sets how long a VM counts as alive after its last heartbeat.
func WithTimeout(timeout time.Duration) Option {
	return func(view *View) { view.timeout = timeout }
}

// New returns the view of a proxy that knows only itself.
func New(self spool.Member, options ...Option) *View {
	view := &View{self: self, timeout: defaultTimeout, entries: map[spool.VM]*Entry{}}
	for _, option := range options {
		option(view)
	}
	view.entries[self.VM] = &Entry{Member: self, Listed: true}
	return view
}

// Leave marks the local VM as leaving.
func (view *View) Leave() {
	view.self.Leaving = true
	view.entries[view.self.VM].Leaving = true
}

// Self returns the local VM.
func (view *View) Self() spool.Member { return view.self }

// ApplyList merges the platform's list of VMs. The list lags, so it never overrides the state of a VM that sent a heartbeat.
func (view *View) ApplyList(members []spool.Member) {
	for _, entry := range view.entries {
		entry.Listed = entry.VM == view.self.VM
	}
	for _, member := range members {
		entry := view.ensureEntry(member.VM)
		entry.Listed = true
		if !entry.EverHeard && member.VM != view.self.VM {
			entry.Domain, entry.Address = member.Domain, member.Address
			entry.Leaving = member.Leaving
		}
	}
}

// RecordHeartbeat records a heartbeat that was received directly from a VM, and the heartbeats that it forwards.
func (view *View) RecordHeartbeat(from spool.VM, incarnation uint64, heartbeat *wire.Heartbeat, now spool.Instant) {
	member := spool.Member{
		VM: from, Domain: spool.Domain(heartbeat.Domain), Address: heartbeat.Address,
		Incarnation: incarnation, Leaving: heartbeat.Leaving,
	}
	if !view.merge(member, now) {
		return
	}
	for _, info := range heartbeat.Members {
		view.mergeRelayed(info, now)
	}
}

func (view *View) mergeRelayed(info *wire.MemberInfo, now spool.Instant) {
	member := spool.Member{
		VM: spool.VM(info.VM), Domain: spool.Domain(info.Domain), Address: info.Address,
		Incarnation: info.Incarnation, Leaving: info.Leaving,
	}
	view.merge(member, now-spool.Instant(max(info.AgeNanos, 0)))
}

// merge records a heartbeat; it returns false for one of the local VM or of an earlier incarnation, which is ignored.
func (view *View) merge(member spool.Member, heard spool.Instant) bool {
	if member.VM == view.self.VM {
		return false
	}
	entry := view.ensureEntry(member.VM)
	if entry.EverHeard && member.Incarnation < entry.Incarnation {
		return false
	}
	leaving := member.Leaving || (entry.Leaving && entry.Incarnation == member.Incarnation)
	entry.Member = member
	entry.Leaving = leaving
	entry.LastHeard = max(entry.LastHeard, heard)
	entry.EverHeard = true
	return true
}

func (view *View) ensureEntry(vm spool.VM) *Entry {
	entry := view.entries[vm]
	if entry == nil {
		entry = &Entry{Member: spool.Member{VM: vm}}
		view.entries[vm] = entry
	}
	return entry
}

// RemoveExpired removes the VMs that are not listed and sent no heartbeat for expireAfter.
func (view *View) RemoveExpired(now spool.Instant) {
	for vm, entry := range view.entries {
		if !entry.Listed && now.Sub(entry.LastHeard) > expireAfter {
			delete(view.entries, vm)
		}
	}
}

// Entry returns the entry of a VM and whether there is one.
func (view *View) Entry(vm spool.VM) (*Entry, bool) {
	entry, known := view.entries[vm]
	return entry, known
}

// Alive reports whether a heartbeat of a VM was recorded within the timeout; the local VM is always alive.
func (view *View) Alive(vm spool.VM, now spool.Instant) bool {
	entry, known := view.entries[vm]
	return known && view.alive(entry, now)
}

func (view *View) alive(entry *Entry, now spool.Instant) bool {
	if entry.VM == view.self.VM {
		return true
	}
	return entry.EverHeard && now.Sub(entry.LastHeard) <= view.timeout
}

// Members returns all known VMs, sorted by name.
func (view *View) Members() []spool.Member {
	return view.selectMembers(func(*Entry) bool { return true })
}

// Serving returns the VMs that are alive and not leaving, sorted by name.
func (view *View) Serving(now spool.Instant) []spool.Member {
	return view.selectMembers(func(entry *Entry) bool { return view.alive(entry, now) && !entry.Leaving })
}

func (view *View) selectMembers(match func(*Entry) bool) []spool.Member {
	members := make([]spool.Member, 0, len(view.entries))
	for _, entry := range view.entries {
		if match(entry) {
			members = append(members, entry.Member)
		}
	}
	slices.SortFunc(members, func(a, b spool.Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// servesBesideSelf reports whether a VM other than the local one is alive and not leaving.
func (view *View) servesBesideSelf(vm spool.VM, now spool.Instant) bool {
	entry, known := view.entries[vm]
	return known && vm != view.self.VM && !entry.Leaving && view.alive(entry, now)
}
