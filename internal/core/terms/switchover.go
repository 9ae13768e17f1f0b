package terms

import "corianderspool.example/spool/pkg/spool"

// maxDrainTimeouts bounds the time without a primary at a proxy that is paused again and again.
const maxDrainTimeouts = 4

// switchover is the state of a planned move of the primary away from a leaving server.
type switchover struct {
	draining bool          // no new requests start on the primary
	active   bool          // the term is closed and a replica catches up
	since    spool.Instant // when draining or catching up began
	retryAt  spool.Instant // earliest start of the next switchover
}

// switchOver drains a leaving primary, then closes the term so that a replica can catch up with its log.
func (leader *Leader) switchOver(now spool.Instant) {
	switchover := &leader.switchover
	if !leader.servers[spool.Server(leader.record.Primary)].leaving() || now < switchover.retryAt {
		return
	}
	if !switchover.draining {
		if leader.hasSuccessor(now) {
			switchover.draining = true
			switchover.since = now
			leader.emit(Drain{Term: spool.Term(leader.record.Term)})
		}
		return
	}
	if leader.drained(now) {
		leader.replacePrimary(ReasonPrimaryLeaving, now)
		leader.switchover = newSwitchover(now)
	}
}

// drained reports whether running requests had the time to finish. A pause of this proxy does not count, since none of them
// could, but pauses extend the time to at most maxDrainTimeouts times DrainTimeout.
func (leader *Leader) drained(now spool.Instant) bool {
	timeout, since := leader.config.DrainTimeout, leader.switchover.since
	return now.Sub(max(since, leader.pauseEndedAt)) >= timeout || now.Sub(since) >= maxDrainTimeouts*timeout
}

func newSwitchover(now spool.Instant) switchover { return switchover{active: true, since: now} }

// completeSwitchover reports whether to promote the candidate although the primary of the recorded term answers. If
// not, it reopens that term, unless the candidate still has time to catch up.
func (leader *Leader) completeSwitchover(candidate spool.ServerStatus, now spool.Instant) bool {
	switchover := &leader.switchover
	primary := leader.servers[spool.Server(leader.record.Primary)].status
	if switchover.active && candidate.Server != primary.Server {
		if candidate.Term == primary.Term && candidate.Position >= primary.Position {
			return true
		}
		if now.Sub(switchover.since) < leader.config.CatchUpTimeout {
			return false
		}
		switchover.retryAt = now.Add(leader.config.CatchUpTimeout)
	}
	switchover.active = false
	leader.note(ReasonPrimaryReturned)
	leader.requestVotes()
	return false
}

// hasSuccessor reports whether a server that does not leave could be promoted.
func (leader *Leader) hasSuccessor(now spool.Instant) bool {
	for _, view := range leader.servers {
		if view.fresh(now, leader.config.MaxStatusAge) && !view.lastResort(now) && uint64(view.status.Term) == leader.record.Term {
			return true
		}
	}
	return false
}

func (view *serverView) leaving() bool { return view != nil && view.spec.Leaving }
