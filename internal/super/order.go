package super

import (
	"context"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// order is a request of a promotion without an answer, which the platform may carry out later. Until then its server is not
// paused: it would lack the commits since.
type order struct {
	server spool.Server  // empty if there is none
	until  spool.Instant // when it is not carried out any more
}

// remember records an order unless an earlier one for the same server is known.
func (order *order) remember(server spool.Server, now spool.Instant) {
	if order.pending(now) != server {
		order.server, order.until = server, now.Add(recentTokenAge)
	}
}

// pending returns the server that the order may still promote, or an empty name.
func (order *order) pending(now spool.Instant) spool.Server {
	if now >= order.until {
		return ""
	}
	return order.server
}

// settle ends what earlier handovers began while the primary works. A promotion that may still be carried out is requested
// again, so that it takes effect while the replicas are paused or the primary's commits are closed; otherwise the replicas are
// resumed.
func (supervisor *Supervisor) settle(ctx context.Context, view pool.GroupView, state *groupState) {
	if !supervisor.takeOver(ctx, view, state) {
		return
	}
	server := findServer(view, state.ordered.pending(supervisor.timers.Now()))
	if server == nil || server.Server == view.Primary || server.Evacuated {
		state.ordered = order{}
		supervisor.resumeOwn(ctx, view.Group, state)
		return
	}
	state.poll = supervisor.fleet.PollCommits(view.Group, view.Primary)
	supervisor.replacePrimary(ctx, view, state, elect.CauseOrdered)
}
