package leader

import (
	"context"
	"errors"
	"time"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/pkg/spool"
)

const txIdle = 'I'

// Request describes a transaction for a group.
type Request struct {
	Team       spool.Team
	Token      spool.SessionToken
	Tokenless  bool
	Read       bool
	Idempotent bool
	Durable    bool
	MaxAge     time.Duration
	Deadline   spool.Instant
}

// Executor runs one transaction on one server, which is chosen at the first cycle.
type Executor struct {
	group   *Group
	request Request
	slot    grantedSlot
	conn    *pooledConn
}

// NewExecutor returns an executor for a request.
func (group *Group) NewExecutor(request Request) *Executor {
	return &Executor{group: group, request: request}
}

// Exchange sends one cycle and forwards the answer; it returns ErrNotLeader, a *spool.Refusal or an error of the sink.
func (executor *Executor) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if executor.conn != nil {
		result, _, err := executor.run(ctx, cycle, sink)
		return result, err
	}
	for {
		if err := executor.acquire(ctx); err != nil {
			return executor.failedResult(err), err
		}
		result, written, err := executor.run(ctx, cycle, sink)
		if err == nil || written || !executor.mayRetry(err) {
			return result, err
		}
	}
}

// failedResult returns the result of a failed exchange; a session whose write was lost gets a token to continue with.
func (executor *Executor) failedResult(err error) spool.Result {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) || refusal.Verdict != spool.VerdictLost {
		return spool.Result{TxStatus: txIdle}
	}
	executor.group.mutex.Lock()
	defer executor.group.mutex.Unlock()
	token := executor.token(executor.group.table.Current.Term, executor.group.table.Acked)
	return spool.Result{TxStatus: txIdle, Token: token}
}

func (executor *Executor) token(term spool.Term, position spool.Position) spool.SessionToken {
	return spool.SessionToken{Group: executor.group.name, Term: term, Position: position}
}

// acquire acquires a slot and a connection.
func (executor *Executor) acquire(ctx context.Context) error {
	need := route.Need{
		Token: executor.request.Token, Tokenless: executor.request.Tokenless,
		Read: executor.request.Read, MaxAge: executor.request.MaxAge,
	}
	for {
		slot, err := executor.group.acquireSlot(ctx, executor.request.Team, need, executor.request.Deadline)
		if err != nil {
			return err
		}
		pooledConn, err := executor.group.connect(ctx, slot.server)
		if err == nil {
			executor.slot, executor.conn = slot, pooledConn
			if slot.primary {
				executor.group.trackPrimaryConn(pooledConn, slot.term)
			}
			return nil
		}
		executor.group.releaseSlot(slot.server, executor.request.Team)
		if errors.Is(err, errServersChanged) {
			continue
		}
		var refusal *spool.Refusal
		unreachable := errors.As(err, &refusal) && refusal.Code == spool.CodeNoPrimary
		if !unreachable || executor.group.timers.Now() >= executor.request.Deadline {
			return err
		}
		executor.group.MarkDown(executor.group.serverName(slot.server))
		_ = clock.Wait(ctx, executor.group.timers, redialDelay)
	}
}

func (group *Group) serverName(index int) spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.specs[index].Name
}

// run exchanges one cycle on the executor's connection; it also reports whether bytes were written to the sink.
func (executor *Executor) run(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, bool, error) {
	if !executor.slot.primary {
		writeTracker := &WriteTracker{Sink: sink}
		result, err := executor.conn.Exchange(ctx, cycle, writeTracker)
		result.Replica = true
		result.Token = executor.token(executor.slot.term, executor.slot.floor)
		executor.releaseIfDone(result, err)
		if err == nil {
			executor.group.observer.CountRead(true)
		}
		return result, writeTracker.Written, err
	}
	fencedSink := &fencedSink{sink: sink, allows: func() bool { return executor.group.allows(executor.slot.term) }}
	result, err := executor.conn.Exchange(ctx, cycle, fencedSink)
	if err == nil {
		result, err = executor.acknowledge(ctx, result, fencedSink)
	}
	executor.releaseIfDone(result, err)
	if errors.Is(err, errFenced) {
		err = fencedRefusal()
	}
	if err == nil && executor.request.Read {
		executor.group.observer.CountRead(false)
	}
	return result, fencedSink.written, err
}

// acknowledge forwards the buffered answer once the write is as durable as the route requires and while the lease holds.
func (executor *Executor) acknowledge(ctx context.Context, result spool.Result, fencedSink *fencedSink) (spool.Result, error) {
	reported := result.Token
	result.Token = executor.token(executor.slot.term, executor.slot.floor)
	if reported != executor.conn.lastToken && reported.Position > 0 {
		executor.conn.lastToken = reported
		result.Token.Position = max(result.Token.Position, reported.Position)
		if executor.request.Durable && !executor.waitReplicated(ctx, reported.Position) {
			return result, notReplicatedRefusal()
		}
		executor.group.acknowledge(executor.slot.term, reported.Position)
	}
	if err := fencedSink.flush(); err != nil {
		return result, err
	}
	if !executor.group.allows(executor.slot.term) {
		return result, errFenced
	}
	return result, nil
}

func (group *Group) acknowledge(term spool.Term, position spool.Position) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.table.RecordAcknowledged(term, position)
}

// waitReplicated waits until a replica holds a position or a later term opens, and reports whether the position is kept.
func (executor *Executor) waitReplicated(ctx context.Context, position spool.Position) bool {
	group := executor.group
	for {
		group.mutex.Lock()
		held := group.table.Replicated(executor.slot.term, position)
		survived, open := group.table.Survived(executor.slot.term, position)
		term := group.table.Current.Term
		tableChanged := group.tableChanged
		group.mutex.Unlock()
		switch {
		case held && open:
			return true
		case term > executor.slot.term && open:
			executor.slot.term = term
			return survived
		}
		select {
		case <-tableChanged:
		case <-ctx.Done():
			return false
		}
	}
}

// releaseIfDone releases the slot and the connection at the end of a transaction or after a failure.
func (executor *Executor) releaseIfDone(result spool.Result, err error) {
	if err == nil && result.TxStatus != txIdle {
		return
	}
	executor.release(err == nil)
}

func (executor *Executor) release(clean bool) {
	pooledConn := executor.conn
	executor.conn = nil
	executor.group.untrackPrimaryConn(pooledConn)
	executor.group.returnConn(pooledConn, clean)
	executor.group.releaseSlot(executor.slot.server, executor.request.Team)
}

// mayRetry reports whether the first cycle may be sent again; after a read-only refusal the request goes to the primary.
func (executor *Executor) mayRetry(err error) bool {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) || executor.group.timers.Now() >= executor.request.Deadline {
		return false
	}
	if refusal.Code == spool.CodeReadOnly {
		retry := !executor.slot.primary
		executor.request.Read = false
		return retry
	}
	if refusal.Verdict == spool.VerdictNotRun {
		return refusal.Code == spool.CodeNoPrimary || refusal.Code == spool.CodeShutdown
	}
	repeatable := executor.request.Idempotent || (executor.request.Read && !executor.slot.primary)
	return refusal.Verdict == spool.VerdictUnknown && repeatable
}

// Close rolls back an open transaction and releases the slot and the connection.
func (executor *Executor) Close() {
	if executor.conn != nil {
		executor.release(false)
	}
}

// ValidUntil returns the instant until which the executor's answers may be forwarded; false means that there is no bound.
func (executor *Executor) ValidUntil() (spool.Instant, bool) {
	return executor.group.ValidUntil(executor.slot.term), executor.slot.primary
}

func fencedRefusal() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, RetryAfter: noPrimaryRetryAfter,
		Message: "the server answered, but it may have been replaced as primary before",
	}
}

func notReplicatedRefusal() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown,
		Message: "the primary ran the statement, but no replica confirmed it before the deadline",
	}
}
