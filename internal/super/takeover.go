package super

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// takeoverAfter is the time without checks of a group after which another proxy may have supervised it. It exceeds the delays
// between the checks of one supervisor.
const takeoverAfter = 3 * time.Second

// takeoverRetryDelay is the time between attempts to read the fencing token of a group that was taken over.
const takeoverRetryDelay = time.Second

// takeOver finds out what an earlier supervisor of a group, or an earlier process of this one, left behind: a promotion that may
// still take effect, or replicas that stay paused. It is called while the primary works and reports whether the supervisor
// knows it.
func (supervisor *Supervisor) takeOver(ctx context.Context, view pool.GroupView, state *groupState) bool {
	now := supervisor.timers.Now()
	if state.takenOver || now < state.nextTakeover {
		return state.takenOver
	}
	paused := supervisor.findPaused(view, state) // before the token is read, which tells of each holder that paused them by then
	target, err := supervisor.findOrder(ctx, view)
	if err != nil {
		state.nextTakeover = now.Add(takeoverRetryDelay)
		return false
	}
	state.takenOver = true
	if target != "" || len(paused) > 0 {
		event.Log(supervisor.logger, event.GroupTakenOver, zap.String("Group", string(view.Group)),
			zap.String("Primary", string(view.Primary)), zap.String("Target", string(target)), zap.Strings("Paused", paused))
	}
	return true
}

// findOrder reads which server another supervisor, or an earlier process of this one, may still have promoted, and remembers its order.
// The name is empty if there is none or if it is the primary already.
func (supervisor *Supervisor) findOrder(ctx context.Context, view pool.GroupView) (spool.Server, error) {
	target, orders, err := supervisor.tokens.PendingTarget(ctx, view.Group)
	if err != nil {
		event.Log(supervisor.logger, event.GroupTakeoverFailed, zap.String("Group", string(view.Group)), event.Cause(err))
		return "", err
	}
	supervisor.pool.LearnOrders(view.Group, orders)
	if target == view.Primary {
		supervisor.recordLead(view)
		return "", nil
	}
	return target, nil
}

// recordLead asks the primary for its term, so that orders which it has carried out are known to be over.
func (supervisor *Supervisor) recordLead(view pool.GroupView) {
	if len(supervisor.pool.PendingOrders(view.Group)) == 0 {
		return
	}
	if status, err := supervisor.queryStatus(view.Group, view.Primary); err == nil {
		supervisor.pool.RecordChosen(view.Group, view.Primary, status)
	}
}

// findPaused records which replicas of a group are paused, and returns them.
func (supervisor *Supervisor) findPaused(view pool.GroupView, state *groupState) (paused []string) {
	var queries sync.WaitGroup
	var mutex sync.Mutex
	for _, server := range view.Servers {
		if server.Server == view.Primary || !supervisor.commandable(view, server.Server) {
			continue
		}
		queries.Go(func() {
			status, err := supervisor.queryStatus(view.Group, server.Server)
			if err != nil || status.PausedTerm == 0 {
				return // a server that does not answer may be asked by the next handover
			}
			supervisor.setPaused(state, server.Server, status.PausedTerm)
			mutex.Lock()
			defer mutex.Unlock()
			paused = append(paused, string(server.Server))
		})
	}
	queries.Wait()
	return paused
}
