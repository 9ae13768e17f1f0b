package lease

import (
	"slices"
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// OutgoingRequest is a request to send to the witness at VM To, which may be the sender's own VM.
type OutgoingRequest struct {
	To      spool.VM
	Request *wire.VoteRequest
}

// Change is a transition of a holder's lease.
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
	phaseCollecting
	phaseHolding
)

// Holder collects the votes for one role on one candidate and holds the lease while a majority backs it.
type Holder struct {
	role              Role
	incarnation       uint64
	config            Config
	quorum            Quorum
	seenQuorumVersion spool.Version
	record            *wire.TermRecord
	newestRecord      *wire.TermRecord

	campaigning      bool
	rank             int
	phase            phase
	sequence         uint64
	attempts         uint64
	nextAttemptAt    spool.Instant // earliest start of the next attempt, while idle
	backOffUntil     spool.Instant // end of the last back-off
	attemptStartedAt spool.Instant // start of the current attempt
	witnesses        map[spool.VM]*witnessState
	releases         []OutgoingRequest
	changes          []Change
	reported         bool // NextChange has returned Gained for the current lease
}

// NewHolder returns an idle holder; incarnation must differ for each start of the VM.
func NewHolder(role Role, incarnation uint64, options ...Option) *Holder {
	return &Holder{role: role, incarnation: incarnation, config: newConfig(options), witnesses: map[spool.VM]*witnessState{}}
}

// SetQuorum adopts a newer quorum and discards all votes that were counted under the old version. While a quorum
// changes, the old one counts: its witnesses renew until they know of the change, and the change waits for the rest.
func (holder *Holder) SetQuorum(quorum Quorum, now spool.Instant) {
	if quorum.Changing || quorum.Version <= holder.quorum.Version {
		return
	}
	holder.reset()
	holder.quorum = quorum
	holder.nextAttemptAt = max(now.Add(holder.rankDelay()), holder.backOffUntil)
}

// SetRecord sets the group's term record that requests carry; the next DueRequests then asks every witness.
func (holder *Holder) SetRecord(record *wire.TermRecord) {
	if CompareRecords(record, holder.record) <= 0 {
		return
	}
	holder.record = record
	for _, witnessState := range holder.witnesses {
		witnessState.due = true
	}
}

// Campaign makes the holder acquire and renew the lease; candidates of rank 0 try first.
func (holder *Holder) Campaign(rank int, now spool.Instant) {
	holder.rank = rank
	if holder.campaigning {
		return
	}
	holder.campaigning = true
	holder.nextAttemptAt = max(holder.nextAttemptAt, now.Add(holder.rankDelay()))
}

// Resign ends the lease at once; the next DueRequests releases the votes.
func (holder *Holder) Resign() {
	holder.campaigning = false
	holder.releaseVotes()
}

// Yield ends the lease like Resign but campaigns again after the back-off.
func (holder *Holder) Yield(backOff time.Duration, now spool.Instant) {
	holder.releaseVotes()
	holder.backOffUntil = now.Add(backOff)
	holder.nextAttemptAt = holder.backOffUntil
}

// RivalReleased handles the rival's release of the lease: the next attempt need not wait for its votes to expire.
func (holder *Holder) RivalReleased(now spool.Instant) {
	if holder.phase == phaseIdle && holder.Rival(now) != "" {
		holder.witnesses = map[spool.VM]*witnessState{}
		holder.nextAttemptAt = max(now.Add(holder.rankDelay()), holder.backOffUntil)
	}
}

// DueRequests returns the requests to send now; it must be called at least every 10 ms.
func (holder *Holder) DueRequests(now spool.Instant) []OutgoingRequest {
	holder.expire(now)
	if holder.phase == phaseCollecting && now.Sub(holder.attemptStartedAt) >= holder.config.RoundTimeout {
		holder.abandonAttempt(now)
	}
	requests := holder.releases
	holder.releases = nil
	if !holder.campaigning {
		return requests
	}
	if holder.phase == phaseIdle {
		if now < holder.nextAttemptAt {
			return requests
		}
		holder.phase = phaseCollecting
		holder.attemptStartedAt = now
		holder.attempts++
	}
	for _, vm := range holder.quorum.Members {
		if holder.witnessState(vm).requestDue(now, holder.config.RenewInterval) {
			requests = append(requests, holder.requestVote(vm, now))
		}
	}
	return requests
}

// Receive handles the answer of the witness at VM from.
func (holder *Holder) Receive(from spool.VM, answer *wire.VoteAnswer, now spool.Instant) {
	holder.expire(now)
	if Role(answer.Role) != holder.role || answer.Incarnation != holder.incarnation {
		return
	}
	holder.seenQuorumVersion = max(holder.seenQuorumVersion, spool.Version(answer.Quorum))
	witnessState, ok := holder.witnesses[from]
	if !ok {
		return
	}
	request, ok := witnessState.pending[answer.Sequence]
	if !ok {
		return
	}
	delete(witnessState.pending, answer.Sequence)
	holder.newestRecord = NewestRecord(holder.newestRecord, answer.Record)
	if !answer.Granted || spool.Version(answer.Quorum) != holder.quorum.Version {
		witnessState.recordRefusal(answer, now)
		holder.abandonIfRefused(now)
		return
	}
	countedAt := request.sentAt
	if holder.config.countFromArrival {
		countedAt = now
	}
	witnessState.recordGrant(request, countedAt)
	if holder.phase == phaseCollecting && now < holder.majorityEnd() {
		holder.phase = phaseHolding
		holder.changes = append(holder.changes, Gained)
	}
}

// NextChange returns each transition of the lease once, in order, then Unchanged; the lease counts as held only after
// NextChange has returned Gained.
func (holder *Holder) NextChange(now spool.Instant) Change {
	holder.expire(now)
	if len(holder.changes) == 0 {
		return Unchanged
	}
	change := holder.changes[0]
	holder.changes = holder.changes[1:]
	holder.reported = len(holder.changes) == 0 && holder.phase == phaseHolding
	return change
}

// Held reports whether the lease is held at now.
func (holder *Holder) Held(now spool.Instant) bool { return now < holder.Until() }

// Until returns the instant at which the lease expires unless it is renewed; it returns zero if the lease is not held.
func (holder *Holder) Until() spool.Instant {
	if !holder.reported {
		return 0
	}
	return holder.majorityEnd()
}

// BackedByMajority reports whether the lease is held and a majority voted with a record at least as new.
func (holder *Holder) BackedByMajority(record *wire.TermRecord) bool {
	count := 0
	for _, witnessState := range holder.witnesses {
		if witnessState.granted && CompareRecords(witnessState.votedRecord, record) >= 0 {
			count++
		}
	}
	return holder.phase == phaseHolding && count >= holder.quorum.Majority()
}

// NewestRecord returns the newest term record among the witnesses' answers, or nil.
func (holder *Holder) NewestRecord() *wire.TermRecord { return holder.newestRecord }

// SeenQuorumVersion returns the newest quorum version among the witnesses' answers.
func (holder *Holder) SeenQuorumVersion() spool.Version { return holder.seenQuorumVersion }

// Rival returns the VM that the witnesses reported as the current holder, or an empty name if none is known.
func (holder *Holder) Rival(now spool.Instant) spool.VM {
	var rival spool.VM
	var latest spool.Instant
	for _, vm := range holder.quorum.Members {
		witnessState, ok := holder.witnesses[vm]
		if ok && witnessState.rivalUntil > max(now, latest) {
			rival, latest = witnessState.rival, witnessState.rivalUntil
		}
	}
	return rival
}

// RivalUntil returns the earliest instant at which a majority of the witnesses may have no vote for a rival.
func (holder *Holder) RivalUntil() spool.Instant {
	var ends []spool.Instant
	for _, vm := range holder.quorum.Members {
		var end spool.Instant
		if witnessState, ok := holder.witnesses[vm]; ok {
			end = witnessState.rivalUntil
		}
		ends = append(ends, end)
	}
	if len(ends) == 0 {
		return 0
	}
	slices.Sort(ends)
	return ends[holder.quorum.Majority()-1]
}

// majorityEnd returns the instant until which a majority's votes last; it returns zero without a majority.
func (holder *Holder) majorityEnd() spool.Instant {
	ends := make([]spool.Instant, 0, len(holder.witnesses))
	for _, witnessState := range holder.witnesses {
		if witnessState.granted {
			ends = append(ends, witnessState.countedAt.Add(holder.config.holderLifetime()))
		}
	}
	majority := holder.quorum.Majority()
	if len(ends) < majority {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-majority]
}
