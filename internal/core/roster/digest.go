package roster

import (
	"time"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxDigestAge       = 1200 * time.Millisecond // a proxy with an older heartbeat is left out of the hash, so it is listed with its own age
	maxRemoteDigestAge = 3 * time.Second         // the same bound for proxies of other regions
)

// Scope is the part of the fleet that a digest covers.
type Scope int

// Scopes of digests.
const (
	ScopeNone   Scope = iota
	ScopeDomain       // the failure domain of the proxy that sends the digest
	ScopeRegion       // the region of both proxies
	ScopeFleet
)

// Digest states which proxies of a scope are live. It has entries only if its hash differs from the one that the requester
// sent; equal hashes confirm the proxies that the requester already considers live.
type Digest struct {
	Scope   Scope
	Hash    uint64        // of the proxies with recent heartbeats
	Age     time.Duration // of the oldest of their heartbeats
	Entries []Entry
}

// Entry is a live proxy in a digest.
type Entry struct {
	ID
	Age          time.Duration // of its newest heartbeat
	Leaving      bool
	StoreReached bool
}

// ID identifies a proxy in a digest. The hash of its name is short, so proxies of a failure domain may share an ID, which then
// identifies none of them.
type ID struct {
	Domain spool.Domain
	Hash   uint32
}

// ID returns the identifier of a proxy in digests.
func (member *Member) ID() ID { return ID{Domain: member.Domain, Hash: uint32(member.hash)} }

// stateHash returns a hash of a proxy's name and of the state in its heartbeats.
func (member *Member) stateHash() uint64 {
	hash := uint64(0)
	if member.Leaving {
		hash |= 1
	}
	if member.StoreReached {
		hash |= 2
	}
	return rank.CombineHashes(hash, member.hash)
}

// inScope reports whether a digest that sender sends for the scope covers a proxy.
func (roster *Roster) inScope(scope Scope, sender, member *Member) bool {
	switch scope {
	case ScopeDomain:
		return member.Domain == sender.Domain
	case ScopeRegion:
		return roster.SameRegion(member)
	}
	return scope == ScopeFleet
}

// LiveHash returns the hash of the proxies that this one considers live and that a digest of sender for the scope covers.
func (roster *Roster) LiveHash(scope Scope, sender *Member, now spool.Instant) uint64 {
	hash := uint64(0)
	for _, member := range roster.members {
		if roster.inScope(scope, sender, member) && roster.live(member, now) {
			hash ^= member.stateHash()
		}
	}
	return hash
}

// Digest returns the digest for a proxy that requested a scope and sent the hash of the proxies that it considers live.
func (roster *Roster) Digest(to spool.VM, scope Scope, hash uint64, now spool.Instant) Digest {
	digest := Digest{Scope: scope}
	if roster.inScope(scope, &roster.self, &roster.self) {
		digest.Hash = roster.self.stateHash()
	}
	for vm, member := range roster.members {
		if vm == to || !roster.inScope(scope, &roster.self, member) || !roster.recent(member, now) {
			continue
		}
		digest.Hash ^= member.stateHash()
		digest.Age = max(digest.Age, now.Sub(member.LastHeard))
	}
	if digest.Hash == hash {
		return digest
	}
	for vm, member := range roster.members {
		if vm != to && roster.inScope(scope, &roster.self, member) && roster.live(member, now) {
			digest.Entries = append(digest.Entries, member.entry(now.Sub(member.LastHeard)))
		}
	}
	digest.Entries = append(digest.Entries, roster.self.entry(0))
	return digest
}

func (member *Member) entry(age time.Duration) Entry {
	return Entry{ID: member.ID(), Age: max(0, age), Leaving: member.Leaving, StoreReached: member.StoreReached}
}

func (roster *Roster) recent(member *Member, now spool.Instant) bool {
	limit := time.Duration(maxRemoteDigestAge)
	if roster.SameRegion(member) {
		limit = maxDigestAge
	}
	return member.LastHeard != 0 && now.Sub(member.LastHeard) < limit
}

// RecordDigestRequest records that a proxy requested a digest.
func (roster *Roster) RecordDigestRequest(from spool.VM, now spool.Instant) {
	if member := roster.members[from]; member != nil {
		member.exchange.requestedAt = now
	}
}

// Apply merges a digest that was sent no earlier than sent and returns the IDs in it that are not known. The ages in the digest
// are subtracted, so that forwarding never makes a heartbeat look more recent than it is.
func (roster *Roster) Apply(from spool.VM, digest Digest, sent, now spool.Instant) (unknown []ID) {
	sender := roster.members[from]
	if sender == nil {
		return nil
	}
	if len(digest.Entries) == 0 {
		roster.refreshScope(sender, digest, sent, now)
		return nil
	}
	known := roster.byID()
	for _, entry := range digest.Entries {
		member, found := known[entry.ID]
		switch {
		case !found:
			unknown = append(unknown, entry.ID)
		case member != nil:
			member.update(sent.Add(-entry.Age), entry.Leaving, entry.StoreReached)
		}
	}
	return unknown
}

// refreshScope applies a digest without entries: if the hashes agree, all proxies that this one considers live in the scope are
// at least as recent as the oldest heartbeat of the digest.
func (roster *Roster) refreshScope(sender *Member, digest Digest, sent, now spool.Instant) {
	if roster.LiveHash(digest.Scope, sender, now) != digest.Hash {
		return // the set of live proxies changed since the request
	}
	for _, member := range roster.members {
		if roster.inScope(digest.Scope, sender, member) && roster.live(member, now) {
			member.update(sent.Add(-digest.Age), member.Leaving, member.StoreReached)
		}
	}
}

// byID returns the known proxies by ID; the value is nil for this proxy and for an ID that several proxies share.
func (roster *Roster) byID() map[ID]*Member {
	known := make(map[ID]*Member, len(roster.members)+1)
	known[roster.self.ID()] = nil
	for _, member := range roster.members {
		if _, duplicate := known[member.ID()]; duplicate {
			known[member.ID()] = nil
			continue
		}
		known[member.ID()] = member
	}
	return known
}

// MembersByID returns the known proxies with the given IDs.
func (roster *Roster) MembersByID(ids []ID) []spool.Member {
	known := roster.byID()
	var members []spool.Member
	for _, id := range ids {
		if member := known[id]; member != nil {
			members = append(members, member.Member)
		}
	}
	return members
}
