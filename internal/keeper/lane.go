package keeper

import (
	"context"
	"errors"
	"time"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/pkg/spool"
)

const txIdle = 'I'

// Request is a unit of work for a group.
type Request struct {
	Team       spool.Team
	Token      spool.Token
	Tokenless  bool
	Read       bool
	Idempotent bool
	Durable    bool
	MaxAge     time.Duration
	Deadline   spool.Instant
}

// Lane carries one transaction to one server; the server is chosen by the first cycle.
type Lane struct {
	group   *Group
	request Request
	place   place
	link    *link
}

// Start returns a lane for a request.
func (group *Group) Start(request Request) *Lane {
	return &Lane{group: group, request: request}
}

// Exchange sends one cycle and passes the answer on; errors are ErrMoved, *spool.Refusal or the sink's own.
func (lane *Lane) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if lane.link != nil {
		result, _, err := lane.run(ctx, cycle, sink)
		return result, err
	}
	for {
		if err := lane.acquire(ctx); err != nil {
			return lane.lost(err), err
		}
		result, passed, err := lane.run(ctx, cycle, sink)
		if err == nil || passed || !lane.mayRetry(err) {
			return result, err
		}
	}
}

// lost gives a session whose write was lost the token with which it may go on.
func (lane *Lane) lost(err error) spool.Result {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) || refusal.Verdict != spool.Lost {
		return spool.Result{TxStatus: txIdle}
	}
	lane.group.mutex.Lock()
	defer lane.group.mutex.Unlock()
	token := lane.token(lane.group.table.Reign.Term, lane.group.table.Acked)
	return spool.Result{TxStatus: txIdle, Token: token}
}

func (lane *Lane) token(term spool.Term, position spool.Position) spool.Token {
	return spool.Token{Group: lane.group.name, Term: term, Position: position}
}

// acquire takes a slot and a connection.
func (lane *Lane) acquire(ctx context.Context) error {
	need := route.Need{
		Token: lane.request.Token, Tokenless: lane.request.Tokenless,
		Read: lane.request.Read, MaxAge: lane.request.MaxAge,
	}
	for {
		taken, err := lane.group.acquire(ctx, lane.request.Team, need, lane.request.Deadline)
		if err != nil {
			return err
		}
		link, refusal := lane.group.connect(ctx, taken.server)
		if refusal == nil {
			lane.place, lane.link = taken, link
			if taken.primary {
				lane.group.watch(link, taken.term)
			}
			return nil
		}
		lane.group.release(taken.server, lane.request.Team)
		if refusal.Code == spool.CodeNoSlot || lane.group.timers.Now() >= lane.request.Deadline {
			return refusal
		}
		lane.group.Miss(lane.group.serverName(taken.server))
		pause(ctx, redialPause)
	}
}

func (group *Group) serverName(index int) spool.Server {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.specs[index].Name
}

// run exchanges one cycle over the lane's connection; passed tells whether the sink got bytes.
func (lane *Lane) run(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, bool, error) {
	if !lane.place.primary {
		tally := &tally{sink: sink}
		result, err := lane.link.Exchange(ctx, cycle, tally)
		result.Replica = true
		result.Token = lane.token(lane.place.term, lane.place.floor)
		lane.settle(result, err)
		if err == nil {
			lane.group.observer.Read(true)
		}
		return result, tally.passed, err
	}
	guard := &guard{sink: sink, allows: func() bool { return lane.group.allows(lane.place.term) }}
	result, err := lane.link.Exchange(ctx, cycle, guard)
	if err == nil {
		result, err = lane.acknowledge(ctx, result, guard)
	}
	lane.settle(result, err)
	if errors.Is(err, errFenced) {
		err = fenced()
	}
	if err == nil && lane.request.Read {
		lane.group.observer.Read(false)
	}
	return result, guard.passed, err
}

// acknowledge passes on what the guard holds, once the write is as durable as the route asks and the lease still runs.
func (lane *Lane) acknowledge(ctx context.Context, result spool.Result, guard *guard) (spool.Result, error) {
	reported := result.Token
	result.Token = lane.token(lane.place.term, lane.place.floor)
	if reported != lane.link.last && reported.Position > 0 {
		lane.link.last = reported
		result.Token.Position = max(result.Token.Position, reported.Position)
		if lane.request.Durable && !lane.replicated(ctx, reported.Position) {
			return result, notReplicated()
		}
		lane.group.acknowledge(lane.place.term, reported.Position)
	}
	if err := guard.flush(); err != nil {
		return result, err
	}
	if !lane.group.allows(lane.place.term) {
		return result, errFenced
	}
	return result, nil
}

func (group *Group) acknowledge(term spool.Term, position spool.Position) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.table.Acknowledge(term, position)
}

// replicated waits until a replica holds a position, or until the position proves to be part of a later term's log.
func (lane *Lane) replicated(ctx context.Context, position spool.Position) bool {
	group := lane.group
	for {
		group.mutex.Lock()
		held := group.table.Replicated(lane.place.term, position)
		survived, open := group.table.Survived(lane.place.term, position)
		term := group.table.Reign.Term
		changed := group.changed
		group.mutex.Unlock()
		switch {
		case held && open:
			return true
		case term > lane.place.term && open:
			lane.place.term = term
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
func (lane *Lane) settle(result spool.Result, err error) {
	if err == nil && result.TxStatus != txIdle {
		return
	}
	lane.free(err == nil)
}

func (lane *Lane) free(clean bool) {
	link := lane.link
	lane.link = nil
	lane.group.unwatch(link)
	lane.group.put(link, clean)
	lane.group.release(lane.place.server, lane.request.Team)
}

// mayRetry tells whether the first cycle may be sent to another server and changes the request accordingly.
func (lane *Lane) mayRetry(err error) bool {
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) || lane.group.timers.Now() >= lane.request.Deadline {
		return false
	}
	if refusal.Code == spool.CodeReadOnly {
		again := !lane.place.primary
		lane.request.Read = false
		return again
	}
	if refusal.Verdict == spool.NotRun {
		return refusal.Code == spool.CodeNoPrimary || refusal.Code == spool.CodeShutdown
	}
	repeatable := lane.request.Idempotent || (lane.request.Read && !lane.place.primary)
	return refusal.Verdict == spool.Unknown && repeatable
}

// Close rolls back what is open and gives the lane back.
func (lane *Lane) Close() {
	if lane.link != nil {
		lane.free(false)
	}
}

// Valid returns the instant until which the lane's answers may be passed on; false sets no bound.
func (lane *Lane) Valid() (spool.Instant, bool) {
	return lane.group.Valid(lane.place.term), lane.place.primary
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func fenced() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.Unknown, Code: spool.CodeOutcomeUnknown, RetryAfter: gapRetryAfter,
		Message: "the server answered, but it may have been replaced as primary before",
	}
}

func notReplicated() *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.Unknown, Code: spool.CodeOutcomeUnknown,
		Message: "the primary ran the statement, but no replica confirmed it before the deadline",
	}
}
