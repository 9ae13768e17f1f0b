package terms

import (
	"cmp"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// logPosition orders the servers' logs by the latest opened term that they contain, then by position.
type logPosition struct {
	term     spool.Term
	position spool.Position
	unopened bool // the server was promoted in a term that was never opened
}

func (position logPosition) compare(other logPosition) int {
	return cmp.Or(cmp.Compare(position.term, other.term), cmp.Compare(position.position, other.position))
}

// logPositionOf returns the position of a server's log. Writes of a term that was never opened don't count.
func (leader *Leader) logPositionOf(status spool.ServerStatus) logPosition {
	opened := leader.newestOpenedTerm()
	if !status.Primary || status.Term <= opened || leader.servers.hasReplica(status.Term) {
		return logPosition{term: status.Term, position: status.Position}
	}
	return logPosition{term: opened, position: min(status.Position, status.Start), unopened: true}
}

// newestOpenedTerm returns the newest term that is known to have been opened.
func (leader *Leader) newestOpenedTerm() spool.Term {
	var opened spool.Term
	for _, start := range historyOf(leader.record) {
		opened = max(opened, spool.Term(start.Term))
	}
	return opened
}

// chooseCandidate promotes the most advanced server once every server has answered or failed a poll, or after
// MaxStatusAge.
func (leader *Leader) chooseCandidate(now spool.Instant) {
	if !leader.servers.polledSince(leader.choiceStart, leader.unreached) && now.Sub(leader.choiceStart) < leader.config.MaxStatusAge {
		return
	}
	status, ok := leader.candidate(now)
	if !ok {
		leader.noteNoCandidate()
		return
	}
	if leader.record.GetOpened() && leader.primaryConfirmed(now) && !leader.completeSwitchover(status, now) {
		return
	}
	leader.claimTerm(status, now)
}

func (leader *Leader) noteNoCandidate() {
	if !leader.noCandidateNoted {
		leader.noCandidateNoted = true
		leader.note(ReasonNoCandidate)
	}
}

// candidate returns the status of the most advanced server; a leaving or recently failed server is a last resort.
func (leader *Leader) candidate(now spool.Instant) (spool.ServerStatus, bool) {
	var best *serverView
	for _, name := range leader.servers.names() {
		view := leader.servers[name]
		if !view.fresh(now, leader.config.MaxStatusAge) || view.sentAt < leader.choiceStart {
			continue
		}
		if best == nil || leader.isBetterCandidate(view, best, now) {
			best = view
		}
	}
	if best == nil {
		return spool.ServerStatus{}, false
	}
	return best.status, true
}

func (leader *Leader) isBetterCandidate(view, best *serverView, now spool.Instant) bool {
	lastResort, bestLastResort := view.lastResort(now), best.lastResort(now)
	if lastResort != bestLastResort {
		return bestLastResort
	}
	return leader.logPositionOf(view.status).compare(leader.logPositionOf(best.status)) > 0
}

func (view *serverView) lastResort(now spool.Instant) bool {
	return view.spec.Leaving || now < view.backoffUntil
}

// claimTerm writes a record of a new term for the candidate, or continues with the recorded term if it names that
// server.
func (leader *Leader) claimTerm(status spool.ServerStatus, now spool.Instant) {
	if leader.alreadyClaimed(status) {
		leader.startPromotion(now)
		return
	}
	term := 1 + max(leader.record.GetTerm(), leader.platform.record.GetTerm(), uint64(leader.servers.highestTerm()))
	leader.phase = phaseClaiming
	leader.writeRecord(writeClaim, &wire.TermRecord{
		Group:   string(leader.group),
		Term:    term,
		Primary: string(status.Server),
		History: addBranchPoint(historyOf(leader.record), leader.logPositionOf(status), term),
	}, now)
}

// alreadyClaimed reports whether the newest record is an unfinished promotion of the same server.
func (leader *Leader) alreadyClaimed(status spool.ServerStatus) bool {
	record := leader.record
	if record == nil || record.Opened || spool.Server(record.Primary) != status.Server {
		return false
	}
	return record.Term >= leader.platform.record.GetTerm() && spool.Term(record.Term) >= leader.servers.highestTerm()
}
