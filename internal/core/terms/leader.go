package terms

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

type phase int

const (
	phaseIdle          phase = iota // the lease is not held
	phaseReadingRecord              // waits for the platform's record
	phaseResuming                   // waits for the recorded primary's status
	phaseChoosing                   // waits for the servers' statuses to choose a candidate
	phaseClaiming                   // waits for the conditional update that records the new term
	phasePromoting                  // waits for the candidate to be promoted
	phaseVoting                     // waits for a majority's votes for the record
	phaseOpen
)

// Leader manages the terms of one group at one proxy; it is not safe for concurrent use.
type Leader struct {
	group   spool.Group
	self    spool.VM
	config  Config
	nonce   uint64
	effects []Effect

	phase            phase
	record           *wire.TermRecord // the newest record known
	gainedAt         spool.Instant
	choiceStart      spool.Instant // earliest SentAt of a status that counts in the choice of a candidate
	checkSince       spool.Instant // earliest SentAt of a status that has to show the recorded primary
	lastEventAt      spool.Instant
	pauseEndedAt     spool.Instant // end of the last pause of this proxy
	unreached        spool.Server  // the primary that a majority did not reach; the choice does not wait for its status
	noCandidateNoted bool          // ReasonNoCandidate was noted since choiceStart

	servers    servers
	witnesses  []spool.VM
	domains    map[spool.VM]spool.Domain
	suspicion  suspicion
	switchover switchover
	platform   platformRecord
	promotion  promotion
}

// NewLeader returns a leader that waits for LeaseGained. It numbers its writes and probes from nonce on; no two starts
// of the VM may use the same numbers, because the platform's record identifies a write by VM and number.
func NewLeader(group spool.Group, self spool.VM, nonce uint64, options ...Option) *Leader {
	config := DefaultConfig()
	for _, option := range options {
		option(&config)
	}
	return &Leader{group: group, self: self, nonce: nonce, config: config, servers: servers{}}
}

// Handle processes one event and returns the effects to execute, in order.
func (leader *Leader) Handle(event Event, now spool.Instant) []Effect {
	if now.Sub(leader.lastEventAt) > leader.config.PauseThreshold {
		leader.pauseEndedAt = now
	}
	leader.lastEventAt = now
	leader.dispatch(event, now)
	leader.step(now)
	effects := leader.effects
	leader.effects = nil
	return effects
}

// OpenTerm returns the term whose writes may be acknowledged while the lease is held, or zero.
func (leader *Leader) OpenTerm() spool.Term {
	if leader.phase != phaseOpen {
		return 0
	}
	return spool.Term(leader.record.Term)
}

// Primary returns the primary of the open term, or "".
func (leader *Leader) Primary() spool.Server {
	if leader.phase != phaseOpen {
		return ""
	}
	return spool.Server(leader.record.Primary)
}

func (leader *Leader) dispatch(event Event, now spool.Instant) {
	switch event := event.(type) {
	case LeaseGained:
		leader.acquireLease(event.Record, now)
	case LeaseLost:
		leader.stepDown(ReasonLeaseLost)
	case ServersChanged:
		leader.servers.update(event.Servers)
	case QuorumChanged:
		leader.witnesses = event.Members
		leader.domains = event.Domains
	case StatusReceived:
		leader.servers.recordStatus(event)
		leader.checkPromoted(event.Status, event.SentAt, now)
	case StatusFailed:
		leader.servers.recordFailure(event)
	case ProbeAnswered:
		leader.suspicion.recordAnswer(event)
	case TermRead, TermReadFailed, TermWritten:
		leader.dispatchPlatform(event, now)
	case Promoted: // a failure if checkPromoted does not accept the status
		leader.checkPromoted(event.Status, now, now)
		leader.promoteFailed(PromoteFailed{Server: event.Status.Server, Term: event.Term})
	case PromoteFailed:
		leader.promoteFailed(event)
	case MajorityVoted:
		leader.majorityVoted(event.Record, now)
	case Followed, FollowFailed, Tick:
	}
}

func (leader *Leader) step(now spool.Instant) {
	switch leader.phase {
	case phaseIdle:
		return
	case phaseReadingRecord:
		leader.awaitRecord(now)
	case phaseResuming:
		leader.resumeTerm(now)
	case phaseChoosing:
		leader.chooseCandidate(now)
	case phaseClaiming:
		leader.reopenIfReturned(now)
	case phasePromoting:
		leader.sendPromote(now)
	case phaseOpen:
		leader.supervise(now)
	case phaseVoting:
	}
	leader.watchPrimary(now)
	leader.stepPlatform(now)
}

func (leader *Leader) emit(effect Effect) { leader.effects = append(leader.effects, effect) }

func (leader *Leader) note(reason Reason) {
	leader.emit(Note{
		Reason: reason,
		Term:   spool.Term(leader.record.GetTerm()),
		Server: spool.Server(leader.record.GetPrimary()),
	})
}

func (leader *Leader) acquireLease(record *wire.TermRecord, now spool.Instant) {
	leader.stepDown(ReasonLeaseLost)
	leader.phase = phaseReadingRecord
	leader.record = lease.NewestRecord(leader.record, record)
	leader.gainedAt = now
	leader.choiceStart = now
	leader.unreached = ""
	leader.servers.resetRefusals()
	leader.platform.reset(now)
	leader.note(ReasonLeaseGained)
	leader.emit(Poll{})
}

// stepDown closes the term and drops all state that only the lease holder may use.
func (leader *Leader) stepDown(reason Reason) {
	leader.closeTerm(reason)
	leader.phase = phaseIdle
	leader.suspicion = suspicion{}
	leader.switchover = switchover{}
	leader.platform.abortWrite()
}

// closeTerm ends acknowledgements; the caller sets the next phase.
func (leader *Leader) closeTerm(reason Reason) {
	if leader.phase == phaseOpen {
		leader.emit(Close{Reason: reason})
	}
}

// replacePrimary starts the choice of a server to promote; no write is acknowledged until a term is open again.
func (leader *Leader) replacePrimary(reason Reason, now spool.Instant) {
	leader.note(reason)
	leader.closeTerm(reason)
	leader.phase = phaseChoosing
	leader.suspicion = suspicion{}
	leader.switchover = switchover{}
	leader.platform.abortWrite()
	leader.choiceStart = now
	leader.checkSince = now
	leader.noCandidateNoted = false
	leader.unreached = ""
	if reason == ReasonFailureConfirmed {
		leader.unreached = spool.Server(leader.record.Primary)
	}
	leader.emit(Poll{})
}

// awaitRecord waits up to PlatformTimeout for the platform's record, then uses the newest one known to the witnesses.
func (leader *Leader) awaitRecord(now spool.Instant) {
	if !leader.platform.readDone && now.Sub(leader.gainedAt) < leader.config.PlatformTimeout {
		return
	}
	if leader.record == nil {
		leader.createRecord(now)
		return
	}
	if !leader.record.Opened {
		leader.phase = phaseChoosing
		leader.noCandidateNoted = false
		return
	}
	leader.phase = phaseResuming
	leader.checkSince = leader.gainedAt
}

// createRecord writes the first record of a group, with the primary that its servers report.
func (leader *Leader) createRecord(now spool.Instant) {
	if !leader.platform.absent || leader.platform.pending != nil {
		return
	}
	if !leader.servers.polledSince(leader.gainedAt, "") && now.Sub(leader.gainedAt) < leader.config.SuspectAfter {
		return
	}
	primary, ok := leader.servers.highestPrimary(now, leader.config.MaxStatusAge)
	if !ok {
		leader.noteNoCandidate()
		return
	}
	if primary.Term == 0 {
		leader.claimTerm(primary, now)
		return
	}
	leader.writeRecord(writeFirst, &wire.TermRecord{
		Group:   string(leader.group),
		Term:    uint64(primary.Term),
		Primary: string(primary.Server),
		Start:   uint64(primary.Start),
		Opened:  true,
	}, now)
}

// resumeTerm requests votes for the recorded term once its primary's own status confirms it.
func (leader *Leader) resumeTerm(now spool.Instant) {
	if leader.primaryConfirmed(now) {
		leader.requestVotes()
	}
}

// requestVotes asks the witnesses to vote for the record; the term is opened once a majority has.
func (leader *Leader) requestVotes() {
	leader.phase = phaseVoting
	leader.emit(RequestVotes{Record: leader.record})
}

func (leader *Leader) majorityVoted(record *wire.TermRecord, now spool.Instant) {
	if leader.phase == phaseVoting && lease.CompareRecords(record, leader.record) >= 0 {
		leader.openTerm(now)
	}
}

func (leader *Leader) openTerm(now spool.Instant) {
	leader.phase = phaseOpen
	leader.checkSince = max(leader.checkSince, leader.gainedAt)
	leader.servers.resetFollows()
	leader.note(ReasonOpened)
	leader.emit(Open{
		Term:    spool.Term(leader.record.Term),
		Primary: spool.Server(leader.record.Primary),
		Start:   spool.Position(leader.record.Start),
		History: historyOf(leader.record),
	})
	leader.supervise(now)
}
