package terms

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// writeKind says what a conditional update is for.
type writeKind int

const (
	writeFirst  writeKind = iota // the record of a group that has none
	writeClaim                   // a promotion
	writeRaise                   // a new term for the primary of the open one
	writeOpened                  // that the term was opened
)

// store is what is known of the platform's record.
type store struct {
	record   *wire.TermRecord // as last read or written
	absent   bool             // the platform was read to have no record
	answered bool             // a read since the lease was gained was answered or failed
	reading  bool
	wanted   bool // a read is to be asked for
	readAt   spool.Instant
	retryAt  spool.Instant
	heardAt  spool.Instant // when the platform last answered, or the lease was gained
	pending  *write
}

// write is a conditional update whose outcome is not known.
type write struct {
	kind     writeKind
	record   *wire.TermRecord
	expected spool.Version
	sentAt   spool.Instant
	waiting  bool // for its answer
}

func (store *store) restart(now spool.Instant) {
	store.heardAt = now
	store.answered = false
	store.reading = false
	store.wanted = true
	store.retryAt = 0
}

func (store *store) abort() { store.pending = nil }

// learn takes in a record of the platform unless a newer one is known.
func (store *store) learn(record *wire.TermRecord) {
	if record.GetVersion() >= store.record.GetVersion() {
		store.record = record
	}
}

// write asks for a conditional update with a nonce of its own.
func (leader *Leader) write(kind writeKind, record *wire.TermRecord, now spool.Instant) {
	leader.nonce++
	record.Holder = string(leader.self)
	record.Nonce = leader.nonce
	expected := max(leader.store.record.GetVersion(), leader.record.GetVersion())
	leader.store.pending = &write{kind: kind, record: record, expected: spool.Version(expected)}
	leader.send(now)
}

func (leader *Leader) send(now spool.Instant) {
	pending := leader.store.pending
	pending.sentAt = now
	pending.waiting = true
	leader.emit(WriteTerm{Expected: pending.expected, Record: pending.record})
}

func (leader *Leader) applyPlatform(event Event, now spool.Instant) {
	switch event := event.(type) {
	case TermRead:
		leader.termRead(event.Record, now)
	case TermReadFailed:
		leader.readFailed(now)
	case TermWritten:
		leader.termWritten(event, now)
	}
}

func (leader *Leader) readFailed(now spool.Instant) {
	store := &leader.store
	if !store.reading {
		return
	}
	store.reading = false
	store.answered = true
	store.wanted = true
	store.retryAt = now.Add(leader.config.PlatformRetry)
}

func (leader *Leader) termRead(record *wire.TermRecord, now spool.Instant) {
	store := &leader.store
	store.heardAt = now
	store.reading = false
	store.wanted = false
	store.answered = true
	store.absent = record == nil && store.record == nil
	store.learn(record)
	if leader.phase == phaseIdle {
		return
	}
	pending := store.pending
	if pending == nil {
		leader.adopt(now)
		return
	}
	if pending.isIn(store.record) {
		leader.written(spool.Version(store.record.Version), now)
		return
	}
	if spool.Version(store.record.GetVersion()) <= pending.expected {
		if !pending.waiting {
			leader.send(now)
		}
		return
	}
	store.pending = nil
	leader.adopt(now)
}

// isIn tells whether the platform's record is the one that was to be written.
func (write *write) isIn(record *wire.TermRecord) bool {
	return record != nil && record.Holder == write.record.Holder && record.Nonce == write.record.Nonce
}

// adopt goes on from a record of the platform that may be another leader's.
func (leader *Leader) adopt(now spool.Instant) {
	stored := leader.store.record
	switch leader.phase {
	case phaseFinding, phaseChoosing:
		leader.record = lease.NewestRecord(leader.record, stored)
	case phaseClaiming:
		leader.record = lease.NewestRecord(leader.record, stored)
		leader.phase = phaseChoosing
	case phaseIdle, phaseResuming, phasePromoting, phaseVoting, phaseOpen:
		if stored.GetTerm() > leader.record.GetTerm() && stored.Opened {
			leader.record = stored
			leader.replace(ReasonReplaced, now)
		}
	}
}

func (leader *Leader) termWritten(event TermWritten, now spool.Instant) {
	pending := leader.store.pending
	if pending == nil || pending.record.Nonce != event.Nonce {
		return
	}
	if event.Result != WriteUnknown {
		leader.store.heardAt = now
	}
	if event.Result == WriteDone {
		leader.written(event.Version, now)
		return
	}
	pending.waiting = false
	leader.store.wanted = true
	if event.Result == WriteUnknown {
		leader.note(ReasonWriteUnknown)
	}
}

// written goes on after a conditional update that took effect.
func (leader *Leader) written(version spool.Version, now spool.Instant) {
	pending := leader.store.pending
	record := proto.Clone(pending.record).(*wire.TermRecord)
	record.Version = uint64(version)
	leader.store.pending = nil
	leader.store.absent = false
	leader.store.learn(record)
	switch pending.kind {
	case writeOpened:
		if record.Term == leader.record.Term {
			leader.record = lease.NewestRecord(leader.record, record)
		}
	case writeFirst:
		leader.record = record
		leader.checkedAt = leader.gainedAt
		leader.phase = phaseResuming
	case writeClaim:
		leader.record = record
		leader.startOrder(now)
	case writeRaise:
		leader.shut(ReasonRaised)
		leader.record = record
		leader.startOrder(now)
	}
}

// stepPlatform asks for reads that are due and gives up on calls without an answer.
func (leader *Leader) stepPlatform(now spool.Instant) {
	store := &leader.store
	wait := leader.config.PlatformWait
	if store.reading && now.Sub(store.readAt) >= wait {
		leader.readFailed(now)
	}
	if pending := store.pending; pending != nil && pending.waiting && now.Sub(pending.sentAt) >= wait {
		pending.waiting = false
		store.wanted = true
		leader.note(ReasonWriteUnknown)
	}
	if leader.phase == phaseIdle || !store.wanted || store.reading || now < store.retryAt {
		return
	}
	if leader.needsPlatform() && now.Sub(store.heardAt) >= leader.config.PlatformGone {
		store.heardAt = now
		leader.note(ReasonPlatformGone)
		leader.emit(Yield{BackOff: leader.config.BackOff})
	}
	store.reading = true
	store.readAt = now
	leader.emit(ReadTerm{Group: leader.group})
}

// needsPlatform tells whether no term can be opened before the platform answers; another proxy may reach it.
func (leader *Leader) needsPlatform() bool {
	switch leader.phase {
	case phaseFinding, phaseChoosing, phaseClaiming:
		return true
	case phaseIdle, phaseResuming, phasePromoting, phaseVoting, phaseOpen:
	}
	return false
}
