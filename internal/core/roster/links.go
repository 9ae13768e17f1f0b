package roster

import (
	"math"
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// MeshLimit is the largest fleet in which every proxy sends heartbeats to every other one. In a larger one they go to
	// relays of the own failure domain, which answer with what they know of all.
	MeshLimit = 32
	// RoundInterval is the time between rounds of heartbeats; not everyone is due in each.
	RoundInterval = 250 * time.Millisecond

	relaysPerDomain = 2
	nearBeats       = uint64(nearPeriod / RoundInterval)
	farBeats        = uint64(farPeriod / RoundInterval)
	farRelayBeats   = farBeats / 2            // between relays of different regions, so that two hops more stay within farLiveFor
	fleetBeats      = 4 * nearBeats           // between digests of the whole fleet that a proxy asks its relay for
	relayTrial      = 1500 * time.Millisecond // without an answer, after which another relay is taken
	relayRest       = 5 * time.Second         // between trials of a relay that did not answer
	firstTrial      = 3 * time.Second         // after a registration is learned: the proxy may live though nothing was heard of it
)

// HeartbeatTarget is a proxy to which a heartbeat is due and the digest that it is asked for.
type HeartbeatTarget struct {
	VM    spool.VM
	Scope Scope
	Hash  uint64 // of the live proxies that this one knows in the scope
}

// link is what is known of the heartbeats between this proxy and another one.
type link struct {
	asked   spool.Instant // when the oldest heartbeat without an answer was sent; zero if all were answered
	shunned spool.Instant // when it failed to answer as relay and has to be tried before it is one again; zero if it has not
	wanted  spool.Instant // when the other one last asked for a digest
}

// HeartbeatTargets returns the proxies to which a heartbeat is due in a round; a proxy that introduces itself is due to more.
func (roster *Roster) HeartbeatTargets(beat uint64, introducing bool, now spool.Instant) []HeartbeatTarget {
	if roster.UsesRelays() {
		return roster.relayLinks(beat, now)
	}
	if beat%nearBeats != 0 {
		return nil
	}
	var links []HeartbeatTarget
	for i, member := range roster.Others() {
		if introducing || roster.SameRegion(member) || (beat/nearBeats+uint64(i))%(farBeats/nearBeats) == 0 {
			links = append(links, HeartbeatTarget{VM: member.VM})
		}
	}
	return links
}

// relayLinks returns the relays to which a heartbeat is due.
func (roster *Roster) relayLinks(beat uint64, now spool.Instant) []HeartbeatTarget {
	roster.shun(now)
	relays := roster.best(relaysPerDomain, now, func(*Member) bool { return true })
	links := roster.trials(now)
	if !slices.Contains(relays, &roster.self) {
		if beat%nearBeats == 0 || roster.listened(now) {
			for _, relay := range relays {
				links = append(links, roster.ask(relay, scopeAt(beat), now))
			}
		}
		return links
	}
	for _, relay := range relays {
		if relay != &roster.self {
			links = append(links, roster.ask(relay, scopeAt(beat), now))
		}
	}
	return append(links, roster.domainLinks(beat, now)...)
}

// domainLinks returns the relays of other failure domains to which a heartbeat of this relay is due.
func (roster *Roster) domainLinks(beat uint64, now spool.Instant) []HeartbeatTarget {
	var links []HeartbeatTarget
	for _, domain := range roster.domains() {
		if !roster.near(domain) && beat%farRelayBeats != 0 {
			continue
		}
		for _, relay := range roster.best(relaysPerDomain, now, func(member *Member) bool { return member.Domain == domain }) {
			links = append(links, roster.ask(relay, ScopeDomain, now))
		}
	}
	return links
}

// scopeAt returns the scope of the digest that a proxy asks its relays for in a round.
func scopeAt(beat uint64) Scope {
	if beat%fleetBeats == 0 {
		return ScopeFleet
	}
	return ScopeRegion
}

func (roster *Roster) ask(relay *Member, scope Scope, now spool.Instant) HeartbeatTarget {
	if relay.link.asked == 0 {
		relay.link.asked = now
	}
	if scope == ScopeRegion && !roster.SameRegion(relay) {
		scope = ScopeFleet // the relay's region is another one
	}
	return HeartbeatTarget{VM: relay.VM, Scope: scope, Hash: roster.LiveHash(scope, relay, now)}
}

// trials returns the relays that did not answer and are live, as others say, when it is time to try them again.
func (roster *Roster) trials(now spool.Instant) []HeartbeatTarget {
	var links []HeartbeatTarget
	for _, member := range roster.members {
		shunned := member.link.shunned
		if shunned != 0 && now.Sub(shunned) > relayRest && member.link.asked == 0 && roster.live(member, now) {
			links = append(links, roster.ask(member, ScopeRegion, now))
		}
	}
	return links
}

// shun passes over the relays that did not answer for a while.
func (roster *Roster) shun(now spool.Instant) {
	for _, member := range roster.members {
		if member.link.asked != 0 && now.Sub(member.link.asked) > relayTrial {
			member.link = link{shunned: now, wanted: member.link.wanted}
		}
	}
}

// relayRank orders candidates for relays: usable ones first, then those of this proxy's failure domain, then its region's.
// Those that failed to answer take turns.
type relayRank struct {
	usable, near int
	weight       uint64
}

func (left relayRank) before(right relayRank) bool {
	if left.usable != right.usable {
		return left.usable > right.usable
	}
	if left.near != right.near {
		return left.near > right.near
	}
	return left.weight > right.weight
}

// best returns the first proxies of a kind by their rank as relays, this one among them if it is of the kind.
func (roster *Roster) best(most int, now spool.Instant, kind func(member *Member) bool) []*Member {
	type candidate struct {
		member *Member
		rank   relayRank
	}
	var first []candidate
	consider := func(member *Member) {
		if !kind(member) {
			return
		}
		added := candidate{member, roster.relayRank(member, now)}
		place := len(first)
		for place > 0 && added.rank.before(first[place-1].rank) {
			place--
		}
		first = slices.Insert(first, place, added)
		first = first[:min(len(first), most)]
	}
	consider(&roster.self)
	for _, member := range roster.members {
		consider(member)
	}
	members := make([]*Member, 0, len(first))
	for _, candidate := range first {
		members = append(members, candidate.member)
	}
	return members
}

var relaySubject = rank.Hash("relay")

func (roster *Roster) relayRank(member *Member, now spool.Instant) relayRank {
	ranked := relayRank{weight: rank.CombineHashes(relaySubject, member.hash)}
	switch {
	case member.Domain == roster.self.Domain:
		ranked.near = 2
	case roster.SameRegion(member):
		ranked.near = 1
	}
	switch {
	case member.link.shunned != 0:
		ranked.weight = math.MaxUint64 - uint64(member.link.shunned)
	case member == &roster.self && !member.Leaving, !member.Leaving && roster.live(member, now),
		member.LastHeard == 0 && now.Sub(member.AddedAt) < firstTrial:
		ranked.usable = 2
	default:
		ranked.usable = 1 // it may be back
	}
	return ranked
}

// RecordHeartbeat notes a heartbeat that came straight from a proxy, sent no earlier than an instant; first tells that none came before.
func (roster *Roster) RecordHeartbeat(from spool.VM, sent spool.Instant, leaving, storeReached bool) (first bool) {
	member := roster.members[from]
	if member == nil {
		return false
	}
	first = member.LastHeard == 0
	member.link.asked, member.link.shunned = 0, 0
	member.hear(sent, leaving, storeReached)
	return first
}

// GossipTargets returns the proxies that are told of news at once: in a small fleet all, in a large one the relays and those that
// asked this one for a digest of late. They pass on what is news to them.
func (roster *Roster) GossipTargets(now spool.Instant) []spool.VM {
	if !roster.UsesRelays() {
		return roster.names(func(*Member) bool { return true })
	}
	first := roster.best(relaysPerDomain, now, func(*Member) bool { return true })
	domains := []*Member{}
	if slices.Contains(first, &roster.self) {
		for _, domain := range roster.domains() {
			domains = append(domains, roster.best(relaysPerDomain, now, func(member *Member) bool { return member.Domain == domain })...)
		}
	}
	return roster.names(func(member *Member) bool {
		return slices.Contains(first, member) || slices.Contains(domains, member) || member.listens(now)
	})
}

// DomainRelays returns the relays of all failure domains, this proxy's own among them but not itself.
func (roster *Roster) DomainRelays(now spool.Instant) []spool.VM {
	var relays []spool.VM
	for _, domain := range append(roster.domains(), roster.self.Domain) {
		of := func(member *Member) bool { return member.Domain == domain }
		for _, relay := range roster.best(relaysPerDomain, now, of) {
			if relay != &roster.self {
				relays = append(relays, relay.VM)
			}
		}
	}
	return relays
}

// IsFallbackRelay tells if proxies ask this one for digests though it is not among the first relays of its failure domain.
func (roster *Roster) IsFallbackRelay(now spool.Instant) bool {
	if !roster.UsesRelays() || !roster.listened(now) {
		return false
	}
	return !slices.Contains(roster.best(relaysPerDomain, now, func(*Member) bool { return true }), &roster.self)
}

// listened tells if a proxy asked this one for a digest of late.
func (roster *Roster) listened(now spool.Instant) bool {
	for _, member := range roster.members {
		if member.listens(now) {
			return true
		}
	}
	return false
}

func (member *Member) listens(now spool.Instant) bool {
	return member.link.wanted != 0 && now.Sub(member.link.wanted) < relayTrial
}

func (roster *Roster) names(keep func(member *Member) bool) []spool.VM {
	var names []spool.VM
	for vm, member := range roster.members {
		if keep(member) {
			names = append(names, vm)
		}
	}
	slices.Sort(names)
	return names
}

// domains returns the other failure domains.
func (roster *Roster) domains() []spool.Domain {
	var domains []spool.Domain
	for _, member := range roster.members {
		if member.Domain != roster.self.Domain && member.Domain != "" && !slices.Contains(domains, member.Domain) {
			domains = append(domains, member.Domain)
		}
	}
	return domains
}
