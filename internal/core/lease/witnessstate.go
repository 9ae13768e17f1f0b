package lease

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// witnessState is a holder's view of one witness, kept until the attempt or the lease ends.
type witnessState struct {
	requested   bool
	due         bool // the next DueRequests includes a request whatever the interval
	requestedAt spool.Instant
	pending     map[uint64]pendingRequest // by sequence
	granted     bool
	refused     bool
	countedAt   spool.Instant    // when the latest granted request was sent
	votedRecord *wire.TermRecord // the newest record that the witness voted with
	rival       spool.VM
	rivalUntil  spool.Instant
}

// pendingRequest is a request without an answer so far.
type pendingRequest struct {
	sentAt spool.Instant
	record *wire.TermRecord
}

// requestDue reports whether a request to the witness is due.
func (witnessState *witnessState) requestDue(now spool.Instant, renewInterval time.Duration) bool {
	return !witnessState.requested || witnessState.due || now.Sub(witnessState.requestedAt) >= renewInterval
}

// recordSent records a request and drops those so old that a vote in answer would already have expired.
func (witnessState *witnessState) recordSent(sequence uint64, sent pendingRequest, holderLifetime time.Duration) {
	for earlier, other := range witnessState.pending {
		if sent.sentAt.Sub(other.sentAt) >= holderLifetime {
			delete(witnessState.pending, earlier)
		}
	}
	witnessState.requested = true
	witnessState.due = false
	witnessState.requestedAt = sent.sentAt
	witnessState.pending[sequence] = sent
}

// recordGrant records a vote whose lifetime is counted from countedAt.
func (witnessState *witnessState) recordGrant(request pendingRequest, countedAt spool.Instant) {
	if !witnessState.granted || countedAt > witnessState.countedAt {
		witnessState.countedAt = countedAt
	}
	witnessState.granted = true
	witnessState.refused = false
	witnessState.votedRecord = NewestRecord(witnessState.votedRecord, request.record)
}

// recordRefusal records a refusal and the rival that it names; earlier votes remain valid.
func (witnessState *witnessState) recordRefusal(answer *wire.VoteAnswer, now spool.Instant) {
	witnessState.refused = true
	if answer.Holder == "" {
		return
	}
	witnessState.rival = spool.VM(answer.Holder)
	witnessState.rivalUntil = now.Add(time.Duration(answer.RemainingNanos))
}
