package terms

import "corianderspool.example/spool/pkg/spool"

// handover moves the primary away from a server that leaves.
type handover struct {
	draining bool // no new work begins on the primary
	active   bool // acknowledgements have ended, a replica is to catch up
	since    spool.Instant
	retryAt  spool.Instant
}

// handOver drains a leaving primary and then waits for a replica that has all of its log.
func (keeper *Keeper) handOver(now spool.Instant) {
	handover := &keeper.handover
	if !keeper.servers[spool.Server(keeper.record.Primary)].leaving() || now < handover.retryAt {
		return
	}
	if !handover.draining {
		if keeper.successor(now) {
			handover.draining = true
			handover.since = now
			keeper.emit(Drain{Term: spool.Term(keeper.record.Term)})
		}
		return
	}
	if now.Sub(handover.since) >= keeper.config.Drain {
		keeper.replace(ReasonLeaving, now)
		keeper.handover = handoverSince(now)
	}
}

func handoverSince(now spool.Instant) handover { return handover{active: true, since: now} }

// handsOver tells whether to promote the candidate although the primary of the recorded term answers; if not, that
// term is opened again, at the latest once the candidate had its time to catch up.
func (keeper *Keeper) handsOver(candidate spool.ServerStatus, now spool.Instant) bool {
	handover := &keeper.handover
	primary := keeper.servers[spool.Server(keeper.record.Primary)].status
	if handover.active && candidate.Server != primary.Server {
		if candidate.Term == primary.Term && candidate.Position >= primary.Position {
			return true
		}
		if now.Sub(handover.since) < keeper.config.CatchUp {
			return false
		}
		handover.retryAt = now.Add(keeper.config.CatchUp)
	}
	handover.active = false
	keeper.note(ReasonReturned)
	keeper.pledge()
	return false
}

// successor tells whether a server that stays could be promoted.
func (keeper *Keeper) successor(now spool.Instant) bool {
	for _, view := range keeper.servers {
		if view.fresh(now, keeper.config.Fresh) && !view.lastChoice(now) && uint64(view.status.Term) == keeper.record.Term {
			return true
		}
	}
	return false
}

func (view *view) leaving() bool { return view != nil && view.spec.Leaving }
