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
func (keeper *Keeper) write(kind writeKind, record *wire.TermRecord, now spool.Instant) {
	keeper.nonce++
	record.Holder = string(keeper.self)
	record.Nonce = keeper.nonce
	expected := max(keeper.store.record.GetVersion(), keeper.record.GetVersion())
	keeper.store.pending = &write{kind: kind, record: record, expected: spool.Version(expected)}
	keeper.send(now)
}

func (keeper *Keeper) send(now spool.Instant) {
	pending := keeper.store.pending
	pending.sentAt = now
	pending.waiting = true
	keeper.emit(WriteTerm{Expected: pending.expected, Record: pending.record})
}

func (keeper *Keeper) applyPlatform(event Event, now spool.Instant) {
	switch event := event.(type) {
	case TermRead:
		keeper.termRead(event.Record, now)
	case TermReadFailed:
		keeper.readFailed(now)
	case TermWritten:
		keeper.termWritten(event, now)
	}
}

func (keeper *Keeper) readFailed(now spool.Instant) {
	store := &keeper.store
	if !store.reading {
		return
	}
	store.reading = false
	store.answered = true
	store.wanted = true
	store.retryAt = now.Add(keeper.config.PlatformRetry)
}

func (keeper *Keeper) termRead(record *wire.TermRecord, now spool.Instant) {
	store := &keeper.store
	store.heardAt = now
	store.reading = false
	store.wanted = false
	store.answered = true
	store.absent = record == nil && store.record == nil
	store.learn(record)
	if keeper.phase == phaseIdle {
		return
	}
	pending := store.pending
	if pending == nil {
		keeper.adopt(now)
		return
	}
	if pending.isIn(store.record) {
		keeper.written(spool.Version(store.record.Version), now)
		return
	}
	if spool.Version(store.record.GetVersion()) <= pending.expected {
		if !pending.waiting {
			keeper.send(now)
		}
		return
	}
	store.pending = nil
	keeper.adopt(now)
}

// isIn tells whether the platform's record is the one that was to be written.
func (write *write) isIn(record *wire.TermRecord) bool {
	return record != nil && record.Holder == write.record.Holder && record.Nonce == write.record.Nonce
}

// adopt goes on from a record of the platform that may be another keeper's.
func (keeper *Keeper) adopt(now spool.Instant) {
	stored := keeper.store.record
	switch keeper.phase {
	case phaseFinding, phaseChoosing:
		keeper.record = lease.NewestRecord(keeper.record, stored)
	case phaseClaiming:
		keeper.record = lease.NewestRecord(keeper.record, stored)
		keeper.phase = phaseChoosing
	case phaseIdle, phaseResuming, phasePromoting, phasePledging, phaseOpen:
		if stored.GetTerm() > keeper.record.GetTerm() && stored.Opened {
			keeper.record = stored
			keeper.replace(ReasonReplaced, now)
		}
	}
}

func (keeper *Keeper) termWritten(event TermWritten, now spool.Instant) {
	pending := keeper.store.pending
	if pending == nil || pending.record.Nonce != event.Nonce {
		return
	}
	if event.Result != WriteUnknown {
		keeper.store.heardAt = now
	}
	if event.Result == WriteDone {
		keeper.written(event.Version, now)
		return
	}
	pending.waiting = false
	keeper.store.wanted = true
	if event.Result == WriteUnknown {
		keeper.note(ReasonWriteUnknown)
	}
}

// written goes on after a conditional update that took effect.
func (keeper *Keeper) written(version spool.Version, now spool.Instant) {
	pending := keeper.store.pending
	record := proto.Clone(pending.record).(*wire.TermRecord)
	record.Version = uint64(version)
	keeper.store.pending = nil
	keeper.store.absent = false
	keeper.store.learn(record)
	switch pending.kind {
	case writeOpened:
		if record.Term == keeper.record.Term {
			keeper.record = lease.NewestRecord(keeper.record, record)
		}
	case writeFirst:
		keeper.record = record
		keeper.checkedAt = keeper.gainedAt
		keeper.phase = phaseResuming
	case writeClaim:
		keeper.record = record
		keeper.startOrder(now)
	case writeRaise:
		keeper.shut(ReasonRaised)
		keeper.record = record
		keeper.startOrder(now)
	}
}

// stepPlatform asks for reads that are due and gives up on calls without an answer.
func (keeper *Keeper) stepPlatform(now spool.Instant) {
	store := &keeper.store
	wait := keeper.config.PlatformWait
	if store.reading && now.Sub(store.readAt) >= wait {
		keeper.readFailed(now)
	}
	if pending := store.pending; pending != nil && pending.waiting && now.Sub(pending.sentAt) >= wait {
		pending.waiting = false
		store.wanted = true
		keeper.note(ReasonWriteUnknown)
	}
	if keeper.phase == phaseIdle || !store.wanted || store.reading || now < store.retryAt {
		return
	}
	if keeper.needsPlatform() && now.Sub(store.heardAt) >= keeper.config.PlatformGone {
		store.heardAt = now
		keeper.note(ReasonPlatformGone)
		keeper.emit(Yield{BackOff: keeper.config.BackOff})
	}
	store.reading = true
	store.readAt = now
	keeper.emit(ReadTerm{Group: keeper.group})
}

// needsPlatform tells whether no term can be opened before the platform answers; another proxy may reach it.
func (keeper *Keeper) needsPlatform() bool {
	switch keeper.phase {
	case phaseFinding, phaseChoosing, phaseClaiming:
		return true
	case phaseIdle, phaseResuming, phasePromoting, phasePledging, phaseOpen:
	}
	return false
}
