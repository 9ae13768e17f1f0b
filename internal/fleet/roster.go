package fleet

import (
	"time"

	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// address returns the address on which a proxy listens for other proxies, and false if the proxy is not registered.
func (members *members) address(vm spool.VM) (string, bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	if member == nil {
		return "", false
	}
	return member.Address, true
}

// liveMembers returns the other proxies with a recent heartbeat.
func (members *members) liveMembers() []roster.Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var live []roster.Member
	for _, member := range members.roster.Live(members.proxy.timers.Now()) {
		live = append(live, *member)
	}
	return live
}

// supervises reports whether this proxy supervises a subject; proxies in preferred failure domains rank first.
func (members *members) supervises(subject string, prefer func(domain spool.Domain) bool) bool {
	eligible := members.proxy.eligible() // before locking members, as in removeGone
	members.mutex.Lock()
	defer members.mutex.Unlock()
	own := members.proxy.settings.Domain
	return members.roster.Supervises(subject, own, prefer, eligible, members.proxy.timers.Now())
}

// topRanked returns the live proxies in the region of a failure domain that rank first for a subject; if this proxy is one
// of them, only those that rank higher.
func (members *members) topRanked(
	subject string, domain spool.Domain, skip func(vm spool.VM, now spool.Instant) bool,
) []spool.VM {
	settings := &members.proxy.settings
	region := settings.Regions[domain]
	members.mutex.Lock()
	defer members.mutex.Unlock()
	now := members.proxy.timers.Now()
	return members.roster.TopRanked(subject, maxRanked, region == settings.Region, func(member *roster.Member) bool {
		return settings.Regions[member.Domain] == region && !skip(member.VM, now)
	}, now)
}

// inRegion reports whether a proxy is in this one's region.
func (members *members) inRegion(vm spool.VM) bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	member := members.roster.Get(vm)
	return member != nil && members.roster.SameRegion(member)
}

// liveInRegion returns the number of live proxies in the region, including this one.
func (members *members) liveInRegion() int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.LiveInRegion(members.proxy.timers.Now())
}

// others returns all other registered proxies.
func (members *members) others() []roster.Member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	var all []roster.Member
	for _, member := range members.roster.Others() {
		all = append(all, *member)
	}
	return all
}

// heartbeatTargets returns the proxies to which a heartbeat is due in a round, and whether this proxy is a fallback relay.
func (members *members) heartbeatTargets(
	round uint64, introducing bool, now spool.Instant,
) (targets []roster.HeartbeatTarget, relaying bool) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.HeartbeatTargets(round, introducing, now), members.roster.IsFallbackRelay(now)
}

// gossipTargets returns the proxies that get updates at once and forward them.
func (members *members) gossipTargets(now spool.Instant) []spool.VM {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.GossipTargets(now)
}

// size returns the number of registered proxies, including this one.
func (members *members) size() int {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Size()
}

// relayed reports whether the fleet is large enough for relays to forward heartbeats.
func (members *members) relayed() bool {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.UsesRelays()
}

// settleTime returns how long a starting proxy has to listen to receive a heartbeat of every other live proxy.
func (members *members) settleTime() time.Duration {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.SettleTime()
}

// setSelf sets the state of this proxy in heartbeats and returns the number of known proxies.
func (members *members) setSelf(leaving, storeReached bool) (size int) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.roster.SetSelfState(leaving, storeReached)
	return members.roster.Size()
}

// digest returns the digest that a proxy requested.
func (members *members) digest(to spool.VM, scope roster.Scope, hash uint64, now spool.Instant) roster.Digest {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	members.roster.RecordDigestRequest(to, now)
	return members.roster.Digest(to, scope, hash, now)
}

// apply applies a digest and returns the IDs in it that are not known.
func (members *members) apply(from spool.VM, digest *wire.LiveDigest, sent, now spool.Instant) []roster.ID {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.Apply(from, decodeDigest(digest), sent, now)
}

// lookUp returns the members with the IDs of some entries.
func (members *members) lookUp(entries []roster.Entry) []spool.Member {
	ids := make([]roster.ID, 0, len(entries))
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.MembersByID(ids)
}

// domainRelays returns the relays of all failure domains except this proxy, and the number of proxies registered in each.
func (members *members) domainRelays() (relays []spool.VM, domains map[spool.Domain]int) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	domains = map[spool.Domain]int{members.proxy.settings.Domain: 1}
	for _, member := range members.roster.Others() {
		domains[member.Domain]++
	}
	return members.roster.DomainRelays(members.proxy.timers.Now()), domains
}

// inDomain returns the registered proxies of a failure domain, except this one.
func (members *members) inDomain(domain spool.Domain) (found []spool.Member) {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	for _, member := range members.roster.Others() {
		if member.Domain == domain {
			found = append(found, member.Member)
		}
	}
	return found
}

// domainMembers returns the other registered proxies in this one's failure domain and the number of live ones.
func (members *members) domainMembers() (vms []spool.VM, live int) {
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

// recordHeartbeat records a heartbeat that was sent no earlier than an instant, adds its sender to the fleet if it is new, and
// reports whether it is the sender's first.
func (members *members) recordHeartbeat(from spool.VM, heartbeat *wire.Pulse, sent spool.Instant) (first bool) {
	if heartbeat.Address != "" {
		members.addMembers(spool.Member{
			VM: from, Domain: spool.Domain(heartbeat.Domain), Address: heartbeat.Address, Capacity: heartbeat.Capacity,
		})
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.roster.RecordHeartbeat(from, sent, heartbeat.Leaving, heartbeat.StoreReached)
}
