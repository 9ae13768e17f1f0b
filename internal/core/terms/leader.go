package terms

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

type phase int

const (
	phaseIdle      phase = iota // the lease is not held
	phaseFinding                // waits for the platform's record
	phaseResuming               // waits for the recorded primary's status
	phaseChoosing               // waits for the servers' statuses to choose a candidate
	phaseClaiming               // waits for the conditional update
	phasePromoting              // waits for the candidate
	phaseVoting                 // waits for a majority's votes with the record
	phaseOpen
)

// Leader decides for one group at one proxy.
type Leader struct {
	group   spool.Group
	self    spool.VM
	config  Config
	nonce   uint64
	effects []Effect

	phase     phase
	record    *wire.TermRecord // the newest record known
	gainedAt  spool.Instant
	sealedAt  spool.Instant // statuses asked for since then count in the choice
	checkedAt spool.Instant // statuses asked for since then must show the recorded primary
	lastAt    spool.Instant
	wokenAt   spool.Instant // end of the last pause of this proxy
	doubted   spool.Server  // the primary that a majority did not reach, whose status is not waited for
	noted     bool          // NoCandidate was noted since sealedAt

	servers   servers
	witnesses []spool.VM
	domains   map[spool.VM]spool.Domain
	suspicion suspicion
	handover  handover
	store     store
	order     order
}

// NewLeader returns a leader that waits for LeaseGained; nonce, a random number, tells the writes of this start of the
// VM from all others.
func NewLeader(group spool.Group, self spool.VM, nonce uint64, options ...Option) *Leader {
	config := DefaultConfig()
	for _, option := range options {
		option(&config)
	}
	return &Leader{group: group, self: self, nonce: nonce, config: config, servers: servers{}}
}

// Handle takes in one event and returns what to do, in order.
func (leader *Leader) Handle(event Event, now spool.Instant) []Effect {
	if now.Sub(leader.lastAt) > leader.config.PauseGap {
		leader.wokenAt = now
	}
	leader.lastAt = now
	leader.apply(event, now)
	leader.step(now)
	effects := leader.effects
	leader.effects = nil
	return effects
}

// OpenTerm returns the term that may be acknowledged while the lease is held, or zero.
func (leader *Leader) OpenTerm() spool.Term {
	if leader.phase != phaseOpen {
		return 0
	}
	return spool.Term(leader.record.Term)
}

// Primary returns the primary of the open term, or the empty name.
func (leader *Leader) Primary() spool.Server {
	if leader.phase != phaseOpen {
		return ""
	}
	return spool.Server(leader.record.Primary)
}

func (leader *Leader) apply(event Event, now spool.Instant) {
	switch event := event.(type) {
	case LeaseGained:
		leader.gain(event.Record, now)
	case LeaseLost:
		leader.lose(ReasonLeaseLost)
	case ServersChanged:
		leader.servers.set(event.Servers)
	case QuorumChanged:
		leader.witnesses = event.Members
		leader.domains = event.Domains
	case StatusSeen:
		leader.servers.seen(event)
		leader.promotedBy(event.Status, event.SentAt, now)
	case StatusFailed:
		leader.servers.failed(event)
	case ProbeSeen:
		leader.suspicion.answer(event)
	case TermRead, TermReadFailed, TermWritten:
		leader.applyPlatform(event, now)
	case Promoted:
		leader.promotedBy(event.Status, now, now)
		leader.promoteFailed(PromoteFailed{Server: event.Status.Server, Term: event.Term})
	case PromoteFailed:
		leader.promoteFailed(event)
	case Backed:
		leader.backed(event.Record, now)
	case Followed, FollowFailed, Tick:
	}
}

func (leader *Leader) step(now spool.Instant) {
	switch leader.phase {
	case phaseIdle:
		return
	case phaseFinding:
		leader.find(now)
	case phaseResuming:
		leader.resume(now)
	case phaseChoosing:
		leader.choose(now)
	case phaseClaiming:
		leader.relent(now)
	case phasePromoting:
		leader.promote(now)
	case phaseOpen:
		leader.supervise(now)
	case phaseVoting:
	}
	leader.watch(now)
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

func (leader *Leader) gain(record *wire.TermRecord, now spool.Instant) {
	leader.lose(ReasonLeaseLost)
	leader.phase = phaseFinding
	leader.record = lease.NewestRecord(leader.record, record)
	leader.gainedAt = now
	leader.sealedAt = now
	leader.doubted = ""
	leader.servers.forgetRefusals()
	leader.store.restart(now)
	leader.note(ReasonLeaseGained)
	leader.emit(Poll{})
}

// lose ends all that only the holder of the lease may do.
func (leader *Leader) lose(reason Reason) {
	leader.shut(reason)
	leader.phase = phaseIdle
	leader.suspicion = suspicion{}
	leader.handover = handover{}
	leader.store.abort()
}

// shut ends acknowledgements; the caller sets the next phase.
func (leader *Leader) shut(reason Reason) {
	if leader.phase == phaseOpen {
		leader.emit(Closed{Reason: reason})
	}
}

// replace looks for a server to promote; nothing is acknowledged until a new term is open.
func (leader *Leader) replace(reason Reason, now spool.Instant) {
	leader.note(reason)
	leader.shut(reason)
	leader.phase = phaseChoosing
	leader.suspicion = suspicion{}
	leader.handover = handover{}
	leader.store.abort()
	leader.sealedAt = now
	leader.checkedAt = now
	leader.noted = false
	leader.doubted = ""
	if reason == ReasonConfirmed {
		leader.doubted = spool.Server(leader.record.Primary)
	}
	leader.emit(Poll{})
}

// find waits for the platform's record and falls back on that of the votes.
func (leader *Leader) find(now spool.Instant) {
	if !leader.store.answered && now.Sub(leader.gainedAt) < leader.config.PlatformWait {
		return
	}
	if leader.record == nil {
		leader.create(now)
		return
	}
	if !leader.record.Opened {
		leader.phase = phaseChoosing
		leader.noted = false
		return
	}
	leader.phase = phaseResuming
	leader.checkedAt = leader.gainedAt
}

// create records the primary of a group that has no record yet.
func (leader *Leader) create(now spool.Instant) {
	if !leader.store.absent || leader.store.pending != nil {
		return
	}
	if !leader.servers.heard(leader.gainedAt, "") && now.Sub(leader.gainedAt) < leader.config.SuspectAfter {
		return
	}
	primary, ok := leader.servers.highestPrimary(now, leader.config.Fresh)
	if !ok {
		leader.noteNoCandidate()
		return
	}
	if primary.Term == 0 {
		leader.claim(primary, now)
		return
	}
	leader.write(writeFirst, &wire.TermRecord{
		Group:   string(leader.group),
		Term:    uint64(primary.Term),
		Primary: string(primary.Server),
		Start:   uint64(primary.Start),
		Opened:  true,
	}, now)
}

// resume opens the recorded term once its primary's own status shows it.
func (leader *Leader) resume(now spool.Instant) {
	if leader.shows(now) {
		leader.vote()
	}
}

// vote asks a majority to vote with the record before the term is opened.
func (leader *Leader) vote() {
	leader.phase = phaseVoting
	leader.emit(Vote{Record: leader.record})
}

func (leader *Leader) backed(record *wire.TermRecord, now spool.Instant) {
	if leader.phase == phaseVoting && lease.CompareRecords(record, leader.record) >= 0 {
		leader.open(now)
	}
}

func (leader *Leader) open(now spool.Instant) {
	leader.phase = phaseOpen
	leader.checkedAt = max(leader.checkedAt, leader.gainedAt)
	leader.servers.forgetOrders()
	leader.note(ReasonOpened)
	leader.emit(Open{
		Term:    spool.Term(leader.record.Term),
		Primary: spool.Server(leader.record.Primary),
		Start:   spool.Position(leader.record.Start),
		History: historyOf(leader.record),
	})
	leader.supervise(now)
}
