package leader

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/internal/core/slots"
	"corianderspool.example/spool/pkg/spool"
)

const (
	noPrimaryRetryAfter = 500 * time.Millisecond
	redialDelay         = 10 * time.Millisecond
)

// errServersChanged means that the set of eligible servers changed while a request waited for a slot.
var errServersChanged = eris.New("the set of eligible servers changed")

// grantedSlot is a slot on a server, acquired for a need in an open term.
type grantedSlot struct {
	server  int
	primary bool
	term    spool.Term
	floor   spool.Position
}

// acquireSlot waits for a server that is eligible for the need and for a slot on it.
func (group *Group) acquireSlot(ctx context.Context, team spool.Team, need route.Need, deadline spool.Instant) (grantedSlot, error) {
	startedAt := group.timers.Now()
	for {
		group.mutex.Lock()
		if group.draining || group.shutDown {
			group.mutex.Unlock()
			return grantedSlot{}, ErrNotLeader
		}
		eligible, choice := group.pickServers(need)
		switch choice {
		case route.Found:
			server, err := group.waitForSlot(ctx, team, need, eligible, deadline)
			if errors.Is(err, errServersChanged) {
				continue
			}
			if err != nil {
				return grantedSlot{}, err
			}
			if slot, valid := group.confirmSlot(server, team, need); valid {
				group.observer.ObserveSlotWait(group.timers.Now().Sub(startedAt))
				return slot, nil
			}
		case route.NoPrimary:
			if err := group.waitForPrimary(ctx, deadline); err != nil {
				return grantedSlot{}, err
			}
		case route.LostWrite:
			group.mutex.Unlock()
			return grantedSlot{}, lostWriteRefusal()
		case route.Behind:
			leading := group.allows(group.table.Current.Term)
			group.mutex.Unlock()
			if leading {
				return grantedSlot{}, lostWriteRefusal()
			}
			return grantedSlot{}, ErrNotLeader
		}
	}
}

// pickServers returns the eligible servers; a need without a token also requires the lease, since only its holder knows
// which writes were acknowledged.
func (group *Group) pickServers(need route.Need) (route.ServerSet, route.Choice) {
	if need.Tokenless && !group.allows(group.table.Current.Term) {
		return 0, route.NoPrimary
	}
	return group.table.Pick(need, group.timers.Now())
}

// waitForSlot acquires a slot on one of the servers; it must be called with the mutex held, which it unlocks.
func (group *Group) waitForSlot(
	ctx context.Context, team spool.Team, need route.Need, eligible route.ServerSet, deadline spool.Instant,
) (int, error) {
	group.sequence++
	id := group.sequence
	item := slots.Item{
		ID: id, Team: team, Deadline: deadline,
		Servers: slots.Servers(eligible), Spare: slots.Servers(group.table.PrimaryFallback(need, eligible)),
	}
	answer := group.queue.Acquire(item, group.timers.Now())
	if answer.Outcome == slots.Granted {
		group.running++
		group.mutex.Unlock()
		return answer.Server, nil
	}
	if answer.Outcome == slots.Refused {
		group.mutex.Unlock()
		return 0, noSlotRefusal(answer.RetryAfter)
	}
	waiter := make(chan slotResult, 1)
	group.waiters[id] = waiter
	group.running++
	serversChanged := group.serversChanged
	group.mutex.Unlock()
	select {
	case result := <-waiter:
		return group.finishWait(result)
	case <-serversChanged:
		return group.cancelWait(id, team, waiter, errServersChanged)
	case <-ctx.Done():
		return group.cancelWait(id, team, waiter, canceledRefusal())
	}
}

func (group *Group) finishWait(result slotResult) (int, error) {
	if result.refusal != nil {
		group.endRequest()
		return 0, result.refusal
	}
	return result.server, nil
}

// cancelWait ends a request's wait and returns the reason; a slot granted in the meantime is released.
func (group *Group) cancelWait(id uint64, team spool.Team, waiter chan slotResult, reason error) (int, error) {
	group.mutex.Lock()
	waiting := group.queue.Cancel(id)
	delete(group.waiters, id)
	group.mutex.Unlock()
	if !waiting {
		if result := <-waiter; result.refusal == nil {
			group.releaseSlot(result.server, team)
			return 0, reason
		}
	}
	group.endRequest()
	return 0, reason
}

// confirmSlot checks after a wait that the server is still eligible for the need, and releases the slot if not.
func (group *Group) confirmSlot(server int, team spool.Team, need route.Need) (grantedSlot, bool) {
	group.mutex.Lock()
	eligible, choice := group.pickServers(need)
	if choice == route.Found && (eligible | group.table.PrimaryFallback(need, eligible)).Has(server) {
		defer group.mutex.Unlock()
		return grantedSlot{
			server: server, primary: server == group.table.Primary,
			term: group.table.Current.Term, floor: group.table.MinPosition(need),
		}, true
	}
	group.mutex.Unlock()
	group.releaseSlot(server, team)
	return grantedSlot{}, false
}

// releaseSlot releases a slot and ends its request.
func (group *Group) releaseSlot(server int, team spool.Team) {
	group.mutex.Lock()
	group.resolveGrants(group.queue.Release(server, team, group.timers.Now()))
	group.mutex.Unlock()
	group.endRequest()
}

func (group *Group) endRequest() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running--
	group.signalIdle()
}

// waitForPrimary waits for a change of the table; it must be called with the mutex held, which it unlocks.
func (group *Group) waitForPrimary(ctx context.Context, deadline spool.Instant) error {
	tableChanged := group.tableChanged
	now := group.timers.Now()
	expired := group.termClosedAt != 0 && now.Sub(group.termClosedAt) > group.primaryWait
	group.mutex.Unlock()
	if expired || now >= deadline {
		return noPrimaryRefusal()
	}
	timer := time.NewTimer(min(deadline.Sub(now), group.primaryWait))
	defer timer.Stop()
	select {
	case <-tableChanged:
		return nil
	case <-timer.C:
		return noPrimaryRefusal()
	case <-ctx.Done():
		return canceledRefusal()
	}
}

func noSlotRefusal(retryAfter time.Duration) *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeNoSlot, RetryAfter: retryAfter,
		Message: "no slot on a backend server comes free before the request's deadline",
	}
}

func noPrimaryRefusal() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: noPrimaryRetryAfter,
		Message: "the database group has no primary at the moment",
	}
}

func lostWriteRefusal() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictLost, Code: spool.CodeLostWrite,
		Message: "a write that this session has seen did not survive the change of the primary",
	}
}

func canceledRefusal() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeDeadlineExpired,
		Message: "the request was canceled or its deadline passed while it waited",
	}
}
