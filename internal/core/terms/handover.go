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
func (leader *Leader) handOver(now spool.Instant) {
	handover := &leader.handover
	if !leader.servers[spool.Server(leader.record.Primary)].leaving() || now < handover.retryAt {
		return
	}
	if !handover.draining {
		if leader.successor(now) {
			handover.draining = true
			handover.since = now
			leader.emit(Drain{Term: spool.Term(leader.record.Term)})
		}
		return
	}
	if now.Sub(handover.since) >= leader.config.Drain {
		leader.replace(ReasonLeaving, now)
		leader.handover = handoverSince(now)
	}
}

func handoverSince(now spool.Instant) handover { return handover{active: true, since: now} }

// handsOver tells whether to promote the candidate although the primary of the recorded term answers; if not, that
// term is opened again, at the latest once the candidate had its time to catch up.
func (leader *Leader) handsOver(candidate spool.ServerStatus, now spool.Instant) bool {
	handover := &leader.handover
	primary := leader.servers[spool.Server(leader.record.Primary)].status
	if handover.active && candidate.Server != primary.Server {
		if candidate.Term == primary.Term && candidate.Position >= primary.Position {
			return true
		}
		if now.Sub(handover.since) < leader.config.CatchUp {
			return false
		}
		handover.retryAt = now.Add(leader.config.CatchUp)
	}
	handover.active = false
	leader.note(ReasonReturned)
	leader.vote()
	return false
}

// successor tells whether a server that stays could be promoted.
func (leader *Leader) successor(now spool.Instant) bool {
	for _, view := range leader.servers {
		if view.fresh(now, leader.config.Fresh) && !view.lastChoice(now) && uint64(view.status.Term) == leader.record.Term {
			return true
		}
	}
	return false
}

func (view *view) leaving() bool { return view != nil && view.spec.Leaving }
