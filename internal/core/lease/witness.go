package lease

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Witness votes for the holders of roles on behalf of one proxy since its start.
type Witness struct {
	self    spool.VM
	started spool.Instant
	config  Config
	quorum  Quorum
	stable  Quorum // the last unchanging quorum under which the witness was ready
	ready   bool   // knows every term that was opened before the quorum's version
	votes   map[Role]vote
	records map[spool.Group]*wire.TermRecord
}

type vote struct {
	holder      spool.VM
	incarnation uint64
	sequence    uint64
	until       spool.Instant
}

// NewWitness returns a witness that abstains until Length has passed since started and Confirm was called directly.
func NewWitness(self spool.VM, started spool.Instant, options ...Option) *Witness {
	return &Witness{
		self:    self,
		started: started,
		config:  newConfig(options),
		votes:   map[Role]vote{},
		records: map[spool.Group]*wire.TermRecord{},
	}
}

// Confirm tells the witness of a quorum; direct says that it was read from the platform itself since the start, and
// that the Term objects were read after it and passed to Learn before this call.
func (witness *Witness) Confirm(quorum Quorum, direct bool) {
	if quorum.Version < witness.quorum.Version {
		return
	}
	if quorum.Version > witness.quorum.Version {
		witness.ready = witness.succeeds(quorum)
		witness.quorum = quorum
	}
	if direct {
		witness.ready = true
	}
	if witness.ready {
		witness.stable = quorum.unchanging()
	}
}

// succeeds tells whether a witness that is ready under its quorum need not read the terms again under the next one:
// every majority made only of such witnesses shares a member with every majority of the old quorum.
func (witness *Witness) succeeds(next Quorum) bool {
	if !witness.ready || !witness.stable.Contains(witness.self) {
		return false
	}
	return next.Base == witness.stable.Version && len(next.Members) >= len(witness.stable.Members)
}

// Learn tells the witness of a group's term record, for example one read from the platform.
func (witness *Witness) Learn(record *wire.TermRecord) {
	if record == nil {
		return
	}
	group := spool.Group(record.Group)
	witness.records[group] = NewestRecord(witness.records[group], record)
}

// Record returns the newest term record known of a group, or nil.
func (witness *Witness) Record(group spool.Group) *wire.TermRecord { return witness.records[group] }

// Seen returns the newest quorum version that the witness obeys.
func (witness *Witness) Seen() spool.Version { return witness.quorum.Version }

// Uninformed tells that the witness abstains until Confirm is called directly for the quorum that it knows.
func (witness *Witness) Uninformed() bool {
	return !witness.ready && !witness.quorum.Changing && witness.quorum.Contains(witness.self)
}

// Ready tells whether the witness would vote a free role.
func (witness *Witness) Ready(now spool.Instant) bool {
	if !witness.ready || witness.quorum.Changing || !witness.quorum.Contains(witness.self) {
		return false
	}
	return witness.config.forgetful || now.Sub(witness.started) >= witness.config.Length
}

// Vote answers the request of a holder at VM from.
func (witness *Witness) Vote(from spool.VM, request *wire.VoteRequest, now spool.Instant) *wire.VoteAnswer {
	role := Role(request.Role)
	wanted := vote{
		holder:      from,
		incarnation: request.Incarnation,
		sequence:    request.Sequence,
		until:       now.Add(witness.config.Length),
	}
	witness.Learn(request.Record)
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
		witness.release(role, wanted)
		return answer
	}
	answer.Granted = request.Quorum == answer.Quorum && witness.grant(role, wanted, now)
	if held, ok := witness.votes[role]; ok && now < held.until && !answer.Granted {
		answer.Holder = string(held.holder)
		answer.RemainingNanos = int64(held.until.Sub(now))
	}
	return answer
}

func (witness *Witness) grant(role Role, wanted vote, now spool.Instant) bool {
	if !witness.Ready(now) {
		return false
	}
	held, ok := witness.votes[role]
	if ok && now < held.until {
		if !held.sameHolder(wanted) {
			return false
		}
		wanted.sequence = max(wanted.sequence, held.sequence)
	}
	witness.votes[role] = wanted
	return true
}

// release drops a vote unless the holder has asked for it again since it sent the release.
func (witness *Witness) release(role Role, given vote) {
	held, ok := witness.votes[role]
	if ok && held.sameHolder(given) && held.sequence < given.sequence {
		delete(witness.votes, role)
	}
}

func (vote vote) sameHolder(other vote) bool {
	return vote.holder == other.holder && vote.incarnation == other.incarnation
}

// Locate says to whom the role is voted.
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
