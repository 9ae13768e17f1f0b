package fleet

import (
	"time"

	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// address returns where a proxy listens for others.
func (members *members) address(vm spool.VM) (string, bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	if member == nil {
		return "", false
	}
	return member.Address, true
}

// liveMembers returns the proxies that were heard lately.
func (members *members) liveMembers() []roster.Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var live []roster.Member
	for _, member := range members.roster.Live(members.proxy.timers.Now()) {
		live = append(live, *member)
	}
	return live
}

// supervises tells if this proxy looks after a subject; proxies of preferred failure domains come first.
func (members *members) supervises(subject string, prefer func(domain spool.Domain) bool) bool {
	fit := members.proxy.fit() // before the lock, as in collect
	members.mutex.Lock()
	defer members.mutex.Unlock()
	own := members.proxy.settings.Domain
	return members.roster.Supervises(subject, own, prefer, fit, members.proxy.timers.Now())
}

// homes returns the live proxies of a failure domain's region that come first for a subject, down to this one.
func (members *members) homes(
	subject string, domain spool.Domain, skip func(vm spool.VM, now spool.Instant) bool,
) []spool.VM {
	settings := &members.proxy.settings
	region := settings.Regions[domain]
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.proxy.timers.Now()
	return members.roster.TopRanked(subject, teamHomes, region == settings.Region, func(member *roster.Member) bool {
		return settings.Regions[member.Domain] == region && !skip(member.VM, now)
	}, now)
}

// near tells if a proxy is in this one's region.
func (members *members) near(vm spool.VM) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	return member != nil && members.roster.SameRegion(member)
}

// nearby counts the live proxies of the region, this one among them.
func (members *members) nearby() int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.LiveInRegion(members.proxy.timers.Now())
}

// all returns all other registered proxies.
func (members *members) all() []roster.Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var all []roster.Member
	for _, member := range members.roster.Others() {
		all = append(all, *member)
	}
	return all
}

// links returns the heartbeats that are due in a round.
func (members *members) links(beat uint64, introducing bool, now spool.Instant) (links []roster.HeartbeatTarget, relaying bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.HeartbeatTargets(beat, introducing, now), members.roster.IsFallbackRelay(now)
}

// passing returns the proxies that are told of news at once, and pass them on.
func (members *members) passing(now spool.Instant) []spool.VM {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.GossipTargets(now)
}

// size returns the number of registered proxies, this one counted.
func (members *members) size() int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Size()
}

// relayed tells if relays pass heartbeats on.
func (members *members) relayed() bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.UsesRelays()
}

// settleTime returns how long a proxy that starts has to listen before it has heard the other live ones.
func (members *members) settleTime() time.Duration {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.SettleTime()
}

// setSelf notes what heartbeats tell of this proxy and returns how many proxies are known.
func (members *members) setSelf(leaving, storeReached bool) (size int) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.roster.SetSelfState(leaving, storeReached)
	return members.roster.Size()
}

// digest answers a proxy that asked for one.
func (members *members) digest(to spool.VM, scope roster.Scope, hash uint64, now spool.Instant) roster.Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.roster.RecordDigestRequest(to, now)
	return members.roster.Digest(to, scope, hash, now)
}

// apply takes over a digest and returns the proxies in it that are not known.
func (members *members) apply(from spool.VM, digest *wire.LiveDigest, sent, now spool.Instant) []roster.ID {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Apply(from, decodeDigest(digest), sent, now)
}

// named returns the proxies that a request names.
func (members *members) named(entries []roster.Entry) []spool.Member {
	ids := make([]roster.ID, 0, len(entries))
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.MembersByID(ids)
}

// domainRelays returns the relays of all failure domains but this proxy itself, and how many proxies are registered in each.
func (members *members) domainRelays() (relays []spool.VM, domains map[spool.Domain]int) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	domains = map[spool.Domain]int{members.proxy.settings.Domain: 1}
	for _, member := range members.roster.Others() {
		domains[member.Domain]++
	}
	return members.roster.DomainRelays(members.proxy.timers.Now()), domains
}

// inDomain returns the other registered proxies of this one's failure domain and how many of them live.
func (members *members) inDomain() (vms []spool.VM, live int) {
	now := members.proxy.timers.Now()
	members.mutex.Lock()
	defer members.mutex.Unlock()
	own := members.proxy.settings.Domain
	for _, member := range members.roster.Others() {
		if member.Domain == own {
			vms = append(vms, member.VM)
		}
	}
	for _, member := range members.roster.Live(now) {
		if member.Domain == own {
			live++
		}
	}
	return vms, live
}

// heard notes a heartbeat that was sent no earlier than an instant, and tells if it is the first of its sender, who joins the
// fleet if it is new.
func (members *members) heard(from spool.VM, pulse *wire.Pulse, sent spool.Instant) (first bool) {
	if pulse.Address != "" {
		members.add(spool.Member{VM: from, Domain: spool.Domain(pulse.Domain), Address: pulse.Address})
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.RecordHeartbeat(from, sent, pulse.Leaving, pulse.StoreReached)
}
