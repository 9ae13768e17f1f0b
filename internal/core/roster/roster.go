package roster

import (
	"cmp"
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

const (
	localPeriod  = 500 * time.Millisecond // between heartbeats within a region
	remotePeriod = 2 * time.Second        // between heartbeats to other regions, where bandwidth is expensive
	// localTimeout is how long a proxy of the region counts as live after a heartbeat that was received directly from it.
	localTimeout = 3 * localPeriod
	// relayedTimeout replaces localTimeout where relays forward heartbeats: the periods add up to 1.25 s, and one may be lost.
	relayedTimeout = 2 * time.Second
	// remoteTimeout is the timeout for a proxy of another region.
	remoteTimeout = 3 * remotePeriod
	// registrationTimeout is how long a proxy must be silent before its registration is removed; outages and restarts are shorter.
	registrationTimeout = 20 * time.Second
)

// Member is another proxy and what this one knows of it.
type Member struct {
	spool.Member
	LastHeard    spool.Instant // lower bound of the time its newest known heartbeat was sent; zero if none is known
	AddedAt      spool.Instant
	StoreReached bool

	hash     uint64 // of its name
	exchange exchange
}

// Roster holds the registered proxies other than this one.
type Roster struct {
	self     Member
	inRegion func(domain spool.Domain) bool
	members  map[spool.VM]*Member
	version  uint64
}

// New returns a roster without other proxies; inRegion reports whether a failure domain is in this proxy's region.
func New(self spool.Member, inRegion func(domain spool.Domain) bool) *Roster {
	return &Roster{
		self: Member{Member: self, hash: rank.Hash(string(self.VM))}, inRegion: inRegion, members: map[spool.VM]*Member{},
	}
}

// SetSelfState sets the state that this proxy reports about itself.
func (roster *Roster) SetSelfState(leaving, storeReached bool) {
	roster.self.Leaving, roster.self.StoreReached = leaving, storeReached
}

// UsesRelays reports whether the fleet exceeds MeshLimit, so that relays forward heartbeats.
func (roster *Roster) UsesRelays() bool { return roster.Size() > MeshLimit }

// SettleTime returns how long a proxy must listen after its start until it has heard of the other live ones.
func (roster *Roster) SettleTime() time.Duration {
	if roster.UsesRelays() {
		return relayedTimeout + localPeriod
	}
	return localTimeout
}

// SameRegion reports whether a proxy is in this one's region.
func (roster *Roster) SameRegion(member *Member) bool { return roster.inRegion(member.Domain) }

// LiveInRegion returns the number of live proxies of the region, including this one.
func (roster *Roster) LiveInRegion(now spool.Instant) int {
	count := 1
	for _, member := range roster.members {
		if roster.SameRegion(member) && roster.live(member, now) {
			count++
		}
	}
	return count
}

// Add registers a proxy and reports whether it is new or its address, failure domain or capacity changed.
func (roster *Roster) Add(member spool.Member, now spool.Instant) bool {
	if member.VM == roster.self.VM || member.VM == "" {
		return false
	}
	known := roster.members[member.VM]
	if known == nil {
		roster.members[member.VM] = &Member{Member: member, AddedAt: now, hash: rank.Hash(string(member.VM))}
		roster.version++
		return true
	}
	if member.Domain == "" {
		member.Domain = known.Domain // a seed's address is known before its failure domain
	}
	if member.Capacity == 0 {
		member.Capacity = known.Capacity // a proxy of an older version does not pass it on
	}
	moved := known.Address != member.Address || known.Domain != member.Domain
	if moved {
		roster.version++
	}
	changed := moved || known.Capacity != member.Capacity
	known.Address, known.Domain, known.Capacity = member.Address, member.Domain, member.Capacity
	return changed
}

// Version returns a number that increases with each member that is added or has moved.
func (roster *Roster) Version() uint64 { return roster.version }

// RemoveUnregistered removes the proxies that are neither registered nor live.
func (roster *Roster) RemoveUnregistered(registered map[spool.VM]bool, now spool.Instant) {
	for vm, member := range roster.members {
		if !registered[vm] && !roster.live(member, now) {
			delete(roster.members, vm)
		}
	}
}

// Get returns a proxy, or nil if it is unknown.
func (roster *Roster) Get(vm spool.VM) *Member { return roster.members[vm] }

// Size returns the number of registered proxies, including this one.
func (roster *Roster) Size() int { return len(roster.members) + 1 }

// Domains returns the failure domains of all registered proxies, ordered by the names of the proxies, and this one's index.
func (roster *Roster) Domains(ownDomain spool.Domain) (domains []spool.Domain, self int) {
	for _, member := range roster.Others() {
		if member.VM < roster.self.VM {
			self++
		}
		domains = append(domains, member.Domain)
	}
	return slices.Insert(domains, self, ownDomain), self
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

// Live returns the other live proxies, ordered by name.
func (roster *Roster) Live(now spool.Instant) []*Member {
	return slices.DeleteFunc(roster.Others(), func(member *Member) bool { return !roster.live(member, now) })
}

func (roster *Roster) live(member *Member, now spool.Instant) bool {
	return member.LastHeard != 0 && now.Sub(member.LastHeard) < roster.timeout(member)
}

// timeout returns how long a proxy counts as live after a heartbeat.
func (roster *Roster) timeout(member *Member) time.Duration {
	switch {
	case !roster.SameRegion(member):
		return remoteTimeout
	case roster.UsesRelays():
		return relayedTimeout
	}
	return localTimeout
}

// update records the state in a heartbeat unless a newer heartbeat is known.
func (member *Member) update(sent spool.Instant, leaving, storeReached bool) {
	if sent < member.LastHeard {
		return
	}
	member.LastHeard, member.Leaving, member.StoreReached = sent, leaving, storeReached
}

// Expired returns the proxies whose registration is to be removed since they were silent for registrationTimeout.
func (roster *Roster) Expired(now spool.Instant) []spool.VM {
	var vms []spool.VM
	for vm, member := range roster.members {
		if now.Sub(max(member.LastHeard, member.AddedAt)) > registrationTimeout {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// Supervises reports whether this proxy supervises a subject: it is the first in the subject's rendezvous order of the live
// proxies that reach the store. Proxies of preferred failure domains come before all others.
func (roster *Roster) Supervises(
	subject string, ownDomain spool.Domain, preferred func(domain spool.Domain) bool, selfEligible bool, now spool.Instant,
) bool {
	if !selfEligible {
		return false
	}
	hash := rank.Hash(subject)
	ownWeight := weight(hash, &roster.self, preferred(ownDomain))
	for _, member := range roster.members {
		if member.Leaving || !member.StoreReached || weight(hash, member, preferred(member.Domain)) <= ownWeight {
			continue
		}
		if roster.live(member, now) {
			return false
		}
	}
	return true
}

// TopRanked returns up to limit eligible live proxies in the subject's rendezvous order. If this proxy is eligible, only those
// that rank before it are returned.
func (roster *Roster) TopRanked(
	subject string, limit int, selfEligible bool, eligible func(member *Member) bool, now spool.Instant,
) []spool.VM {
	type rankedVM struct {
		vm     spool.VM
		weight uint64
	}
	hash, ownWeight := rank.Hash(subject), uint64(0)
	if selfEligible {
		ownWeight = weight(hash, &roster.self, false)
	}
	var candidates []rankedVM
	for vm, member := range roster.members {
		if member.Leaving || !roster.live(member, now) || !eligible(member) {
			continue
		}
		if candidate := (rankedVM{vm, weight(hash, member, false)}); candidate.weight >= ownWeight {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortFunc(candidates, func(left, right rankedVM) int { return cmp.Compare(right.weight, left.weight) })
	candidates = candidates[:min(len(candidates), limit)]
	vms := make([]spool.VM, 0, len(candidates))
	for _, candidate := range candidates {
		vms = append(vms, candidate.vm)
	}
	return vms
}

// preferredBit is set in the weights of preferred proxies, which puts them before all others.
const preferredBit = 1 << 63

func weight(subject uint64, member *Member, preferred bool) uint64 {
	// The hash's highest bit is shifted out, so that VMs of equal capacity rank as they did before capacities were known.
	weight := rank.Weighted(rank.CombineHashes(subject, member.hash)<<1, member.Capacity)
	if preferred {
		return weight | preferredBit
	}
	return weight
}
