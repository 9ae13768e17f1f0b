package roster

import (
	"cmp"
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

const (
	nearPeriod = 500 * time.Millisecond // between heartbeats within a region
	farPeriod  = 2 * time.Second        // between heartbeats to other regions, where bytes are dear
	// liveFor is how long a proxy of the region counts as live after a heartbeat that came straight from it.
	liveFor = 3 * nearPeriod
	// relayedLiveFor is the same where relays pass heartbeats on: their periods add up to 1.25 s, and one may be lost.
	relayedLiveFor = 2 * time.Second
	// farLiveFor is the same for a proxy of another region.
	farLiveFor = 3 * farPeriod
	// goneAfter is how long a proxy must be silent before its registration is removed: longer than outages and restarts.
	goneAfter = 20 * time.Second
)

// Member is a proxy as this one knows it.
type Member struct {
	spool.Member
	LastHeard    spool.Instant // no later than when its newest known heartbeat was sent; zero if none is known
	AddedAt      spool.Instant
	StoreReached bool

	hash uint64 // of its name
	link link
}

// Roster holds the registered proxies, this one left out.
type Roster struct {
	self    Member
	near    func(domain spool.Domain) bool
	members map[spool.VM]*Member
}

// New returns a roster without other proxies; near tells which failure domains are in this proxy's region.
func New(self spool.Member, near func(domain spool.Domain) bool) *Roster {
	return &Roster{
		self: Member{Member: self, hash: rank.Hash(string(self.VM))}, near: near, members: map[spool.VM]*Member{},
	}
}

// SetSelfState notes what this proxy tells others of itself.
func (roster *Roster) SetSelfState(leaving, storeReached bool) {
	roster.self.Leaving, roster.self.StoreReached = leaving, storeReached
}

// UsesRelays tells if the fleet is so large that relays pass heartbeats on.
func (roster *Roster) UsesRelays() bool { return roster.Size() > MeshLimit }

// SettleTime returns how long a proxy that starts has to listen before it has heard the other live ones.
func (roster *Roster) SettleTime() time.Duration {
	if roster.UsesRelays() {
		return relayedLiveFor + nearPeriod
	}
	return liveFor
}

// SameRegion tells if a proxy is in this one's region.
func (roster *Roster) SameRegion(member *Member) bool { return roster.near(member.Domain) }

// LiveInRegion counts the live proxies of the region, this one among them.
func (roster *Roster) LiveInRegion(now spool.Instant) int {
	count := 1
	for _, member := range roster.members {
		if roster.SameRegion(member) && roster.live(member, now) {
			count++
		}
	}
	return count
}

// Add registers a proxy and tells if it is new or moved.
func (roster *Roster) Add(member spool.Member, now spool.Instant) bool {
	if member.VM == roster.self.VM || member.VM == "" {
		return false
	}
	known := roster.members[member.VM]
	if known == nil {
		roster.members[member.VM] = &Member{Member: member, AddedAt: now, hash: rank.Hash(string(member.VM))}
		return true
	}
	if member.Domain == "" {
		member.Domain = known.Domain // a seed's address is known before its failure domain
	}
	moved := known.Address != member.Address || known.Domain != member.Domain
	known.Address, known.Domain = member.Address, member.Domain
	return moved
}

// RemoveUnregistered drops the proxies that are not registered any more, unless they were heard lately.
func (roster *Roster) RemoveUnregistered(registered map[spool.VM]bool, now spool.Instant) {
	for vm, member := range roster.members {
		if !registered[vm] && !roster.live(member, now) {
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
		if member.VM < roster.self.VM {
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
	return slices.DeleteFunc(roster.Others(), func(member *Member) bool { return !roster.live(member, now) })
}

func (roster *Roster) live(member *Member, now spool.Instant) bool {
	return member.LastHeard != 0 && now.Sub(member.LastHeard) < roster.life(member)
}

// life returns for how long a proxy counts as live after a heartbeat.
func (roster *Roster) life(member *Member) time.Duration {
	switch {
	case !roster.SameRegion(member):
		return farLiveFor
	case roster.UsesRelays():
		return relayedLiveFor
	}
	return liveFor
}

// hear notes a heartbeat of a proxy unless a newer one is known.
func (member *Member) hear(sent spool.Instant, leaving, storeReached bool) {
	if sent < member.LastHeard {
		return
	}
	member.LastHeard, member.Leaving, member.StoreReached = sent, leaving, storeReached
}

// Expired returns the proxies that were silent for so long that their registration is to be removed.
func (roster *Roster) Expired(now spool.Instant) []spool.VM {
	var gone []spool.VM
	for vm, member := range roster.members {
		if now.Sub(max(member.LastHeard, member.AddedAt)) > goneAfter {
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
	hash := rank.Hash(subject)
	least := weight(hash, roster.self.hash, prefer(own))
	for _, member := range roster.members {
		if weight(hash, member.hash, prefer(member.Domain)) <= least || member.Leaving || !member.StoreReached {
			continue
		}
		if roster.live(member, now) {
			return false
		}
	}
	return true
}

// TopRanked returns the fit live proxies that come first by a hash of the subject and their names, best first and at most so
// many; if this one is fit too, only those before it.
func (roster *Roster) TopRanked(
	subject string, most int, selfFit bool, fit func(member *Member) bool, now spool.Instant,
) []spool.VM {
	type home struct {
		vm     spool.VM
		weight uint64
	}
	hash, own := rank.Hash(subject), uint64(0)
	if selfFit {
		own = weight(hash, roster.self.hash, false)
	}
	var homes []home
	for vm, member := range roster.members {
		candidate := home{vm, weight(hash, member.hash, false)}
		if candidate.weight >= own && !member.Leaving && roster.live(member, now) && fit(member) {
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

func weight(subject, vm uint64, prefer bool) uint64 {
	weight := rank.CombineHashes(subject, vm) &^ preferred
	if prefer {
		return weight | preferred
	}
	return weight
}
