package lease

import (
	"slices"
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Out is a request to send to the witness at VM To, which may be the sender's own.
type Out struct {
	To      spool.VM
	Request *wire.VoteRequest
}

// Change tells what became of a holder's lease.
type Change int

// Changes of a holder's lease.
const (
	Unchanged Change = iota
	Gained
	Lost
)

type phase int

const (
	phaseIdle phase = iota
	phaseAsking
	phaseHolding
)

// Holder collects votes for one role at one candidate.
type Holder struct {
	role        Role
	incarnation uint64
	config      Config
	quorum      Quorum
	seenQuorum  spool.Version
	record      *wire.TermRecord
	newest      *wire.TermRecord

	seeking   bool
	rank      int
	phase     phase
	sequence  uint64
	attempts  uint64
	nextAt    spool.Instant // start of the next attempt, while idle
	yieldedTo spool.Instant // end of the last back-off
	askedAt   spool.Instant // start of the current attempt
	supports  map[spool.VM]*support
	releases  []Out
	changes   []Change
	told      bool // Poll has told of the current lease
}

// NewHolder returns a holder that seeks nothing yet; incarnation tells this start of the VM from all others.
func NewHolder(role Role, incarnation uint64, options ...Option) *Holder {
	return &Holder{role: role, incarnation: incarnation, config: newConfig(options), supports: map[spool.VM]*support{}}
}

// SetQuorum tells of a newer quorum and ends all votes that were counted under the old version. While a quorum
// changes, the old one counts: its witnesses renew until they have seen the change, and the change waits for the rest.
func (holder *Holder) SetQuorum(quorum Quorum, now spool.Instant) {
	if quorum.Changing || quorum.Version <= holder.quorum.Version {
		return
	}
	holder.drop()
	holder.quorum = quorum
	holder.nextAt = max(now.Add(holder.stagger()), holder.yieldedTo)
}

// SetRecord sets the group's term record to carry in requests and has the next Due ask every witness.
func (holder *Holder) SetRecord(record *wire.TermRecord) {
	if CompareRecords(record, holder.record) <= 0 {
		return
	}
	holder.record = record
	for _, support := range holder.supports {
		support.due = true
	}
}

// Seek has the holder try to get and keep the role; candidates of rank 0 try first.
func (holder *Holder) Seek(rank int, now spool.Instant) {
	holder.rank = rank
	if holder.seeking {
		return
	}
	holder.seeking = true
	holder.nextAt = max(holder.nextAt, now.Add(holder.stagger()))
}

// Stop gives the role up at once and has the next Due release the votes.
func (holder *Holder) Stop() {
	holder.seeking = false
	holder.release()
}

// Yield gives the role up like Stop and seeks it again after the back-off.
func (holder *Holder) Yield(backOff time.Duration, now spool.Instant) {
	holder.release()
	holder.yieldedTo = now.Add(backOff)
	holder.nextAt = holder.yieldedTo
}

// Freed tells that the rival has given the role up, so that the next attempt need not wait for its votes to end.
func (holder *Holder) Freed(now spool.Instant) {
	if holder.phase == phaseIdle && holder.Rival(now) != "" {
		holder.supports = map[spool.VM]*support{}
		holder.nextAt = max(now.Add(holder.stagger()), holder.yieldedTo)
	}
}

// Due returns the requests that are due; the caller asks at least every 10 ms.
func (holder *Holder) Due(now spool.Instant) []Out {
	holder.expire(now)
	if holder.phase == phaseAsking && now.Sub(holder.askedAt) >= holder.config.RoundTimeout {
		holder.abandon(now)
	}
	outs := holder.releases
	holder.releases = nil
	if !holder.seeking {
		return outs
	}
	if holder.phase == phaseIdle {
		if now < holder.nextAt {
			return outs
		}
		holder.phase = phaseAsking
		holder.askedAt = now
		holder.attempts++
	}
	for _, vm := range holder.quorum.Members {
		if holder.support(vm).wants(now, holder.config.Renew) {
			outs = append(outs, holder.ask(vm, now))
		}
	}
	return outs
}

// Receive takes in the answer of the witness at VM from.
func (holder *Holder) Receive(from spool.VM, answer *wire.VoteAnswer, now spool.Instant) {
	holder.expire(now)
	if Role(answer.Role) != holder.role || answer.Incarnation != holder.incarnation {
		return
	}
	holder.seenQuorum = max(holder.seenQuorum, spool.Version(answer.Quorum))
	support, ok := holder.supports[from]
	if !ok {
		return
	}
	answered, ok := support.flights[answer.Sequence]
	if !ok {
		return
	}
	delete(support.flights, answer.Sequence)
	holder.newest = NewestRecord(holder.newest, answer.Record)
	if !answer.Granted || spool.Version(answer.Quorum) != holder.quorum.Version {
		support.refuse(answer, now)
		holder.abandonIfHopeless(now)
		return
	}
	countedAt := answered.sentAt
	if holder.config.fromArrival {
		countedAt = now
	}
	support.grant(answered, countedAt)
	if holder.phase == phaseAsking && now < holder.end() {
		holder.phase = phaseHolding
		holder.changes = append(holder.changes, Gained)
	}
}

// Poll tells once of each time that the lease was gained or lost, until it returns Unchanged; the lease is not held
// before Poll has told that it was gained.
func (holder *Holder) Poll(now spool.Instant) Change {
	holder.expire(now)
	if len(holder.changes) == 0 {
		return Unchanged
	}
	change := holder.changes[0]
	holder.changes = holder.changes[1:]
	holder.told = len(holder.changes) == 0 && holder.phase == phaseHolding
	return change
}

// Held tells whether the role is held at the instant.
func (holder *Holder) Held(now spool.Instant) bool { return now < holder.Until() }

// Until returns the instant at which the lease ends unless it is renewed, zero if it is not held.
func (holder *Holder) Until() spool.Instant {
	if !holder.told {
		return 0
	}
	return holder.end()
}

// Backed tells whether a majority voted with a record at least as new.
func (holder *Holder) Backed(record *wire.TermRecord) bool {
	backers := 0
	for _, support := range holder.supports {
		if support.granted && CompareRecords(support.backed, record) >= 0 {
			backers++
		}
	}
	return holder.phase == phaseHolding && backers >= holder.quorum.Majority()
}

// Newest returns the newest term record that the witnesses told of, or nil.
func (holder *Holder) Newest() *wire.TermRecord { return holder.newest }

// SeenQuorum returns the newest quorum version that a witness told of.
func (holder *Holder) SeenQuorum() spool.Version { return holder.seenQuorum }

// Rival returns the VM that a witness named as holder; it is empty if none is known.
func (holder *Holder) Rival(now spool.Instant) spool.VM {
	var rival spool.VM
	var latest spool.Instant
	for _, vm := range holder.quorum.Members {
		support, ok := holder.supports[vm]
		if ok && support.rivalUntil > max(now, latest) {
			rival, latest = support.rival, support.rivalUntil
		}
	}
	return rival
}

// RivalUntil returns the instant at which a majority of the witnesses could be free of a rival's votes.
func (holder *Holder) RivalUntil() spool.Instant {
	var ends []spool.Instant
	for _, vm := range holder.quorum.Members {
		var end spool.Instant
		if support, ok := holder.supports[vm]; ok {
			end = support.rivalUntil
		}
		ends = append(ends, end)
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[holder.quorum.Majority()-1]
}

// end is the instant up to which a majority's votes run.
func (holder *Holder) end() spool.Instant {
	ends := make([]spool.Instant, 0, len(holder.supports))
	for _, support := range holder.supports {
		if support.granted {
			ends = append(ends, support.countedAt.Add(holder.config.counted()))
		}
	}
	majority := holder.quorum.Majority()
	if len(ends) < majority {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-majority]
}
