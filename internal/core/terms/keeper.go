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
	phasePledging               // waits for a majority's pledges with the record
	phaseOpen
)

// Keeper decides for one group at one proxy.
type Keeper struct {
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

// NewKeeper returns a keeper that waits for LeaseGained; nonce, a random number, tells the writes of this start of the
// VM from all others.
func NewKeeper(group spool.Group, self spool.VM, nonce uint64, options ...Option) *Keeper {
	config := DefaultConfig()
	for _, option := range options {
		option(&config)
	}
	return &Keeper{group: group, self: self, nonce: nonce, config: config, servers: servers{}}
}

// Handle takes in one event and returns what to do, in order.
func (keeper *Keeper) Handle(event Event, now spool.Instant) []Effect {
	if now.Sub(keeper.lastAt) > keeper.config.PauseGap {
		keeper.wokenAt = now
	}
	keeper.lastAt = now
	keeper.apply(event, now)
	keeper.step(now)
	effects := keeper.effects
	keeper.effects = nil
	return effects
}

// OpenTerm returns the term that may be acknowledged while the lease is held, or zero.
func (keeper *Keeper) OpenTerm() spool.Term {
	if keeper.phase != phaseOpen {
		return 0
	}
	return spool.Term(keeper.record.Term)
}

// Primary returns the primary of the open term, or the empty name.
func (keeper *Keeper) Primary() spool.Server {
	if keeper.phase != phaseOpen {
		return ""
	}
	return spool.Server(keeper.record.Primary)
}

func (keeper *Keeper) apply(event Event, now spool.Instant) {
	switch event := event.(type) {
	case LeaseGained:
		keeper.gain(event.Record, now)
	case LeaseLost:
		keeper.lose(ReasonLeaseLost)
	case ServersChanged:
		keeper.servers.set(event.Servers)
	case RosterChanged:
		keeper.witnesses = event.Members
		keeper.domains = event.Domains
	case StatusSeen:
		keeper.servers.seen(event)
		keeper.promotedBy(event.Status, event.SentAt, now)
	case StatusFailed:
		keeper.servers.failed(event)
	case ProbeSeen:
		keeper.suspicion.answer(event)
	case TermRead, TermReadFailed, TermWritten:
		keeper.applyPlatform(event, now)
	case Promoted:
		keeper.promotedBy(event.Status, now, now)
		keeper.promoteFailed(PromoteFailed{Server: event.Status.Server, Term: event.Term})
	case PromoteFailed:
		keeper.promoteFailed(event)
	case Backed:
		keeper.backed(event.Record, now)
	case Followed, FollowFailed, Tick:
	}
}

func (keeper *Keeper) step(now spool.Instant) {
	switch keeper.phase {
	case phaseIdle:
		return
	case phaseFinding:
		keeper.find(now)
	case phaseResuming:
		keeper.resume(now)
	case phaseChoosing:
		keeper.choose(now)
	case phaseClaiming:
		keeper.relent(now)
	case phasePromoting:
		keeper.promote(now)
	case phaseOpen:
		keeper.supervise(now)
	case phasePledging:
	}
	keeper.watch(now)
	keeper.stepPlatform(now)
}

func (keeper *Keeper) emit(effect Effect) { keeper.effects = append(keeper.effects, effect) }

func (keeper *Keeper) note(reason Reason) {
	keeper.emit(Note{
		Reason: reason,
		Term:   spool.Term(keeper.record.GetTerm()),
		Server: spool.Server(keeper.record.GetPrimary()),
	})
}

func (keeper *Keeper) gain(record *wire.TermRecord, now spool.Instant) {
	keeper.lose(ReasonLeaseLost)
	keeper.phase = phaseFinding
	keeper.record = lease.NewestRecord(keeper.record, record)
	keeper.gainedAt = now
	keeper.sealedAt = now
	keeper.doubted = ""
	keeper.servers.forgetRefusals()
	keeper.store.restart(now)
	keeper.note(ReasonLeaseGained)
	keeper.emit(Poll{})
}

// lose ends all that only the holder of the lease may do.
func (keeper *Keeper) lose(reason Reason) {
	keeper.shut(reason)
	keeper.phase = phaseIdle
	keeper.suspicion = suspicion{}
	keeper.handover = handover{}
	keeper.store.abort()
}

// shut ends acknowledgements; the caller sets the next phase.
func (keeper *Keeper) shut(reason Reason) {
	if keeper.phase == phaseOpen {
		keeper.emit(Closed{Reason: reason})
	}
}

// replace looks for a server to promote; nothing is acknowledged until a new term is open.
func (keeper *Keeper) replace(reason Reason, now spool.Instant) {
	keeper.note(reason)
	keeper.shut(reason)
	keeper.phase = phaseChoosing
	keeper.suspicion = suspicion{}
	keeper.handover = handover{}
	keeper.store.abort()
	keeper.sealedAt = now
	keeper.checkedAt = now
	keeper.noted = false
	keeper.doubted = ""
	if reason == ReasonConfirmed {
		keeper.doubted = spool.Server(keeper.record.Primary)
	}
	keeper.emit(Poll{})
}

// find waits for the platform's record and falls back on that of the pledges.
func (keeper *Keeper) find(now spool.Instant) {
	if !keeper.store.answered && now.Sub(keeper.gainedAt) < keeper.config.PlatformWait {
		return
	}
	if keeper.record == nil {
		keeper.create(now)
		return
	}
	if !keeper.record.Opened {
		keeper.phase = phaseChoosing
		keeper.noted = false
		return
	}
	keeper.phase = phaseResuming
	keeper.checkedAt = keeper.gainedAt
}

// create records the primary of a group that has no record yet.
func (keeper *Keeper) create(now spool.Instant) {
	if !keeper.store.absent || keeper.store.pending != nil {
		return
	}
	if !keeper.servers.heard(keeper.gainedAt, "") && now.Sub(keeper.gainedAt) < keeper.config.SuspectAfter {
		return
	}
	primary, ok := keeper.servers.highestPrimary(now, keeper.config.Fresh)
	if !ok {
		keeper.noteNoCandidate()
		return
	}
	if primary.Term == 0 {
		keeper.claim(primary, now)
		return
	}
	keeper.write(writeFirst, &wire.TermRecord{
		Group:   string(keeper.group),
		Term:    uint64(primary.Term),
		Primary: string(primary.Server),
		Start:   uint64(primary.Start),
		Opened:  true,
	}, now)
}

// resume opens the recorded term once its primary's own status shows it.
func (keeper *Keeper) resume(now spool.Instant) {
	if keeper.shows(now) {
		keeper.pledge()
	}
}

// pledge asks a majority to pledge with the record before the term is opened.
func (keeper *Keeper) pledge() {
	keeper.phase = phasePledging
	keeper.emit(Pledge{Record: keeper.record})
}

func (keeper *Keeper) backed(record *wire.TermRecord, now spool.Instant) {
	if keeper.phase == phasePledging && lease.CompareRecords(record, keeper.record) >= 0 {
		keeper.open(now)
	}
}

func (keeper *Keeper) open(now spool.Instant) {
	keeper.phase = phaseOpen
	keeper.checkedAt = max(keeper.checkedAt, keeper.gainedAt)
	keeper.servers.forgetOrders()
	keeper.note(ReasonOpened)
	keeper.emit(Open{
		Term:    spool.Term(keeper.record.Term),
		Primary: spool.Server(keeper.record.Primary),
		Start:   spool.Position(keeper.record.Start),
		History: historyOf(keeper.record),
	})
	keeper.supervise(now)
}
