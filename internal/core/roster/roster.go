package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// NearPeriod is the time between heartbeats within a region.
	NearPeriod = 500 * time.Millisecond
	// FarPeriod is the time between heartbeats to other regions, where bytes are dear.
	FarPeriod = 2 * time.Second
	// LiveFor is how long a proxy of the region counts as live after a heartbeat.
	LiveFor = 3 * NearPeriod
	// farLiveFor is the same for a proxy of another region.
	farLiveFor = 3 * FarPeriod
	// goneAfter is how long a proxy must be silent before its registration is removed: longer than outages and restarts.
	goneAfter = 20 * time.Second
)

// Member is a proxy as this one knows it.
type Member struct {
	spool.Member
	Heard        spool.Instant // when its newest heartbeat came; zero if none did
	Added        spool.Instant
	StoreReached bool
}

// Roster holds the registered proxies, this one left out.
type Roster struct {
	self    spool.VM
	near    func(domain spool.Domain) bool
	members map[spool.VM]*Member
}

// New returns a roster without other proxies; near tells which failure domains are in this proxy's region.
func New(self spool.VM, near func(domain spool.Domain) bool) *Roster {
	return &Roster{self: self, near: near, members: map[spool.VM]*Member{}}
}

// Near tells if a proxy is in this one's region.
func (roster *Roster) Near(member *Member) bool { return roster.near(member.Domain) }

// Nearby counts the live proxies of the region, this one among them.
func (roster *Roster) Nearby(now spool.Instant) int {
	count := 1
	for vm, member := range roster.members {
		if roster.Near(member) && roster.live(vm, now) {
			count++
		}
	}
	return count
}

// Add registers a proxy and tells if it is new or moved.
func (roster *Roster) Add(member spool.Member, now spool.Instant) bool {
	if member.VM == roster.self || member.VM == "" {
		return false
	}
	known := roster.members[member.VM]
	if known == nil {
		roster.members[member.VM] = &Member{Member: member, Added: now}
		return true
	}
	moved := known.Address != member.Address || known.Domain != member.Domain
	known.Address, known.Domain = member.Address, member.Domain
	return moved
}

// Keep drops the proxies that are not registered any more, unless they were heard lately.
func (roster *Roster) Keep(registered map[spool.VM]bool, now spool.Instant) {
	for vm := range roster.members {
		if !registered[vm] && !roster.live(vm, now) {
			delete(roster.members, vm)
		}
	}
}

// Get returns a proxy or nil.
func (roster *Roster) Get(vm spool.VM) *Member { return roster.members[vm] }

// Size returns the number of registered proxies, this one counted.
func (roster *Roster) Size() int { return len(roster.members) + 1 }

// Domains returns the failure domains of all registered proxies in the order of their names, and this one's index.
func (roster *Roster) Domains(own spool.Domain) (domains []spool.Domain, self int) {
	for _, member := range roster.Others() {
		if member.VM < roster.self {
			self++
		}
		domains = append(domains, member.Domain)
	}
	return slices.Insert(domains, self, own), self
}

// Others returns the other proxies, ordered by name.
func (roster *Roster) Others() []*Member {
	others := make([]*Member, 0, len(roster.members))
	for _, member := range roster.members {
		others = append(others, member)
	}
	slices.SortFunc(others, func(left, right *Member) int { return cmp.Compare(left.VM, right.VM) })
	return others
}

// Live returns the other proxies that were heard lately, ordered by name.
func (roster *Roster) Live(now spool.Instant) []*Member {
	return slices.DeleteFunc(roster.Others(), func(member *Member) bool { return !roster.live(member.VM, now) })
}

func (roster *Roster) live(vm spool.VM, now spool.Instant) bool {
	member := roster.members[vm]
	life := time.Duration(farLiveFor)
	if roster.near(member.Domain) {
		life = LiveFor
	}
	return member.Heard != 0 && now.Sub(member.Heard) < life
}

// Gone returns the proxies that were silent for so long that their registration is to be removed.
func (roster *Roster) Gone(now spool.Instant) []spool.VM {
	var gone []spool.VM
	for vm, member := range roster.members {
		if now.Sub(max(member.Heard, member.Added)) > goneAfter {
			gone = append(gone, vm)
		}
	}
	slices.Sort(gone)
	return gone
}

// Supervises tells if this proxy is the one that looks after a subject: the first by a hash of both among the live ones
// that reach the store. Proxies of preferred failure domains come first.
func (roster *Roster) Supervises(
	subject string, own spool.Domain, prefer func(domain spool.Domain) bool, selfFit bool, now spool.Instant,
) bool {
	if !selfFit {
		return false
	}
	least := weight(subject, roster.self, prefer(own))
	for vm, member := range roster.members {
		if member.Leaving || !member.StoreReached || !roster.live(vm, now) {
			continue
		}
		if weight(subject, vm, prefer(member.Domain)) > least {
			return false
		}
	}
	return true
}

// Homes returns the fit live proxies that come first by a hash of the subject and their names, best first and at most so
// many; if this one is fit too, only those before it.
func (roster *Roster) Homes(
	subject string, most int, selfFit bool, fit func(member *Member) bool, now spool.Instant,
) []spool.VM {
	type home struct {
		vm     spool.VM
		weight uint64
	}
	own := uint64(0)
	if selfFit {
		own = weight(subject, roster.self, false)
	}
	var homes []home
	for vm, member := range roster.members {
		candidate := home{vm, weight(subject, vm, false)}
		if candidate.weight >= own && !member.Leaving && roster.live(vm, now) && fit(member) {
			homes = append(homes, candidate)
		}
	}
	slices.SortFunc(homes, func(left, right home) int { return cmp.Compare(right.weight, left.weight) })
	homes = homes[:min(len(homes), most)]
	vms := make([]spool.VM, 0, len(homes))
	for _, home := range homes {
		vms = append(vms, home.vm)
	}
	return vms
}

// preferred is the part of a weight that puts preferred proxies before all others.
const preferred = 1 << 63

func weight(subject string, vm spool.VM, prefer bool) uint64 {
	hash := xxhash.Sum64String(subject+"\x00"+string(vm)) &^ preferred
	if prefer {
		return hash | preferred
	}
	return hash
}
