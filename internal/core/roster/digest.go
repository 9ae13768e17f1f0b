package roster

import (
	"time"

	"corianderspool.example/spool/internal/core/rank"
	"corianderspool.example/spool/pkg/spool"
)

const (
	freshFor    = 1200 * time.Millisecond // a heartbeat that is older is passed on with an age of its own
	farFreshFor = 3 * time.Second         // the same for proxies of other regions
)

// Scope is the part of the fleet that a digest tells of.
type Scope int

// Scopes of digests.
const (
	ScopeNone   Scope = iota
	ScopeDomain       // the failure domain of the proxy that answers
	ScopeRegion       // the region that both proxies are in
	ScopeFleet
)

// Digest tells which proxies of a scope are live. The proxies that the asker knows as live are named only if the asker's
// hash differs.
type Digest struct {
	Scope   Scope
	Hash    uint64        // of the proxies that were heard lately
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

// ID names a proxy in a digest; hashes of names are short, so proxies of a failure domain may share one, which then names none.
type ID struct {
	Domain spool.Domain
	Hash   uint32
}

// ID returns the name of a proxy in digests.
func (member *Member) ID() ID { return ID{Domain: member.Domain, Hash: uint32(member.hash)} }

// state returns a hash of a proxy's name and of what it says of itself.
func (member *Member) state() uint64 {
	state := uint64(0)
	if member.Leaving {
		state |= 1
	}
	if member.StoreReached {
		state |= 2
	}
	return rank.CombineHashes(state, member.hash)
}

// covers tells if a scope of a proxy's digest has another one in it.
func (roster *Roster) covers(scope Scope, teller, member *Member) bool {
	switch scope {
	case ScopeDomain:
		return member.Domain == teller.Domain
	case ScopeRegion:
		return roster.SameRegion(member)
	}
	return scope == ScopeFleet
}

// LiveHash returns the hash of the proxies in the scope of another one's digest that are live as far as this one knows.
func (roster *Roster) LiveHash(scope Scope, teller *Member, now spool.Instant) uint64 {
	hash := uint64(0)
	for _, member := range roster.members {
		if roster.covers(scope, teller, member) && roster.live(member, now) {
			hash ^= member.state()
		}
	}
	return hash
}

// Digest answers a proxy that asked for a scope with the hash that it has.
func (roster *Roster) Digest(to spool.VM, scope Scope, hash uint64, now spool.Instant) Digest {
	digest := Digest{Scope: scope}
	if roster.covers(scope, &roster.self, &roster.self) {
		digest.Hash = roster.self.state()
	}
	for vm, member := range roster.members {
		if vm == to || !roster.covers(scope, &roster.self, member) || !roster.fresh(member, now) {
			continue
		}
		digest.Hash ^= member.state()
		digest.Age = max(digest.Age, now.Sub(member.LastHeard))
	}
	if digest.Hash == hash {
		return digest
	}
	for vm, member := range roster.members {
		if vm != to && roster.covers(scope, &roster.self, member) && roster.live(member, now) {
			digest.Entries = append(digest.Entries, member.entry(now.Sub(member.LastHeard)))
		}
	}
	digest.Entries = append(digest.Entries, roster.self.entry(0))
	return digest
}

func (member *Member) entry(age time.Duration) Entry {
	return Entry{ID: member.ID(), Age: max(0, age), Leaving: member.Leaving, StoreReached: member.StoreReached}
}

func (roster *Roster) fresh(member *Member, now spool.Instant) bool {
	limit := time.Duration(farFreshFor)
	if roster.SameRegion(member) {
		limit = freshFor
	}
	return member.LastHeard != 0 && now.Sub(member.LastHeard) < limit
}

// RecordDigestRequest notes that a proxy asked for a digest.
func (roster *Roster) RecordDigestRequest(from spool.VM, now spool.Instant) {
	if member := roster.members[from]; member != nil {
		member.link.wanted = now
	}
}

// Apply takes over a digest that was sent no earlier than an instant and returns the proxies in it that are not known. What
// it tells counts from when each proxy itself was heard, so that relays never make a heartbeat look younger.
func (roster *Roster) Apply(from spool.VM, digest Digest, sent, now spool.Instant) (unknown []ID) {
	teller := roster.members[from]
	if teller == nil {
		return nil
	}
	if len(digest.Entries) == 0 {
		roster.confirm(teller, digest, sent, now)
		return nil
	}
	known := roster.byID()
	for _, entry := range digest.Entries {
		member, found := known[entry.ID]
		switch {
		case !found:
			unknown = append(unknown, entry.ID)
		case member != nil:
			member.hear(sent.Add(-entry.Age), entry.Leaving, entry.StoreReached)
		}
	}
	return unknown
}

// confirm notes that all proxies that this one knows as live in a scope are.
func (roster *Roster) confirm(teller *Member, digest Digest, sent, now spool.Instant) {
	if roster.LiveHash(digest.Scope, teller, now) != digest.Hash {
		return // changed since it was asked for
	}
	for _, member := range roster.members {
		if roster.covers(digest.Scope, teller, member) && roster.live(member, now) {
			member.hear(sent.Add(-digest.Age), member.Leaving, member.StoreReached)
		}
	}
}

// byID returns the known proxies by their names in digests, this one too; one that several proxies share names nil.
func (roster *Roster) byID() map[ID]*Member {
	known := make(map[ID]*Member, len(roster.members)+1)
	known[roster.self.ID()] = nil
	for _, member := range roster.members {
		if _, taken := known[member.ID()]; taken {
			known[member.ID()] = nil
			continue
		}
		known[member.ID()] = member
	}
	return known
}

// MembersByID returns the proxies that IDs name.
func (roster *Roster) MembersByID(ids []ID) []spool.Member {
	known := roster.byID()
	var named []spool.Member
	for _, id := range ids {
		if member := known[id]; member != nil {
			named = append(named, member.Member)
		}
	}
	return named
}
