package lease

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Witness grants votes to the holders of roles on behalf of one proxy; its votes are kept in memory only.
type Witness struct {
	self      spool.VM
	startedAt spool.Instant
	config    Config
	quorum    Quorum
	stable    Quorum // the last quorum that was not changing and under which the witness was ready
	ready     bool   // the witness knows every term that was opened before the quorum's version
	votes     map[Role]vote
	records   map[spool.Group]*wire.TermRecord
}

type vote struct {
	holder      spool.VM
	incarnation uint64
	sequence    uint64
	until       spool.Instant
}

// NewWitness returns a witness that abstains until Length has passed since startedAt and SetQuorum was called with a
// direct read.
func NewWitness(self spool.VM, startedAt spool.Instant, options ...Option) *Witness {
	return &Witness{
		self:      self,
		startedAt: startedAt,
		config:    newConfig(options),
		votes:     map[Role]vote{},
		records:   map[spool.Group]*wire.TermRecord{},
	}
}

// SetQuorum adopts a quorum; direct means that it was read from the platform itself since the start, and that the
// Term objects were read after it and passed to MergeRecord before this call.
func (witness *Witness) SetQuorum(quorum Quorum, direct bool) {
	if quorum.Version < witness.quorum.Version {
		return
	}
	if quorum.Version > witness.quorum.Version {
		witness.ready = witness.staysReady(quorum)
		witness.quorum = quorum
	}
	if direct {
		witness.ready = true
	}
	if witness.ready {
		witness.stable = quorum.stable()
	}
}

// staysReady reports whether a witness that is ready under its quorum need not read the terms again under the next
// one: every majority made only of such witnesses shares a member with every majority of the old quorum.
func (witness *Witness) staysReady(next Quorum) bool {
	if !witness.ready || !witness.stable.Contains(witness.self) {
		return false
	}
	return next.Base == witness.stable.Version && len(next.Members) >= len(witness.stable.Members)
}

// MergeRecord keeps a group's term record if it is newer than the one known.
func (witness *Witness) MergeRecord(record *wire.TermRecord) {
	if record == nil {
		return
	}
	group := spool.Group(record.Group)
	witness.records[group] = NewestRecord(witness.records[group], record)
}

// TermRecord returns the newest known term record of a group, or nil.
func (witness *Witness) TermRecord(group spool.Group) *wire.TermRecord { return witness.records[group] }

// QuorumVersion returns the version of the quorum that the witness follows.
func (witness *Witness) QuorumVersion() spool.Version { return witness.quorum.Version }

// NeedsPlatformRead reports whether the witness abstains until SetQuorum is called with a direct read of its quorum.
func (witness *Witness) NeedsPlatformRead() bool {
	return !witness.ready && !witness.quorum.Changing && witness.quorum.Contains(witness.self)
}

// Ready reports whether the witness would vote on a role that has no holder.
func (witness *Witness) Ready(now spool.Instant) bool {
	if !witness.ready || witness.quorum.Changing || !witness.quorum.Contains(witness.self) {
		return false
	}
	return witness.config.voteAtStart || now.Sub(witness.startedAt) >= witness.config.Length
}

// Vote answers a vote or release request of the holder at VM from.
func (witness *Witness) Vote(from spool.VM, request *wire.VoteRequest, now spool.Instant) *wire.VoteAnswer {
	role := Role(request.Role)
	requested := vote{
		holder:      from,
		incarnation: request.Incarnation,
		sequence:    request.Sequence,
		until:       now.Add(witness.config.Length),
	}
	witness.MergeRecord(request.Record)
	answer := &wire.VoteAnswer{
		Role:        request.Role,
		Sequence:    request.Sequence,
		Incarnation: request.Incarnation,
		Quorum:      uint64(witness.quorum.Version),
	}
	if group, ok := role.Group(); ok {
		answer.Record = witness.records[group]
	}
	if request.Release {
		witness.releaseVote(role, requested)
		return answer
	}
	answer.Granted = request.Quorum == answer.Quorum && witness.grantVote(role, requested, now)
	if held, ok := witness.votes[role]; ok && now < held.until && !answer.Granted {
		answer.Holder = string(held.holder)
		answer.RemainingNanos = int64(held.until.Sub(now))
	}
	return answer
}

func (witness *Witness) grantVote(role Role, requested vote, now spool.Instant) bool {
	if !witness.Ready(now) {
		return false
	}
	held, ok := witness.votes[role]
	if ok && now < held.until {
		if !held.sameHolder(requested) {
			return false
		}
		requested.sequence = max(requested.sequence, held.sequence)
	}
	witness.votes[role] = requested
	return true
}

// releaseVote removes a vote unless the holder has asked for it again since it sent the release.
func (witness *Witness) releaseVote(role Role, released vote) {
	held, ok := witness.votes[role]
	if ok && held.sameHolder(released) && held.sequence < released.sequence {
		delete(witness.votes, role)
	}
}

func (vote vote) sameHolder(other vote) bool {
	return vote.holder == other.holder && vote.incarnation == other.incarnation
}

// Locate answers which VM the witness has a current vote for and how long that vote lasts.
func (witness *Witness) Locate(role Role, now spool.Instant) *wire.LocateAnswer {
	answer := &wire.LocateAnswer{Role: string(role)}
	held, ok := witness.votes[role]
	if !ok || now >= held.until {
		return answer
	}
	answer.Holder = string(held.holder)
	answer.RemainingNanos = int64(held.until.Sub(now))
	return answer
}
