package share

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const maxSent = 32 // latest requests whose answers a client still accepts

// ledger keeps the requests and reports that the owner has not answered.
type ledger struct {
	sequence uint64
	sent     [maxSent]sentRequest
	reports  []grantReport
}

type sentRequest struct {
	sequence uint64
	want     float64
	sentAt   spool.Instant
	answered bool
}

// grantReport reports the unused tokens of a closed grant; requests repeat it until one that carried it is answered.
type grantReport struct {
	grant     uint64
	unused    int
	closedAt  spool.Instant
	firstSent uint64 // sequence of the first request that carried it, or zero
}

func (ledger *ledger) addReport(heldGrant heldGrant, now spool.Instant) {
	ledger.reports = append(ledger.reports, grantReport{grant: heldGrant.grant, unused: heldGrant.remaining, closedAt: now})
}

// prepare numbers a request, attaches the reports and records it as sent.
func (ledger *ledger) prepare(request *wire.GrantRequest, now spool.Instant) {
	ledger.sequence++
	request.Sequence = ledger.sequence
	ledger.sent[ledger.sequence%maxSent] = sentRequest{sequence: ledger.sequence, want: request.GetWant(), sentAt: now}
	for i := range ledger.reports {
		report := &ledger.reports[i]
		if report.firstSent == 0 {
			report.firstSent = ledger.sequence
		}
		request.Returned = append(request.Returned, &wire.GrantUse{Grant: report.grant, Unused: float64(report.unused)})
	}
}

// recordAnswer returns the request with that sequence and drops the reports it carried; first is false for a repeated
// answer and for one to a request that is no longer kept.
func (ledger *ledger) recordAnswer(sequence uint64) (request sentRequest, first bool) {
	sent := &ledger.sent[sequence%maxSent]
	if sent.sequence != sequence || sequence == 0 || sent.answered {
		return sentRequest{}, false
	}
	sent.answered = true
	kept := ledger.reports[:0]
	for _, report := range ledger.reports {
		if report.firstSent == 0 || report.firstSent > sequence {
			kept = append(kept, report)
		}
	}
	ledger.reports = kept
	return *sent, true
}

// dropReports drops the reports of grants closed before an instant, which the owner has ended by itself.
func (ledger *ledger) dropReports(before spool.Instant) {
	kept := ledger.reports[:0]
	for _, report := range ledger.reports {
		if report.closedAt > before {
			kept = append(kept, report)
		}
	}
	ledger.reports = kept
}

// oldestUnsent returns when the oldest report that no request has carried yet was made.
func (ledger *ledger) oldestUnsent() (closedAt spool.Instant, found bool) {
	for _, report := range ledger.reports {
		if report.firstSent == 0 {
			return report.closedAt, true
		}
	}
	return 0, false
}
