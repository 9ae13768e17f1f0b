package super

import (
	"context"
	"slices"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// replaceEvacuated replaces a primary in an evacuated failure domain. While commands to that domain's servers are allowed, it
// does so like for a leaving primary. Later the domain's servers count as not reachable, as at a failover. The primary still
// answers: commits that were sent before, or by proxies that learned late, may be acknowledged after a proxy told its newest
// position. So these positions stand in for a replica that does not answer only once no proxy acknowledges commits any more.
func (supervisor *Supervisor) replaceEvacuated(ctx context.Context, view pool.GroupView, state *groupState, primary *pool.ServerView) {
	if !hasSuccessor(view) {
		supervisor.scheduleRetry(state)
		return
	}
	evacuation, now := supervisor.pool.Evacuation(), supervisor.timers.Now()
	switch {
	case evacuation.MaySwitchOver(primary.Domain, now):
		supervisor.replacePrimary(ctx, view, state, elect.CausePlanned)
	case evacuation.Settled(primary.Domain, now):
		state.poll = supervisor.fleet.PollCommits(view.Group, view.Primary)
		state.poll.Complete = state.poll.Complete && evacuation.Answered(primary.Domain, now)
		supervisor.replacePrimary(ctx, view, state, elect.CauseEvacuated)
	default:
		supervisor.scheduleRetry(state)
	}
}

// tooLateToSwitchOver reports whether the primary's failure domain was evacuated so long ago that paused replicas there might not
// be resumed in time; the wait for another holder's token may take longer than a switchover has.
func (supervisor *Supervisor) tooLateToSwitchOver(view pool.GroupView, cause elect.Cause) bool {
	if cause != elect.CausePlanned {
		return false
	}
	primary := findServer(view, view.Primary)
	evacuation := supervisor.pool.Evacuation()
	return primary != nil && evacuation.Closed(primary.Domain) && !evacuation.MaySwitchOver(primary.Domain, supervisor.timers.Now())
}

// hasSuccessor reports whether a server other than the primary is outside the evacuated failure domains.
func hasSuccessor(view pool.GroupView) bool {
	return slices.ContainsFunc(view.Servers, func(server pool.ServerView) bool {
		return server.Server != view.Primary && !server.Evacuated
	})
}

// commandable reports whether the supervisor's commands to a server of a view may be sent now.
func (supervisor *Supervisor) commandable(view pool.GroupView, name spool.Server) bool {
	server := findServer(view, name)
	return server != nil && supervisor.pool.CommandsAllowed(server.Domain)
}
