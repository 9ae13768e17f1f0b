package node

import (
	"context"
	"errors"
	"time"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/keeper"
	"corianderspool.example/spool/pkg/spool"
)

const (
	movedPause      = 10 * time.Millisecond
	movedRetryAfter = 1 * time.Second
	seekInterval    = 5 * time.Millisecond
)

// lane carries a caller's transaction to the group's keeper, on this proxy or another.
type lane struct {
	node    *Node
	group   spool.Group
	request keeper.Request
	timeout time.Duration
	pinned  spool.Lane
}

// Exchange sends one cycle; the first one finds the keeper.
func (lane *lane) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, lane.timeout)
	defer cancel()
	if lane.pinned != nil {
		result, err := lane.pinned.Exchange(ctx, cycle, sink)
		return lane.finish(result, err)
	}
	for {
		attempt, found := lane.attempt()
		if found {
			tally := &tally{Sink: sink}
			result, err := attempt.Exchange(ctx, cycle, tally)
			if !errors.Is(err, keeper.ErrMoved) && !lane.mayRepeat(err, tally) {
				lane.pinned = attempt
				return lane.finish(result, err)
			}
			attempt.Close()
		}
		if err := lane.waitForKeeper(ctx); err != nil {
			return spool.Result{TxStatus: 'I'}, err
		}
	}
}

// attempt returns a lane to the proxy that is known to hold the group's lease.
func (lane *lane) attempt() (spool.Lane, bool) {
	if kept, here := lane.node.groups.get(lane.group); here {
		return kept.Start(lane.request), true
	}
	role := lease.GroupRole(lane.group)
	vm, known := lane.node.holder(role)
	if !known {
		lane.node.seek(role)
		return nil, false
	}
	if vm == lane.node.settings.VM {
		return nil, false
	}
	return newForward(lane.node, vm, lane.group, lane.request), true
}

// mayRepeat tells whether the request may be sent again after an unknown outcome.
func (lane *lane) mayRepeat(err error, tally *tally) bool {
	var refusal *spool.Refusal
	if !lane.request.Idempotent || tally.passed || !errors.As(err, &refusal) {
		return false
	}
	return refusal.Verdict == spool.Unknown
}

// tally remembers whether any bytes of an answer were passed on.
type tally struct {
	spool.Sink
	passed bool
}

// Write passes messages on.
func (tally *tally) Write(messages []byte) (int, error) {
	tally.passed = true
	return tally.Sink.Write(messages)
}

// seek has the core look for a role's holder; many requests may wait for the same one.
func (node *Node) seek(role lease.Role) {
	now := node.timers.Now()
	last := node.soughtAt.Load()
	if now.Sub(spool.Instant(last)) < seekInterval || !node.soughtAt.CompareAndSwap(last, int64(now)) {
		return
	}
	node.handle(core.Missing{Role: role})
}

func (lane *lane) waitForKeeper(ctx context.Context) error {
	if lane.node.timers.Now().Add(movedPause) >= lane.request.Deadline || ctx.Err() != nil {
		return &spool.Refusal{
			Verdict: spool.NotRun, Code: spool.CodeNoPrimary, RetryAfter: movedRetryAfter,
			Message: "no proxy serves the database group at the moment",
		}
	}
	pause(ctx, movedPause)
	return nil
}

// finish lets go of the lane at the end of a transaction.
func (lane *lane) finish(result spool.Result, err error) (spool.Result, error) {
	if err != nil || result.TxStatus == 'I' {
		lane.Close()
	}
	return result, err
}

// Close rolls back what is open.
func (lane *lane) Close() {
	if lane.pinned != nil {
		lane.pinned.Close()
		lane.pinned = nil
	}
}
