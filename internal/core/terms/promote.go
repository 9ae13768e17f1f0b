package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// order is the promotion of the recorded primary.
type order struct {
	startedAt spool.Instant
	sentAt    spool.Instant
	sent      bool
	waiting   bool
	failures  int
}

func (leader *Leader) startOrder(now spool.Instant) {
	leader.phase = phasePromoting
	leader.order = order{startedAt: now}
	leader.note(ReasonPromoting)
	leader.promote(now)
}

// promote repeats the order, which is idempotent, and turns to another candidate after too many failures.
func (leader *Leader) promote(now spool.Instant) {
	order := &leader.order
	if order.waiting && now.Sub(order.sentAt) >= leader.config.OrderTimeout {
		order.waiting = false
		order.failures++
	}
	if order.failures >= leader.config.OrderFailures {
		if view := leader.servers[spool.Server(leader.record.Primary)]; view != nil {
			view.shunnedUntil = now.Add(leader.config.Shun)
		}
		leader.replace(ReasonCandidateGone, now)
		return
	}
	if order.waiting || (order.sent && now.Sub(order.sentAt) < leader.config.OrderRetry) {
		return
	}
	order.sent = true
	order.waiting = true
	order.sentAt = now
	leader.emit(Promote{Server: spool.Server(leader.record.Primary), Term: spool.Term(leader.record.Term)})
}

func (leader *Leader) promoteFailed(event PromoteFailed) {
	if leader.phase != phasePromoting || uint64(event.Term) != leader.record.Term {
		return
	}
	if event.Server != spool.Server(leader.record.Primary) || !leader.order.waiting {
		return
	}
	leader.order.waiting = false
	leader.order.failures++
}

// relent opens the recorded term again if its primary is back while the platform does not confirm the promotion.
func (leader *Leader) relent(now spool.Instant) {
	pending := leader.store.pending
	if pending == nil || pending.waiting || !leader.record.GetOpened() || !leader.shows(now) {
		return
	}
	leader.store.abort()
	leader.store.wanted = true
	leader.note(ReasonReturned)
	leader.vote()
}

// promotedBy goes on once the candidate's status shows it as the primary of the recorded term.
func (leader *Leader) promotedBy(status spool.ServerStatus, sentAt, now spool.Instant) {
	if leader.phase != phasePromoting || sentAt < leader.order.startedAt {
		return
	}
	if status.Server != spool.Server(leader.record.Primary) || uint64(status.Term) != leader.record.Term || !status.Primary {
		return
	}
	record := proto.Clone(leader.record).(*wire.TermRecord)
	record.Start = uint64(status.Start)
	record.Opened = true
	leader.record = record
	leader.checkedAt = now
	if leader.config.noVote {
		leader.open(now)
		return
	}
	leader.vote()
}
