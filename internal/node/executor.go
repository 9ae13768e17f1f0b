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
	leaderRetryInterval  = 10 * time.Millisecond
	refusalRetryAfter    = 1 * time.Second
	holderSearchInterval = 5 * time.Millisecond
)

// executor runs a caller's transaction through the group's leader, on this proxy or another.
type executor struct {
	node    *Node
	group   spool.Group
	request leader.Request
	timeout time.Duration
	pinned  spool.Executor // executor of the running transaction, nil between transactions
}

// Exchange sends one cycle; the first cycle of a transaction looks for the leader until the request's deadline.
func (executor *executor) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, executor.timeout)
	defer cancel()
	if executor.pinned != nil {
		result, err := executor.pinned.Exchange(ctx, cycle, sink)
		return executor.closeWhenIdle(result, err)
	}
	for {
		attempt, found := executor.newAttempt()
		if found {
			writeTracker := &leader.WriteTracker{Sink: sink}
			result, err := attempt.Exchange(ctx, cycle, writeTracker)
			if !errors.Is(err, leader.ErrNotLeader) && !executor.mayRetry(err, writeTracker) {
				executor.pinned = attempt
				return executor.closeWhenIdle(result, err)
			}
			attempt.Close()
		}
		if err := executor.waitBeforeRetry(ctx); err != nil {
			return spool.Result{TxStatus: 'I'}, err
		}
	}
}

// newAttempt returns an executor for the proxy that is known to hold the group's lease, or false if there is none.
func (executor *executor) newAttempt() (spool.Executor, bool) {
	if hostedGroup, here := executor.node.groups.get(executor.group); here {
		return hostedGroup.NewExecutor(executor.request), true
	}
	role := lease.GroupRole(executor.group)
	vm, known := executor.node.holder(role)
	if !known {
		executor.node.searchHolder(role)
		return nil, false
	}
	if vm == executor.node.settings.VM {
		return nil, false
	}
	return newForwarder(executor.node, vm, executor.group, executor.request), true
}

// mayRetry reports whether a request of unknown outcome may be sent again: it is idempotent and nothing was passed on.
func (executor *executor) mayRetry(err error, writeTracker *leader.WriteTracker) bool {
	var refusal *spool.Refusal
	if !executor.request.Idempotent || writeTracker.Written || !errors.As(err, &refusal) {
		return false
	}
	return refusal.Verdict == spool.VerdictUnknown
}

// searchHolder has the core look for a role's holder; the interval bounds the searches when many requests wait.
func (node *Node) searchHolder(role lease.Role) {
	now := node.timers.Now()
	last := node.holderSearchedAt.Load()
	if now.Sub(spool.Instant(last)) < holderSearchInterval || !node.holderSearchedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	node.handle(core.HolderUnknown{Role: role})
}

func (executor *executor) waitBeforeRetry(ctx context.Context) error {
	if executor.node.timers.Now().Add(leaderRetryInterval) >= executor.request.Deadline || ctx.Err() != nil {
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: refusalRetryAfter,
			Message: "no proxy serves the database group at the moment",
		}
	}
	_ = clock.Wait(ctx, executor.node.timers, leaderRetryInterval)
	return nil
}

// closeWhenIdle closes the executor after an error or at the end of the transaction.
func (executor *executor) closeWhenIdle(result spool.Result, err error) (spool.Result, error) {
	if err != nil || result.TxStatus == 'I' {
		executor.Close()
	}
	return result, err
}

// Close rolls back an open transaction.
func (executor *executor) Close() {
	if executor.pinned != nil {
		executor.pinned.Close()
		executor.pinned = nil
	}
}
