package terms

import (
	"cmp"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// lineage places a server's log among the opened terms.
type lineage struct {
	term     spool.Term
	position spool.Position
	orphan   bool // the server was promoted in a term that was never opened
}

func (left lineage) compare(right lineage) int {
	return cmp.Or(cmp.Compare(left.term, right.term), cmp.Compare(left.position, right.position))
}

// lineage counts what a server wrote in a term that was never opened for nothing.
func (leader *Leader) lineage(status spool.ServerStatus) lineage {
	opened := leader.openedTerm()
	if !status.Primary || status.Term <= opened || leader.servers.followed(status.Term) {
		return lineage{term: status.Term, position: status.Position}
	}
	return lineage{term: opened, position: min(status.Position, status.Start), orphan: true}
}

// openedTerm returns the newest term that is known to have been opened.
func (leader *Leader) openedTerm() spool.Term {
	var opened spool.Term
	for _, start := range historyOf(leader.record) {
		opened = max(opened, spool.Term(start.Term))
	}
	return opened
}

// choose promotes the most advanced server once all that answer have answered.
func (leader *Leader) choose(now spool.Instant) {
	if !leader.servers.heard(leader.sealedAt, leader.doubted) && now.Sub(leader.sealedAt) < leader.config.Fresh {
		return
	}
	status, ok := leader.candidate(now)
	if !ok {
		leader.noteNoCandidate()
		return
	}
	if leader.record.GetOpened() && leader.shows(now) && !leader.handsOver(status, now) {
		return
	}
	leader.claim(status, now)
}

func (leader *Leader) noteNoCandidate() {
	if !leader.noted {
		leader.noted = true
		leader.note(ReasonNoCandidate)
	}
}

// candidate returns the most advanced server; one that leaves or failed before comes last.
func (leader *Leader) candidate(now spool.Instant) (spool.ServerStatus, bool) {
	var best *view
	for _, name := range leader.servers.names() {
		view := leader.servers[name]
		if !view.fresh(now, leader.config.Fresh) || view.sentAt < leader.sealedAt {
			continue
		}
		if best == nil || leader.better(view, best, now) {
			best = view
		}
	}
	if best == nil {
		return spool.ServerStatus{}, false
	}
	return best.status, true
}

func (leader *Leader) better(view, best *view, now spool.Instant) bool {
	last, bestLast := view.lastChoice(now), best.lastChoice(now)
	if last != bestLast {
		return bestLast
	}
	return leader.lineage(view.status).compare(leader.lineage(best.status)) > 0
}

func (view *view) lastChoice(now spool.Instant) bool {
	return view.spec.Leaving || now < view.shunnedUntil
}

// claim records a term for the candidate, or goes on with the recorded one if it names the same server.
func (leader *Leader) claim(status spool.ServerStatus, now spool.Instant) {
	if leader.claimed(status) {
		leader.startOrder(now)
		return
	}
	term := 1 + max(leader.record.GetTerm(), leader.store.record.GetTerm(), uint64(leader.servers.highestTerm()))
	leader.phase = phaseClaiming
	leader.write(writeClaim, &wire.TermRecord{
		Group:   string(leader.group),
		Term:    term,
		Primary: string(status.Server),
		History: branch(historyOf(leader.record), leader.lineage(status), term),
	}, now)
}

// claimed tells whether the newest record is that of a promotion of the same server that was not completed.
func (leader *Leader) claimed(status spool.ServerStatus) bool {
	record := leader.record
	if record == nil || record.Opened || spool.Server(record.Primary) != status.Server {
		return false
	}
	return record.Term >= leader.store.record.GetTerm() && spool.Term(record.Term) >= leader.servers.highestTerm()
}
