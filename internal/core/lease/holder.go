package lease

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Out is a request to send to the witness at VM To, which may be the sender's own.
type Out struct {
	To      spool.VM
	Request *wire.PledgeRequest
}

// Change tells what became of a holder's lease since the last call of Due or Receive.
type Change int

// Changes of a holder's lease.
const (
	Unchanged Change = iota
	Gained
	Lost
)

// Holder collects pledges for one role at one candidate.
type Holder struct {
	role        Role
	incarnation uint64
	config      Config
	roster      Roster
}

// NewHolder returns a holder that seeks nothing yet; incarnation tells this start of the VM from all others.
func NewHolder(role Role, incarnation uint64, options ...Option) *Holder {
	return &Holder{role: role, incarnation: incarnation, config: newConfig(options)}
}

// SetRoster tells of a newer roster and ends all pledges that were counted under the old version.
func (holder *Holder) SetRoster(roster Roster, now spool.Instant) {}

// SetRecord sets the group's term record to carry in requests and has the next Due ask every witness.
func (holder *Holder) SetRecord(record *wire.TermRecord) {}

// Seek has the holder try to get and keep the role; candidates of rank 0 try first.
func (holder *Holder) Seek(rank int, now spool.Instant) {}

// Stop gives the role up at once and has the next Due release the pledges.
func (holder *Holder) Stop() {}

// Yield gives the role up like Stop and seeks it again after the back-off.
func (holder *Holder) Yield(backOff time.Duration, now spool.Instant) {}

// Due returns the requests that are due; the caller asks at least every 10 ms.
func (holder *Holder) Due(now spool.Instant) []Out { return nil }

// Receive takes in the answer of the witness at VM from.
func (holder *Holder) Receive(from spool.VM, answer *wire.PledgeAnswer, now spool.Instant) {}

// Poll tells once of a lease that was gained or lost.
func (holder *Holder) Poll(now spool.Instant) Change { return Unchanged }

// Held tells whether the role is held at the instant.
func (holder *Holder) Held(now spool.Instant) bool { return now < holder.Until() }

// Until returns the instant at which the lease ends unless it is renewed.
func (holder *Holder) Until() spool.Instant { return 0 }

// Backed tells whether a majority pledged with a record at least as new.
func (holder *Holder) Backed(record *wire.TermRecord) bool { return false }

// Newest returns the newest term record that the witnesses told of, or nil.
func (holder *Holder) Newest() *wire.TermRecord { return nil }

// Rival returns the VM that a witness named as holder; it is empty if none is known.
func (holder *Holder) Rival(now spool.Instant) spool.VM { return "" }

// RivalUntil returns the instant at which a majority of the witnesses could be free of a rival's pledges.
func (holder *Holder) RivalUntil() spool.Instant { return 0 }
