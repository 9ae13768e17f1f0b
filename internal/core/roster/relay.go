package roster

import (
	"math"
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// MeshLimit is the largest fleet in which every proxy sends heartbeats to every other one. In a larger fleet,
	// heartbeats go to relays of the sender's failure domain, which answer with digests of the fleet.
	MeshLimit = 32
	// RoundInterval is the time between rounds of heartbeats; a round covers only the targets that are due in it.
	RoundInterval = 250 * time.Millisecond

	relaysPerDomain    = 2
	localRounds        = uint64(localPeriod / RoundInterval)
	remoteRounds       = uint64(remotePeriod / RoundInterval)
	remoteRelayRounds  = remoteRounds / 2        // between relays of different regions; two more hops must fit into remoteTimeout
	fleetDigestRounds  = 4 * localRounds         // between requests to a relay for a digest of the whole fleet
	relayAnswerTimeout = 1500 * time.Millisecond // without an answer, after which another relay is chosen
	relayRetryInterval = 5 * time.Second         // between heartbeats to a relay that did not answer
	newMemberGrace     = 3 * time.Second         // after a registration is learned: the proxy may be live before its first heartbeat arrives
)

// HeartbeatTarget is a proxy to which a heartbeat is due, and the digest that the heartbeat requests.
type HeartbeatTarget struct {
	VM    spool.VM
	Scope Scope
	Hash  uint64 // hash of the proxies in the scope that this one considers live
}

// exchange is the state of the heartbeats between this proxy and another one.
type exchange struct {
	unansweredSince spool.Instant // when the oldest heartbeat without an answer was sent; zero if all were answered
	failedAt        spool.Instant // when it failed to answer as relay, so that it ranks last until it answers; zero if it did not fail
	requestedAt     spool.Instant // when the other proxy last requested a digest
}

// HeartbeatTargets returns the proxies to which a heartbeat is due in a round. In a full mesh, a proxy that introduces itself
// sends to all others.
func (roster *Roster) HeartbeatTargets(round uint64, introducing bool, now spool.Instant) []HeartbeatTarget {
	if roster.UsesRelays() {
		return roster.relayTargets(round, now)
	}
	if round%localRounds != 0 {
		return nil
	}
	var targets []HeartbeatTarget
	for i, member := range roster.Others() {
		if introducing || roster.SameRegion(member) || (round/localRounds+uint64(i))%(remoteRounds/localRounds) == 0 {
			targets = append(targets, HeartbeatTarget{VM: member.VM})
		}
	}
	return targets
}

// relayTargets returns the relays to which a heartbeat is due.
func (roster *Roster) relayTargets(round uint64, now spool.Instant) []HeartbeatTarget {
	roster.markUnresponsive(now)
	relays := roster.topRelays(relaysPerDomain, now, func(*Member) bool { return true })
	targets := roster.retryTargets(now)
	if !slices.Contains(relays, &roster.self) {
		if round%localRounds == 0 || roster.servesDigests(now) {
			for _, relay := range relays {
				targets = append(targets, roster.targetFor(relay, digestScope(round), now))
			}
		}
		return targets
	}
	for _, relay := range relays {
		if relay != &roster.self {
			targets = append(targets, roster.targetFor(relay, digestScope(round), now))
		}
	}
	return append(targets, roster.domainTargets(round, now)...)
}

// domainTargets returns the relays of other failure domains to which a heartbeat of this relay is due.
func (roster *Roster) domainTargets(round uint64, now spool.Instant) []HeartbeatTarget {
	var targets []HeartbeatTarget
	for _, domain := range roster.otherDomains() {
		if !roster.inRegion(domain) && round%remoteRelayRounds != 0 {
			continue
		}
		for _, relay := range roster.topRelays(relaysPerDomain, now, func(member *Member) bool { return member.Domain == domain }) {
			targets = append(targets, roster.targetFor(relay, ScopeDomain, now))
		}
	}
	return targets
}

// digestScope returns the scope of the digest that a proxy requests from its relays in a round.
func digestScope(round uint64) Scope {
	if round%fleetDigestRounds == 0 {
		return ScopeFleet
	}
	return ScopeRegion
}

func (roster *Roster) targetFor(relay *Member, scope Scope, now spool.Instant) HeartbeatTarget {
	if relay.exchange.unansweredSince == 0 {
		relay.exchange.unansweredSince = now
	}
	if scope == ScopeRegion && !roster.SameRegion(relay) {
		scope = ScopeFleet // the relay is in another region
	}
	return HeartbeatTarget{VM: relay.VM, Scope: scope, Hash: roster.LiveHash(scope, relay, now)}
}

// retryTargets returns the relays that failed to answer at least relayRetryInterval ago and are live according to digests.
func (roster *Roster) retryTargets(now spool.Instant) []HeartbeatTarget {
	var targets []HeartbeatTarget
	for _, member := range roster.members {
		failedAt := member.exchange.failedAt
		if failedAt != 0 && now.Sub(failedAt) > relayRetryInterval && member.exchange.unansweredSince == 0 && roster.live(member, now) {
			targets = append(targets, roster.targetFor(member, ScopeRegion, now))
		}
	}
	return targets
}

// markUnresponsive marks the relays that did not answer within relayAnswerTimeout as failed.
func (roster *Roster) markUnresponsive(now spool.Instant) {
	for _, member := range roster.members {
		if member.exchange.unansweredSince != 0 && now.Sub(member.exchange.unansweredSince) > relayAnswerTimeout {
			member.exchange = exchange{failedAt: now, requestedAt: member.exchange.requestedAt}
		}
	}
}

// relayRank orders candidates for relays: usable ones first, then those of this proxy's failure domain, then those of its
// region, then by weight. Of those that failed to answer, the one that failed first comes first, so they are tried in turn.
type relayRank struct {
	usable, proximity int
	weight            uint64
}

func (left relayRank) before(right relayRank) bool {
	if left.usable != right.usable {
		return left.usable > right.usable
	}
	if left.proximity != right.proximity {
		return left.proximity > right.proximity
	}
	return left.weight > right.weight
}

// topRelays returns up to limit eligible proxies in the order of their rank as relays; this proxy may be among them.
func (roster *Roster) topRelays(limit int, now spool.Instant, eligible func(member *Member) bool) []*Member {
	type candidate struct {
		member *Member
		rank   relayRank
	}
	var top []candidate
	consider := func(member *Member) {
		if !eligible(member) {
			return
		}
		added := candidate{member, roster.rankRelay(member, now)}
		index := len(top)
		for index > 0 && added.rank.before(top[index-1].rank) {
			index--
		}
		top = slices.Insert(top, index, added)
		top = top[:min(len(top), limit)]
	}
	consider(&roster.self)
	for _, member := range roster.members {
		consider(member)
	}
	members := make([]*Member, 0, len(top))
	for _, candidate := range top {
		members = append(members, candidate.member)
	}
	return members
}

var relaySubject = rank.Hash("relay")

func (roster *Roster) rankRelay(member *Member, now spool.Instant) relayRank {
	ranked := relayRank{weight: rank.Weighted(rank.CombineHashes(relaySubject, member.hash), member.Capacity)}
	switch {
	case member.Domain == roster.self.Domain:
		ranked.proximity = 2
	case roster.SameRegion(member):
		ranked.proximity = 1
	}
	switch {
	case member.exchange.failedAt != 0:
		ranked.weight = math.MaxUint64 - uint64(member.exchange.failedAt)
	case member == &roster.self && !member.Leaving, !member.Leaving && roster.live(member, now),
		member.LastHeard == 0 && now.Sub(member.AddedAt) < newMemberGrace:
		ranked.usable = 2
	default:
		ranked.usable = 1 // it may have recovered
	}
	return ranked
}

// RecordHeartbeat records a heartbeat that was received directly from a proxy and was sent no earlier than sent; first reports
// whether it is the first known heartbeat of that proxy.
func (roster *Roster) RecordHeartbeat(from spool.VM, sent spool.Instant, leaving, storeReached bool) (first bool) {
	member := roster.members[from]
	if member == nil {
		return false
	}
	first = member.LastHeard == 0
	member.exchange.unansweredSince, member.exchange.failedAt = 0, 0
	member.update(sent, leaving, storeReached)
	return first
}

// GossipTargets returns the proxies that updates are sent to at once: all in a small fleet, and in a large one the relays and
// the proxies that recently requested a digest from this one. Recipients forward updates that are new to them.
func (roster *Roster) GossipTargets(now spool.Instant) []spool.VM {
	if !roster.UsesRelays() {
		return roster.selectVMs(func(*Member) bool { return true })
	}
	relays := roster.topRelays(relaysPerDomain, now, func(*Member) bool { return true })
	domainRelays := []*Member{}
	if slices.Contains(relays, &roster.self) {
		for _, domain := range roster.otherDomains() {
			domainRelays = append(domainRelays, roster.topRelays(relaysPerDomain, now, func(member *Member) bool { return member.Domain == domain })...)
		}
	}
	return roster.selectVMs(func(member *Member) bool {
		return slices.Contains(relays, member) || slices.Contains(domainRelays, member) || member.requestsDigests(now)
	})
}

// DomainRelays returns the relays of all failure domains, including that of this proxy, without this proxy itself.
func (roster *Roster) DomainRelays(now spool.Instant) []spool.VM {
	var relays []spool.VM
	for _, domain := range append(roster.otherDomains(), roster.self.Domain) {
		inDomain := func(member *Member) bool { return member.Domain == domain }
		for _, relay := range roster.topRelays(relaysPerDomain, now, inDomain) {
			if relay != &roster.self {
				relays = append(relays, relay.VM)
			}
		}
	}
	return relays
}

// IsFallbackRelay reports whether proxies request digests from this one although it is not among the top relays of its
// failure domain.
func (roster *Roster) IsFallbackRelay(now spool.Instant) bool {
	if !roster.UsesRelays() || !roster.servesDigests(now) {
		return false
	}
	return !slices.Contains(roster.topRelays(relaysPerDomain, now, func(*Member) bool { return true }), &roster.self)
}

// servesDigests reports whether any proxy recently requested a digest from this one.
func (roster *Roster) servesDigests(now spool.Instant) bool {
	for _, member := range roster.members {
		if member.requestsDigests(now) {
			return true
		}
	}
	return false
}

func (member *Member) requestsDigests(now spool.Instant) bool {
	return member.exchange.requestedAt != 0 && now.Sub(member.exchange.requestedAt) < relayAnswerTimeout
}

func (roster *Roster) selectVMs(match func(member *Member) bool) []spool.VM {
	var vms []spool.VM
	for vm, member := range roster.members {
		if match(member) {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// otherDomains returns the failure domains of the other proxies, without that of this one.
func (roster *Roster) otherDomains() []spool.Domain {
	var domains []spool.Domain
	for _, member := range roster.members {
		if member.Domain != roster.self.Domain && member.Domain != "" && !slices.Contains(domains, member.Domain) {
			domains = append(domains, member.Domain)
		}
	}
	return domains
}
