package lease

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// support is what a holder knows of one witness since the lease was last sought.
type support struct {
	asked      bool
	due        bool // is asked by the next Due
	askedAt    spool.Instant
	flights    map[uint64]flight // by sequence
	granted    bool
	refused    bool
	countedAt  spool.Instant    // the latest request that was granted
	backed     *wire.TermRecord // the newest record that the witness voted with
	rival      spool.VM
	rivalUntil spool.Instant
}

// flight is a request that waits for its answer.
type flight struct {
	sentAt spool.Instant
	record *wire.TermRecord
}

// wants tells whether the witness is to be asked now.
func (support *support) wants(now spool.Instant, renew time.Duration) bool {
	return !support.asked || support.due || now.Sub(support.askedAt) >= renew
}

// send notes a request and forgets those whose answers would come too late to count.
func (support *support) send(sequence uint64, sent flight, counted time.Duration) {
	for earlier, other := range support.flights {
		if sent.sentAt.Sub(other.sentAt) >= counted {
			delete(support.flights, earlier)
		}
	}
	support.asked = true
	support.due = false
	support.askedAt = sent.sentAt
	support.flights[sequence] = sent
}

// grant counts a vote from the instant at which it was asked for.
func (support *support) grant(answered flight, countedAt spool.Instant) {
	if !support.granted || countedAt > support.countedAt {
		support.countedAt = countedAt
	}
	support.granted = true
	support.refused = false
	support.backed = NewestRecord(support.backed, answered.record)
}

// refuse notes a refusal and the rival that it names; earlier votes run on.
func (support *support) refuse(answer *wire.VoteAnswer, now spool.Instant) {
	support.refused = true
	if answer.Holder == "" {
		return
	}
	support.rival = spool.VM(answer.Holder)
	support.rivalUntil = now.Add(time.Duration(answer.RemainingNanos))
}
