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

func (keeper *Keeper) startOrder(now spool.Instant) {
	keeper.phase = phasePromoting
	keeper.order = order{startedAt: now}
	keeper.note(ReasonPromoting)
	keeper.promote(now)
}

// promote repeats the order, which is idempotent, and turns to another candidate after too many failures.
func (keeper *Keeper) promote(now spool.Instant) {
	order := &keeper.order
	if order.waiting && now.Sub(order.sentAt) >= keeper.config.OrderTimeout {
		order.waiting = false
		order.failures++
	}
	if order.failures >= keeper.config.OrderFailures {
		if view := keeper.servers[spool.Server(keeper.record.Primary)]; view != nil {
			view.shunnedUntil = now.Add(keeper.config.Shun)
		}
		keeper.replace(ReasonCandidateGone, now)
		return
	}
	if order.waiting || (order.sent && now.Sub(order.sentAt) < keeper.config.OrderRetry) {
		return
	}
	order.sent = true
	order.waiting = true
	order.sentAt = now
	keeper.emit(Promote{Server: spool.Server(keeper.record.Primary), Term: spool.Term(keeper.record.Term)})
}

func (keeper *Keeper) promoteFailed(event PromoteFailed) {
	if keeper.phase != phasePromoting || uint64(event.Term) != keeper.record.Term {
		return
	}
	if event.Server != spool.Server(keeper.record.Primary) || !keeper.order.waiting {
		return
	}
	keeper.order.waiting = false
	keeper.order.failures++
}

// relent opens the recorded term again if its primary is back while the platform does not confirm the promotion.
func (keeper *Keeper) relent(now spool.Instant) {
	pending := keeper.store.pending
	if pending == nil || pending.waiting || !keeper.record.GetOpened() || !keeper.shows(now) {
		return
	}
	keeper.store.abort()
	keeper.store.wanted = true
	keeper.note(ReasonReturned)
	keeper.pledge()
}

// promotedBy goes on once the candidate's status shows it as the primary of the recorded term.
func (keeper *Keeper) promotedBy(status spool.ServerStatus, sentAt, now spool.Instant) {
	if keeper.phase != phasePromoting || sentAt < keeper.order.startedAt {
		return
	}
	if status.Server != spool.Server(keeper.record.Primary) || uint64(status.Term) != keeper.record.Term || !status.Primary {
		return
	}
	record := proto.Clone(keeper.record).(*wire.TermRecord)
	record.Start = uint64(status.Start)
	record.Opened = true
	keeper.record = record
	keeper.checkedAt = now
	if keeper.config.noPledge {
		keeper.open(now)
		return
	}
	keeper.pledge()
}
