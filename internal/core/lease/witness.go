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
	ready   bool // knows every term that was opened before the roster's version
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
func (witness *Witness) Confirm(roster Roster, direct bool) {}

// Learn tells the witness of a group's term record, for example one read from the platform.
func (witness *Witness) Learn(record *wire.TermRecord) {}

// Record returns the newest term record known of a group, or nil.
func (witness *Witness) Record(group spool.Group) *wire.TermRecord { return witness.records[group] }

// Seen returns the newest roster version that the witness obeys.
func (witness *Witness) Seen() spool.Version { return witness.roster.Version }

// Ready tells whether the witness would pledge a free role.
func (witness *Witness) Ready(now spool.Instant) bool { return false }

// Pledge answers the request of a holder at VM from.
func (witness *Witness) Pledge(from spool.VM, request *wire.PledgeRequest, now spool.Instant) *wire.PledgeAnswer {
	return nil
}

// Locate says to whom the role is pledged.
func (witness *Witness) Locate(role Role, now spool.Instant) *wire.LocateAnswer { return nil }
