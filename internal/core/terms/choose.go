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
func (keeper *Keeper) lineage(status spool.ServerStatus) lineage {
	opened := keeper.openedTerm()
	if !status.Primary || status.Term <= opened || keeper.servers.followed(status.Term) {
		return lineage{term: status.Term, position: status.Position}
	}
	return lineage{term: opened, position: min(status.Position, status.Start), orphan: true}
}

// openedTerm returns the newest term that is known to have been opened.
func (keeper *Keeper) openedTerm() spool.Term {
	var opened spool.Term
	for _, start := range historyOf(keeper.record) {
		opened = max(opened, spool.Term(start.Term))
	}
	return opened
}

// choose promotes the most advanced server once all that answer have answered.
func (keeper *Keeper) choose(now spool.Instant) {
	if !keeper.servers.heard(keeper.sealedAt, keeper.doubted) && now.Sub(keeper.sealedAt) < keeper.config.Fresh {
		return
	}
	status, ok := keeper.candidate(now)
	if !ok {
		keeper.noteNoCandidate()
		return
	}
	if keeper.record.GetOpened() && keeper.shows(now) && !keeper.handsOver(status, now) {
		return
	}
	keeper.claim(status, now)
}

func (keeper *Keeper) noteNoCandidate() {
	if !keeper.noted {
		keeper.noted = true
		keeper.note(ReasonNoCandidate)
	}
}

// candidate returns the most advanced server; one that leaves or failed before comes last.
func (keeper *Keeper) candidate(now spool.Instant) (spool.ServerStatus, bool) {
	var best *view
	for _, name := range keeper.servers.names() {
		view := keeper.servers[name]
		if !view.fresh(now, keeper.config.Fresh) || view.sentAt < keeper.sealedAt {
			continue
		}
		if best == nil || keeper.better(view, best, now) {
			best = view
		}
	}
	if best == nil {
		return spool.ServerStatus{}, false
	}
	return best.status, true
}

func (keeper *Keeper) better(view, best *view, now spool.Instant) bool {
	last, bestLast := view.lastChoice(now), best.lastChoice(now)
	if last != bestLast {
		return bestLast
	}
	return keeper.lineage(view.status).compare(keeper.lineage(best.status)) > 0
}

func (view *view) lastChoice(now spool.Instant) bool {
	return view.spec.Leaving || now < view.shunnedUntil
}

// claim records a term for the candidate, or goes on with the recorded one if it names the same server.
func (keeper *Keeper) claim(status spool.ServerStatus, now spool.Instant) {
	if keeper.claimed(status) {
		keeper.startOrder(now)
		return
	}
	term := 1 + max(keeper.record.GetTerm(), keeper.store.record.GetTerm(), uint64(keeper.servers.highestTerm()))
	keeper.phase = phaseClaiming
	keeper.write(writeClaim, &wire.TermRecord{
		Group:   string(keeper.group),
		Term:    term,
		Primary: string(status.Server),
		History: branch(historyOf(keeper.record), keeper.lineage(status), term),
	}, now)
}

// claimed tells whether the newest record is that of a promotion of the same server that was not completed.
func (keeper *Keeper) claimed(status spool.ServerStatus) bool {
	record := keeper.record
	if record == nil || record.Opened || spool.Server(record.Primary) != status.Server {
		return false
	}
	return record.Term >= keeper.store.record.GetTerm() && spool.Term(record.Term) >= keeper.servers.highestTerm()
}
