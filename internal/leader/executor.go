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

// Request is a unit of work for a group.
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

// Executor carries one transaction to one server; the server is chosen by the first cycle.
type Executor struct {
	group   *Group
	request Request
	place   place
	link    *link
}

// Start returns an executor for a request.
func (group *Group) Start(request Request) *Executor {
	return &Executor{group: group, request: request}
}

// Exchange sends one cycle and passes the answer on; errors are ErrMoved, *spool.Refusal or the sink's own.
func (executor *Executor) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if executor.link != nil {
		result, _, err := executor.run(ctx, cycle, sink)
		return result, err
	}
	for {
		if err := executor.acquire(ctx); err != nil {
			return executor.lost(err), err
		}
		result, passed, err := executor.run(ctx, cycle, sink)
		if err == nil || passed || !executor.mayRetry(err) {
			return result, err
		}
	}
}

// lost gives a session whose write was lost the token with which it may go on.
func (executor *Executor) lost(err error) spool.Result {
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

// acquire takes a slot and a connection.
func (executor *Executor) acquire(ctx context.Context) error {
	need := route.Need{
		Token: executor.request.Token, Tokenless: executor.request.Tokenless,
		Read: executor.request.Read, MaxAge: executor.request.MaxAge,
	}
	for {
		taken, err := executor.group.acquire(ctx, executor.request.Team, need, executor.request.Deadline)
		if err != nil {
			return err
		}
		link, refusal := executor.group.connect(ctx, taken.server)
		if refusal == nil {
			executor.place, executor.link = taken, link
			if taken.primary {
				executor.group.watch(link, taken.term)
			}
			return nil
		}
		executor.group.release(taken.server, executor.request.Team)
		if refusal.Code == spool.CodeNoSlot || executor.group.timers.Now() >= executor.request.Deadline {
			return refusal
		}
		executor.group.Miss(executor.group.serverName(taken.server))
		_ = clock.Wait(ctx, executor.group.timers, redialPause)
	}
}

func (group *Group) serverName(index int) spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.specs[index].Name
}

// run exchanges one cycle over the executor's connection; passed tells whether the sink got bytes.
func (executor *Executor) run(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, bool, error) {
	if !executor.place.primary {
		tally := &Tally{Sink: sink}
		result, err := executor.link.Exchange(ctx, cycle, tally)
		result.Replica = true
		result.Token = executor.token(executor.place.term, executor.place.floor)
		executor.settle(result, err)
		if err == nil {
			executor.group.observer.CountRead(true)
		}
		return result, tally.Passed, err
	}
	guard := &guard{sink: sink, allows: func() bool { return executor.group.allows(executor.place.term) }}
	result, err := executor.link.Exchange(ctx, cycle, guard)
	if err == nil {
		result, err = executor.acknowledge(ctx, result, guard)
	}
	executor.settle(result, err)
	if errors.Is(err, errFenced) {
		err = fenced()
	}
	if err == nil && executor.request.Read {
		executor.group.observer.CountRead(false)
	}
	return result, guard.passed, err
}

// acknowledge passes on what the guard holds, once the write is as durable as the route asks and the lease still runs.
func (executor *Executor) acknowledge(ctx context.Context, result spool.Result, guard *guard) (spool.Result, error) {
	reported := result.Token
	result.Token = executor.token(executor.place.term, executor.place.floor)
	if reported != executor.link.last && reported.Position > 0 {
		executor.link.last = reported
		result.Token.Position = max(result.Token.Position, reported.Position)
		if executor.request.Durable && !executor.replicated(ctx, reported.Position) {
			return result, notReplicated()
		}
		executor.group.acknowledge(executor.place.term, reported.Position)
	}
	if err := guard.flush(); err != nil {
		return result, err
	}
	if !executor.group.allows(executor.place.term) {
		return result, errFenced
	}
	return result, nil
}

func (group *Group) acknowledge(term spool.Term, position spool.Position) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.table.RecordAcknowledged(term, position)
}

// replicated waits until a replica holds a position, or until the position proves to be part of a later term's log.
func (executor *Executor) replicated(ctx context.Context, position spool.Position) bool {
	group := executor.group
	for {
		group.mutex.Lock()
		held := group.table.Replicated(executor.place.term, position)
		survived, open := group.table.Survived(executor.place.term, position)
		term := group.table.Current.Term
		changed := group.changed
		group.mutex.Unlock()
		switch {
		case held && open:
			return true
		case term > executor.place.term && open:
			executor.place.term = term
			return survived
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// settle gives slot and connection back at the end of a transaction or after a failure.
func (executor *Executor) settle(result spool.Result, err error) {
	if err == nil && result.TxStatus != txIdle {
		return
	}
	executor.free(err == nil)
}

func (executor *Executor) free(clean bool) {
	link := executor.link
	executor.link = nil
	executor.group.unwatch(link)
	executor.group.put(link, clean)
	executor.group.release(executor.place.server, executor.request.Team)
}

// mayRetry tells whether the first cycle may be sent to another server and changes the request accordingly.
func (executor *Executor) mayRetry(err error) bool {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) || executor.group.timers.Now() >= executor.request.Deadline {
		return false
	}
	if refusal.Code == spool.CodeReadOnly {
		again := !executor.place.primary
		executor.request.Read = false
		return again
	}
	if refusal.Verdict == spool.VerdictNotRun {
		return refusal.Code == spool.CodeNoPrimary || refusal.Code == spool.CodeShutdown
	}
	repeatable := executor.request.Idempotent || (executor.request.Read && !executor.place.primary)
	return refusal.Verdict == spool.VerdictUnknown && repeatable
}

// Close rolls back what is open and gives the executor back.
func (executor *Executor) Close() {
	if executor.link != nil {
		executor.free(false)
	}
}

// Valid returns the instant until which the executor's answers may be passed on; false sets no bound.
func (executor *Executor) Valid() (spool.Instant, bool) {
	return executor.group.Valid(executor.place.term), executor.place.primary
}

func fenced() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, RetryAfter: gapRetryAfter,
		Message: "the server answered, but it may have been replaced as primary before",
	}
}

func notReplicated() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown,
		Message: "the primary ran the statement, but no replica confirmed it before the deadline",
	}
}
