package lease

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Witness pledges roles to holders on behalf of one proxy since its start.
type Witness struct {
	self    spool.VM
	started spool.Instant
	config  Config
	roster  Roster
	stable  Roster // the last unchanging roster under which the witness was ready
	ready   bool   // knows every term that was opened before the roster's version
	pledges map[Role]pledge
	records map[spool.Group]*wire.TermRecord
}

type pledge struct {
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
		pledges: map[Role]pledge{},
		records: map[spool.Group]*wire.TermRecord{},
	}
}

// Confirm tells the witness of a roster; direct says that it was read from the platform itself since the start, and
// that the Term objects were read after it and passed to Learn before this call.
func (witness *Witness) Confirm(roster Roster, direct bool) {
	if roster.Version < witness.roster.Version {
		return
	}
	if roster.Version > witness.roster.Version {
		witness.ready = witness.succeeds(roster)
		witness.roster = roster
	}
	if direct {
		witness.ready = true
	}
	if witness.ready {
		witness.stable = roster.unchanging()
	}
}

// succeeds tells whether a witness that is ready under its roster need not read the terms again under the next one:
// every majority made only of such witnesses shares a member with every majority of the old roster.
func (witness *Witness) succeeds(next Roster) bool {
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

// Seen returns the newest roster version that the witness obeys.
func (witness *Witness) Seen() spool.Version { return witness.roster.Version }

// Uninformed tells that the witness abstains until Confirm is called directly for the roster that it knows.
func (witness *Witness) Uninformed() bool {
	return !witness.ready && !witness.roster.Changing && witness.roster.Contains(witness.self)
}

// Ready tells whether the witness would pledge a free role.
func (witness *Witness) Ready(now spool.Instant) bool {
	if !witness.ready || witness.roster.Changing || !witness.roster.Contains(witness.self) {
		return false
	}
	return witness.config.forgetful || now.Sub(witness.started) >= witness.config.Length
}

// Pledge answers the request of a holder at VM from.
func (witness *Witness) Pledge(from spool.VM, request *wire.PledgeRequest, now spool.Instant) *wire.PledgeAnswer {
	role := Role(request.Role)
	wanted := pledge{
		holder:      from,
		incarnation: request.Incarnation,
		sequence:    request.Sequence,
		until:       now.Add(witness.config.Length),
	}
	witness.Learn(request.Record)
	answer := &wire.PledgeAnswer{
		Role:        request.Role,
		Sequence:    request.Sequence,
		Incarnation: request.Incarnation,
		Roster:      uint64(witness.roster.Version),
	}
	if group, ok := role.Group(); ok {
		answer.Record = witness.records[group]
	}
	if request.Release {
		witness.release(role, wanted)
		return answer
	}
	answer.Granted = request.Roster == answer.Roster && witness.grant(role, wanted, now)
	if held, ok := witness.pledges[role]; ok && now < held.until && !answer.Granted {
		answer.Holder = string(held.holder)
		answer.RemainingNanos = int64(held.until.Sub(now))
	}
	return answer
}

func (witness *Witness) grant(role Role, wanted pledge, now spool.Instant) bool {
	if !witness.Ready(now) {
		return false
	}
	held, ok := witness.pledges[role]
	if ok && now < held.until {
		if !held.sameHolder(wanted) {
			return false
		}
		wanted.sequence = max(wanted.sequence, held.sequence)
	}
	witness.pledges[role] = wanted
	return true
}

// release drops a pledge unless the holder has asked for it again since it sent the release.
func (witness *Witness) release(role Role, given pledge) {
	held, ok := witness.pledges[role]
	if ok && held.sameHolder(given) && held.sequence < given.sequence {
		delete(witness.pledges, role)
	}
}

func (pledge pledge) sameHolder(other pledge) bool {
	return pledge.holder == other.holder && pledge.incarnation == other.incarnation
}

// Locate says to whom the role is pledged.
func (witness *Witness) Locate(role Role, now spool.Instant) *wire.LocateAnswer {
	answer := &wire.LocateAnswer{Role: string(role)}
	held, ok := witness.pledges[role]
	if !ok || now >= held.until {
		return answer
	}
	answer.Holder = string(held.holder)
	answer.RemainingNanos = int64(held.until.Sub(now))
	return answer
}
