package node

import (
	"context"
	"errors"
	"time"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/pkg/spool"
)

const (
	movedPause      = 10 * time.Millisecond
	movedRetryAfter = 1 * time.Second
	seekInterval    = 5 * time.Millisecond
)

// executor carries a caller's transaction to the group's leader, on this proxy or another.
type executor struct {
	node    *Node
	group   spool.Group
	request leader.Request
	timeout time.Duration
	pinned  spool.Executor
}

// Exchange sends one cycle; the first one finds the leader.
func (executor *executor) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, executor.timeout)
	defer cancel()
	if executor.pinned != nil {
		result, err := executor.pinned.Exchange(ctx, cycle, sink)
		return executor.finish(result, err)
	}
	for {
		attempt, found := executor.attempt()
		if found {
			writeTracker := &leader.WriteTracker{Sink: sink}
			result, err := attempt.Exchange(ctx, cycle, writeTracker)
			if !errors.Is(err, leader.ErrNotLeader) && !executor.mayRepeat(err, writeTracker) {
				executor.pinned = attempt
				return executor.finish(result, err)
			}
			attempt.Close()
		}
		if err := executor.waitForLeader(ctx); err != nil {
			return spool.Result{TxStatus: 'I'}, err
		}
	}
}

// attempt returns an executor to the proxy that is known to hold the group's lease.
func (executor *executor) attempt() (spool.Executor, bool) {
	if hosted, here := executor.node.groups.get(executor.group); here {
		return hosted.NewExecutor(executor.request), true
	}
	role := lease.GroupRole(executor.group)
	vm, known := executor.node.holder(role)
	if !known {
		executor.node.seek(role)
		return nil, false
	}
	if vm == executor.node.settings.VM {
		return nil, false
	}
	return newForward(executor.node, vm, executor.group, executor.request), true
}

// mayRepeat tells whether the request may be sent again after an unknown outcome.
func (executor *executor) mayRepeat(err error, writeTracker *leader.WriteTracker) bool {
	var refusal *spool.Refusal
	if !executor.request.Idempotent || writeTracker.Written || !errors.As(err, &refusal) {
		return false
	}
	return refusal.Verdict == spool.VerdictUnknown
}

// seek has the core look for a role's holder; many requests may wait for the same one.
func (node *Node) seek(role lease.Role) {
	now := node.timers.Now()
	last := node.soughtAt.Load()
	if now.Sub(spool.Instant(last)) < seekInterval || !node.soughtAt.CompareAndSwap(last, int64(now)) {
		return
	}
	node.handle(core.HolderUnknown{Role: role})
}

func (executor *executor) waitForLeader(ctx context.Context) error {
	if executor.node.timers.Now().Add(movedPause) >= executor.request.Deadline || ctx.Err() != nil {
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: movedRetryAfter,
			Message: "no proxy serves the database group at the moment",
		}
	}
	_ = clock.Wait(ctx, executor.node.timers, movedPause)
	return nil
}

// finish lets go of the executor at the end of a transaction.
func (executor *executor) finish(result spool.Result, err error) (spool.Result, error) {
	if err != nil || result.TxStatus == 'I' {
		executor.Close()
	}
	return result, err
}

// Close rolls back what is open.
func (executor *executor) Close() {
	if executor.pinned != nil {
		executor.pinned.Close()
		executor.pinned = nil
	}
}
