package terms

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// writeKind is the purpose of a conditional update.
type writeKind int

const (
	writeFirst  writeKind = iota // creates the record of a group that has none
	writeClaim                   // claims a new term for a candidate
	writeRaise                   // records a higher term for the current primary
	writeOpened                  // records that the term was opened
)

// platformRecord is the known state of the platform's record and of the calls that read and write it.
type platformRecord struct {
	record     *wire.TermRecord // as last read or written
	absent     bool             // the platform answered that it has no record
	readDone   bool             // a read was answered or failed since the lease was gained
	reading    bool
	readWanted bool // the next step has to read the record
	readAt     spool.Instant
	retryAt    spool.Instant
	answeredAt spool.Instant // when the platform last answered or the lease was gained
	pending    *pendingWrite
}

// pendingWrite is a conditional update whose outcome is unknown.
type pendingWrite struct {
	kind     writeKind
	record   *wire.TermRecord
	expected spool.Version
	sentAt   spool.Instant
	waiting  bool // its answer is outstanding
}

func (platform *platformRecord) reset(now spool.Instant) {
	platform.answeredAt = now
	platform.readDone = false
	platform.reading = false
	platform.readWanted = true
	platform.retryAt = 0
}

func (platform *platformRecord) abortWrite() { platform.pending = nil }

// update stores a record of the platform unless a newer version is known.
func (platform *platformRecord) update(record *wire.TermRecord) {
	if record.GetVersion() >= platform.record.GetVersion() {
		platform.record = record
	}
}

// writeRecord sends a conditional update with a new nonce.
func (leader *Leader) writeRecord(kind writeKind, record *wire.TermRecord, now spool.Instant) {
	leader.nonce++
	record.Holder = string(leader.self)
	record.Nonce = leader.nonce
	expected := max(leader.platform.record.GetVersion(), leader.record.GetVersion())
	leader.platform.pending = &pendingWrite{kind: kind, record: record, expected: spool.Version(expected)}
	leader.sendWrite(now)
}

func (leader *Leader) sendWrite(now spool.Instant) {
	pending := leader.platform.pending
	pending.sentAt = now
	pending.waiting = true
	leader.emit(WriteTerm{Expected: pending.expected, Record: pending.record})
}

func (leader *Leader) dispatchPlatform(event Event, now spool.Instant) {
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
	platform := &leader.platform
	if !platform.reading {
		return
	}
	platform.reading = false
	platform.readDone = true
	platform.readWanted = true
	platform.retryAt = now.Add(leader.config.PlatformRetry)
}

func (leader *Leader) termRead(record *wire.TermRecord, now spool.Instant) {
	platform := &leader.platform
	platform.answeredAt = now
	platform.reading = false
	platform.readWanted = false
	platform.readDone = true
	platform.absent = record == nil && platform.record == nil
	platform.update(record)
	if leader.phase == phaseIdle {
		return
	}
	pending := platform.pending
	if pending == nil {
		leader.adoptRecord(now)
		return
	}
	if pending.matches(platform.record) {
		leader.writeDone(spool.Version(platform.record.Version), now)
		return
	}
	if spool.Version(platform.record.GetVersion()) <= pending.expected {
		if !pending.waiting {
			leader.sendWrite(now)
		}
		return
	}
	platform.pending = nil
	leader.adoptRecord(now)
}

// matches reports whether the platform's record is the one of this update.
func (pending *pendingWrite) matches(record *wire.TermRecord) bool {
	return record != nil && record.Holder == pending.record.Holder && record.Nonce == pending.record.Nonce
}

// adoptRecord continues from a record of the platform that may come from another leader.
func (leader *Leader) adoptRecord(now spool.Instant) {
	stored := leader.platform.record
	switch leader.phase {
	case phaseReadingRecord, phaseChoosing:
		leader.record = lease.NewestRecord(leader.record, stored)
	case phaseClaiming:
		leader.record = lease.NewestRecord(leader.record, stored)
		leader.phase = phaseChoosing
	case phaseIdle, phaseResuming, phasePromoting, phaseVoting, phaseOpen:
		if stored.GetTerm() > leader.record.GetTerm() && stored.Opened {
			leader.record = stored
			leader.replacePrimary(ReasonNewerTerm, now)
		}
	}
}

func (leader *Leader) termWritten(event TermWritten, now spool.Instant) {
	pending := leader.platform.pending
	if pending == nil || pending.record.Nonce != event.Nonce {
		return
	}
	if event.Result != WriteUnknown {
		leader.platform.answeredAt = now
	}
	if event.Result == WriteDone {
		leader.writeDone(event.Version, now)
		return
	}
	pending.waiting = false
	leader.platform.readWanted = true
	if event.Result == WriteUnknown {
		leader.note(ReasonWriteUnknown)
	}
}

// writeDone continues after a conditional update that took effect.
func (leader *Leader) writeDone(version spool.Version, now spool.Instant) {
	pending := leader.platform.pending
	record := proto.Clone(pending.record).(*wire.TermRecord)
	record.Version = uint64(version)
	leader.platform.pending = nil
	leader.platform.absent = false
	leader.platform.update(record)
	switch pending.kind {
	case writeOpened:
		if record.Term == leader.record.Term {
			leader.record = lease.NewestRecord(leader.record, record)
		}
	case writeFirst:
		leader.record = record
		leader.checkSince = leader.gainedAt
		leader.phase = phaseResuming
	case writeClaim:
		leader.record = record
		leader.startPromotion(now)
	case writeRaise:
		leader.closeTerm(ReasonUnopenedTerm)
		leader.record = record
		leader.startPromotion(now)
	}
}

// stepPlatform sends reads that are due, times out unanswered calls and yields a lease that needs the platform if it
// does not answer.
func (leader *Leader) stepPlatform(now spool.Instant) {
	platform := &leader.platform
	wait := leader.config.PlatformTimeout
	if platform.reading && now.Sub(platform.readAt) >= wait {
		leader.readFailed(now)
	}
	if pending := platform.pending; pending != nil && pending.waiting && now.Sub(pending.sentAt) >= wait {
		pending.waiting = false
		platform.readWanted = true
		leader.note(ReasonWriteUnknown)
	}
	if leader.phase == phaseIdle || !platform.readWanted || platform.reading || now < platform.retryAt {
		return
	}
	if leader.needsPlatform() && now.Sub(platform.answeredAt) >= leader.config.PlatformLostAfter {
		platform.answeredAt = now
		leader.note(ReasonPlatformUnreachable)
		leader.emit(Yield{Backoff: leader.config.YieldBackoff})
	}
	platform.reading = true
	platform.readAt = now
	leader.emit(ReadTerm{Group: leader.group})
}

// needsPlatform reports whether no term can be opened before the platform answers; another proxy may be able to reach
// it.
func (leader *Leader) needsPlatform() bool {
	switch leader.phase {
	case phaseReadingRecord, phaseChoosing, phaseClaiming:
		return true
	case phaseIdle, phaseResuming, phasePromoting, phaseVoting, phaseOpen:
	}
	return false
}
