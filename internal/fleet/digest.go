package fleet

import (
	"time"

	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// ageUnit is the unit of ages in digests; an age of one byte covers more than the time for which proxies count as live.
const ageUnit = 50 * time.Millisecond

// Bits of a proxy's state in digests.
const (
	stateLeaving      = 1
	stateStoreReached = 2
)

func encodeDigest(digest roster.Digest) *wire.LiveDigest {
	return &wire.LiveDigest{
		Scope: uint32(digest.Scope), Hash: digest.Hash, AgeNanos: int64(digest.Age), Domains: encodeEntries(digest.Entries),
	}
}

func encodeEntries(entries []roster.Entry) []*wire.DomainDigest {
	domains := map[spool.Domain]*wire.DomainDigest{}
	var list []*wire.DomainDigest
	for _, entry := range entries {
		domain := domains[entry.Domain]
		if domain == nil {
			domain = &wire.DomainDigest{Domain: string(entry.Domain)}
			domains[entry.Domain] = domain
			list = append(list, domain)
		}
		state := byte(0)
		if entry.Leaving {
			state |= stateLeaving
		}
		if entry.StoreReached {
			state |= stateStoreReached
		}
		domain.Hashes = append(domain.Hashes, entry.Hash)
		domain.Ages = append(domain.Ages, byte(min((entry.Age+ageUnit-1)/ageUnit, 255)))
		domain.States = append(domain.States, state)
	}
	return list
}

func decodeDigest(digest *wire.LiveDigest) roster.Digest {
	return roster.Digest{
		Scope: roster.Scope(digest.Scope), Hash: digest.Hash, Age: time.Duration(max(0, digest.AgeNanos)),
		Entries: decodeEntries(digest.Domains),
	}
}

// decodeEntries skips entries that lack a hash, an age or a state.
func decodeEntries(domains []*wire.DomainDigest) []roster.Entry {
	var entries []roster.Entry
	for _, domain := range domains {
		count := min(len(domain.Hashes), len(domain.Ages), len(domain.States))
		for i := range count {
			entries = append(entries, roster.Entry{
				ID:      roster.ID{Domain: spool.Domain(domain.Domain), Hash: domain.Hashes[i]},
				Age:     time.Duration(domain.Ages[i]) * ageUnit,
				Leaving: domain.States[i]&stateLeaving != 0, StoreReached: domain.States[i]&stateStoreReached != 0,
			})
		}
	}
	return entries
}

// answerDigest answers a heartbeat that requests a digest. A sender that relays without being among the first of its
// failure domain is asked for a digest in return, since only it receives the heartbeats of some proxies.
func (peers *peers) answerDigest(to spool.VM, heartbeat *wire.Pulse, first bool, now spool.Instant) {
	digest := peers.proxy.members.digest(to, roster.Scope(heartbeat.AskedScope), heartbeat.AskedHash, now)
	answer := peers.newHeartbeat(to, now)
	answer.Digest = encodeDigest(digest)
	if first {
		peers.addIdentity(answer)
	}
	if heartbeat.Relaying && heartbeat.Digest == nil {
		answer.AskedScope = uint32(roster.ScopeDomain) // without a hash, so that the answer has the age of each proxy
	}
	peers.sendHeartbeat(to, answer)
}

func (peers *peers) sendMembers(to spool.VM, members []spool.Member) {
	answer := &wire.MemberAnswer{}
	for _, member := range members {
		answer.Members = append(answer.Members, &wire.MemberInfo{
			VM: string(member.VM), Domain: string(member.Domain), Address: member.Address, Capacity: member.Capacity,
		})
	}
	peers.transport.Send(to, &wire.Envelope{Body: &wire.Envelope_MemberAnswer{MemberAnswer: answer}})
}

// tellMembers tells the relays of some failure domains which proxies are registered there, so that they ask all of them next time.
func (peers *peers) tellMembers(relays []spool.VM, domains map[spool.Domain]bool) {
	for _, relay := range relays {
		if domain, _ := peers.proxy.members.locate(relay); domains[domain] {
			peers.sendMembers(relay, peers.proxy.members.inDomain(domain))
		}
	}
}

func (peers *peers) applyMembers(answer *wire.MemberAnswer) {
	added := make([]spool.Member, 0, len(answer.Members))
	for _, member := range answer.Members {
		added = append(added, spool.Member{
			VM: spool.VM(member.VM), Domain: spool.Domain(member.Domain), Address: member.Address, Capacity: member.Capacity,
		})
	}
	peers.proxy.members.addMembers(added...)
}
