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
	gapRetryAfter = 500 * time.Millisecond
	redialPause   = 10 * time.Millisecond
)

// errReset says that the servers that may answer changed while a request waited for a slot.
var errReset = eris.New("the servers that may answer changed")

// place is a slot on a server, taken for a need under an open term.
type place struct {
	server  int
	primary bool
	term    spool.Term
	floor   spool.Position
}

// acquire waits for a server that may answer the need and for a slot on it.
func (group *Group) acquire(ctx context.Context, team spool.Team, need route.Need, deadline spool.Instant) (place, error) {
	begun := group.timers.Now()
	for {
		group.mutex.Lock()
		if group.draining || group.dropped {
			group.mutex.Unlock()
			return place{}, ErrMoved
		}
		set, choice := group.pick(need)
		switch choice {
		case route.Found:
			found, err := group.wait(ctx, team, need, set, deadline)
			if errors.Is(err, errReset) {
				continue
			}
			if err != nil {
				return place{}, err
			}
			if taken, valid := group.confirm(found, team, need); valid {
				group.observer.ObserveSlotWait(group.timers.Now().Sub(begun))
				return taken, nil
			}
		case route.NoPrimary:
			if err := group.waitForPrimary(ctx, deadline); err != nil {
				return place{}, err
			}
		case route.LostWrite:
			group.mutex.Unlock()
			return place{}, lostWrite()
		case route.Behind:
			held := group.allows(group.table.Current.Term)
			group.mutex.Unlock()
			if held {
				return place{}, lostWrite()
			}
			return place{}, ErrMoved
		}
	}
}

// pick chooses servers; a need without a token also needs the lease, since only its holder knows what was acknowledged.
func (group *Group) pick(need route.Need) (route.ServerSet, route.Choice) {
	if need.Tokenless && !group.allows(group.table.Current.Term) {
		return 0, route.NoPrimary
	}
	return group.table.Pick(need, group.timers.Now())
}

// wait takes a slot on one of the servers; it is called with the mutex held and returns without it.
func (group *Group) wait(
	ctx context.Context, team spool.Team, need route.Need, set route.ServerSet, deadline spool.Instant,
) (int, error) {
	group.sequence++
	id := group.sequence
	item := slots.Item{
		ID: id, Team: team, Deadline: deadline,
		Servers: slots.Servers(set), Spare: slots.Servers(group.table.PrimaryFallback(need, set)),
	}
	answer := group.queue.Acquire(item, group.timers.Now())
	if answer.Outcome == slots.Granted {
		group.running++
		group.mutex.Unlock()
		return answer.Server, nil
	}
	if answer.Outcome == slots.Refused {
		group.mutex.Unlock()
		return 0, noSlot(answer.RetryAfter)
	}
	waiter := make(chan verdict, 1)
	group.waiters[id] = waiter
	group.running++
	reset := group.reset
	group.mutex.Unlock()
	select {
	case told := <-waiter:
		return group.told(told)
	case <-reset:
		return group.abandon(id, team, waiter, errReset)
	case <-ctx.Done():
		return group.abandon(id, team, waiter, canceled())
	}
}

func (group *Group) told(told verdict) (int, error) {
	if told.refusal != nil {
		group.leave()
		return 0, told.refusal
	}
	return told.server, nil
}

// abandon ends a request's wait for a reason; a slot granted meanwhile goes back.
func (group *Group) abandon(id uint64, team spool.Team, waiter chan verdict, reason error) (int, error) {
	group.mutex.Lock()
	waiting := group.queue.Cancel(id)
	delete(group.waiters, id)
	group.mutex.Unlock()
	if !waiting {
		if told := <-waiter; told.refusal == nil {
			group.release(told.server, team)
			return 0, reason
		}
	}
	group.leave()
	return 0, reason
}

// confirm checks after a wait that the server may still answer the need, and gives the slot back if not.
func (group *Group) confirm(server int, team spool.Team, need route.Need) (place, bool) {
	group.mutex.Lock()
	set, choice := group.pick(need)
	if choice == route.Found && (set | group.table.PrimaryFallback(need, set)).Has(server) {
		defer group.mutex.Unlock()
		return place{
			server: server, primary: server == group.table.Primary,
			term: group.table.Current.Term, floor: group.table.MinPosition(need),
		}, true
	}
	group.mutex.Unlock()
	group.release(server, team)
	return place{}, false
}

// release gives a slot back.
func (group *Group) release(server int, team spool.Team) {
	group.mutex.Lock()
	group.grant(group.queue.Release(server, team, group.timers.Now()))
	group.mutex.Unlock()
	group.leave()
}

func (group *Group) leave() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running--
	group.settle()
}

// waitForPrimary waits for a change of the table; it is called with the mutex held and returns without it.
func (group *Group) waitForPrimary(ctx context.Context, deadline spool.Instant) error {
	changed := group.changed
	now := group.timers.Now()
	lost := group.closedAt != 0 && now.Sub(group.closedAt) > group.patience
	group.mutex.Unlock()
	if lost || now >= deadline {
		return noPrimary()
	}
	timer := time.NewTimer(min(deadline.Sub(now), group.patience))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return noPrimary()
	case <-ctx.Done():
		return canceled()
	}
}

func noSlot(retryAfter time.Duration) *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeNoSlot, RetryAfter: retryAfter,
		Message: "no slot on a backend server comes free before the request's deadline",
	}
}

func noPrimary() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: gapRetryAfter,
		Message: "the database group has no primary at the moment",
	}
}

func lostWrite() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictLost, Code: spool.CodeLostWrite,
		Message: "a write that this session has seen did not survive the change of the primary",
	}
}

func canceled() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeDeadlineExpired,
		Message: "the request was canceled or its deadline passed while it waited",
	}
}
