package share

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const sentKept = 32 // requests whose late answers a client still takes

// ledger keeps the reports and requests for which a client waits for an answer.
type ledger struct {
	sequence uint64
	sent     [sentKept]sentRequest
	uses     []use
}

type sentRequest struct {
	sequence uint64
	want     float64
	at       spool.Instant
	answered bool
}

// use is the report of a closed grant; it is repeated until a request that carried it is answered.
type use struct {
	grant     uint64
	unused    int
	closed    spool.Instant
	firstSent uint64
}

func (ledger *ledger) report(holding holding, now spool.Instant) {
	ledger.uses = append(ledger.uses, use{grant: holding.grant, unused: holding.left, closed: now})
}

// send numbers a request and attaches the reports.
func (ledger *ledger) send(request *wire.GrantRequest, now spool.Instant) {
	ledger.sequence++
	request.Sequence = ledger.sequence
	ledger.sent[ledger.sequence%sentKept] = sentRequest{sequence: ledger.sequence, want: request.GetWant(), at: now}
	for i := range ledger.uses {
		use := &ledger.uses[i]
		if use.firstSent == 0 {
			use.firstSent = ledger.sequence
		}
		request.Returned = append(request.Returned, &wire.GrantUse{Grant: use.grant, Unused: float64(use.unused)})
	}
}

// answered returns the request with that sequence, once for each request.
func (ledger *ledger) answered(sequence uint64) (request sentRequest, first bool) {
	sent := &ledger.sent[sequence%sentKept]
	if sent.sequence != sequence || sequence == 0 || sent.answered {
		return sentRequest{}, false
	}
	sent.answered = true
	kept := ledger.uses[:0]
	for _, use := range ledger.uses {
		if use.firstSent == 0 || use.firstSent > sequence {
			kept = append(kept, use)
		}
	}
	ledger.uses = kept
	return *sent, true
}

// forget drops the reports of grants that the owner has counted as dead by now.
func (ledger *ledger) forget(before spool.Instant) {
	kept := ledger.uses[:0]
	for _, use := range ledger.uses {
		if use.closed > before {
			kept = append(kept, use)
		}
	}
	ledger.uses = kept
}

// oldestUnsent returns when the oldest report that no request has carried was made.
func (ledger *ledger) oldestUnsent() (closed spool.Instant, found bool) {
	for _, use := range ledger.uses {
		if use.firstSent == 0 {
			return use.closed, true
		}
	}
	return 0, false
}
