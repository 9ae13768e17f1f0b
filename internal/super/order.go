package super

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// pendingOrder returns the newest order that may promote a server other than the primary, or nil. Until that is carried out or fenced,
// no proxy acknowledges a commit that its server lacks.
func (supervisor *Supervisor) pendingOrder(view pool.GroupView) *elect.Order {
	orders := supervisor.pool.PendingOrders(view.Group)
	for i := range orders {
		if order := &orders[len(orders)-1-i]; order.Server != view.Primary {
			return order
		}
	}
	return nil
}

// preferredServer returns the server that a pending order names, unless it turned out to receive nothing, or an empty name.
func (supervisor *Supervisor) preferredServer(view pool.GroupView, state *groupState) spool.Server {
	order := supervisor.pendingOrder(view)
	if order == nil {
		state.notReceiving = ""
		return ""
	}
	if order.Server == state.notReceiving {
		return ""
	}
	return order.Server
}

// settle ends what earlier handovers began while the primary works. A promotion that may still be carried out is requested
// again, so that it takes effect while the replicas are paused or the primary's commits are closed. If its server is gone or receives
// nothing, the promotion of the present primary is requested instead, which fences it. Otherwise the replicas are resumed.
func (supervisor *Supervisor) settle(ctx context.Context, view pool.GroupView, state *groupState) {
	if !supervisor.takeOver(ctx, view, state) {
		return
	}
	order := supervisor.pendingOrder(view)
	if order == nil {
		supervisor.resumeOwn(ctx, view.Group, state)
		return
	}
	server := findServer(view, order.Server)
	target := elect.OrderTarget{
		Registered: server != nil, Evacuated: server != nil && server.Evacuated, NotReceiving: order.Server == state.notReceiving,
	}
	state.poll = supervisor.fleet.PollCommits(view.Group, view.Primary)
	supervisor.replacePrimary(ctx, view, state, target.SettlingCause())
}

// settleOrders waits until an order that the platform accepted just before would have taken effect. If the primary still leads the same
// term, no order up to the handover's token is carried out any more, and all proxies are told.
func (handover *handover) settleOrders() {
	time.Sleep(promotionTimeout)
	status, err := handover.queryStatus(handover.view.Group, handover.chosen)
	settled := err == nil && status.Primary && status.Term < handover.pauseTerm
	event.Log(handover.logger, event.OrdersSettled, zap.String("Group", string(handover.view.Group)),
		zap.String("Primary", string(handover.chosen)), zap.Uint64("Token", handover.token.value), zap.Bool("Settled", settled),
		event.Cause(err))
	if settled {
		handover.fleet.SettleOrders(handover.view.Group, handover.token.value)
	}
}
