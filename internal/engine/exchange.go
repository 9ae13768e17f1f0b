package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxAttempts    = 4                      // per statement; each uses another server or follows a change of primary
	setupTimeout   = 700 * time.Millisecond // for setup commands, which need no slot: a round trip of 40 ms and two retransmissions
	busyRetryDelay = 15 * time.Millisecond  // before a retry on a full server; about the time that a server works on one statement
	ageMargin      = 30 * time.Millisecond  // subtracted from a route's maximum age, for the transit of the request to the server
	waitDivisor    = 4                      // a statement that gets no connection within the latency objective divided by this is refused
	warmupRetry    = 500 * time.Millisecond // retry hint to callers whose server warms up and had no room for their statement
	maxWait        = 500 * time.Millisecond // for a connection on a route without a latency objective
)

// runSingle runs a statement outside of a transaction, with retries.
func (session *session) runSingle(ctx context.Context, statement *statement) spool.Answer {
	if refusal := session.checkCommitAllowed(statement); refusal != nil {
		return spool.Answer{Refusal: refusal, State: spool.TxIdle}
	}
	var avoid []spool.Server
	last := spool.Refuse(spool.CodeNoSlot, "no server could run the statement").WithRetryAfter(busyRetryDelay)
	for statement.attempts < maxAttempts && time.Now().Before(statement.deadline) {
		primary := statement.Writes || session.route.Consistency == spool.ConsistencyPrimary || session.needsPrimary(ctx, statement)
		conn, refusal := session.acquire(ctx, statement, primary, avoid)
		if refusal != nil {
			last = refusal
			break
		}
		answer, retry := session.runOn(statement, conn, primary)
		session.release(conn)
		if !retry {
			return answer
		}
		last = answer.Refusal
		if !primary {
			avoid = append(avoid, conn.Server())
		} else if last.Code == spool.CodeNoSlot {
			time.Sleep(busyRetryDelay)
		}
	}
	return spool.Answer{Refusal: last, State: spool.TxIdle}
}

// runOn runs a single statement on a connection; retry is true if it did not run, or only read, and may run again.
func (session *session) runOn(statement *statement, conn *pool.Conn, primary bool) (answer spool.Answer, retry bool) {
	engine := session.engine
	verifyPrimary := primary && !statement.Writes
	var begin []spool.Command
	if verifyPrimary {
		begin = []spool.Command{{Verb: spool.VerbBegin}}
	}
	if refusal := session.checkHome(conn); refusal != nil {
		return spool.Answer{Refusal: refusal}, true
	}
	command, refusal := session.setUp(statement, conn, begin, false)
	if refusal != nil {
		return spool.Answer{Refusal: refusal}, true
	}
	sent := engine.timers.Now()
	answer, err := session.exchange(statement, conn, command)
	if verifyPrimary {
		_ = engine.pool.RollBack(conn) // a failure marks the connection as broken
	}
	if answer, unsent := notSent(err); unsent {
		return answer, true
	}
	if err != nil {
		return session.connectionLost(statement, err), !statement.Writes && !errors.Is(err, os.ErrDeadlineExceeded)
	}
	answer.State = spool.TxIdle
	if answer.Refusal != nil {
		return answer, session.recordRefusal(answer.Refusal, conn, statement.MinPosition)
	}
	if statement.Writes && !session.recordCommit(statement, conn, answer.Position, sent) {
		return unacknowledged(), false
	}
	return answer, false
}

// recordRefusal records what a server's refusal shows, and reports whether the statement did not run and a retry may
// succeed.
func (session *session) recordRefusal(refusal *spool.Refusal, conn *pool.Conn, minPosition spool.LogPosition) bool {
	switch refusal.Code {
	case spool.CodeReadOnly:
		session.engine.pool.RecordNotPrimary(session.route.Group, conn.Server())
		return true
	case spool.CodeNoStatement:
		conn.MarkBroken() // the server lost the prepared statement
		return true
	case spool.CodeLagging:
		session.engine.pool.RecordLagging(conn, minPosition)
		return true
	case spool.CodeNoSlot:
		return true
	}
	return false
}

// connectionLost returns the answer for a statement whose connection broke or whose deadline passed.
func (session *session) connectionLost(statement *statement, err error) spool.Answer {
	refusal := &spool.Refusal{Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, Message: "the server gave no answer", Cause: err}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		refusal.Code, refusal.Message = spool.CodeDeadlineExpired, "the statement took too long"
	} else if !statement.Writes {
		refusal = spool.Refuse(spool.CodeRolledBack, "the server's connection broke").WithRetryAfter(busyRetryDelay).WithCause(err)
	}
	return spool.Answer{Refusal: refusal, State: spool.TxIdle}
}

// acquire waits for a connection for at most a fraction of the route's latency objective.
func (session *session) acquire(
	ctx context.Context, statement *statement, primary bool, avoid []spool.Server,
) (*pool.Conn, *spool.Refusal) {
	deadline := session.waitDeadline(statement)
	conn, refusal := session.engine.pool.Acquire(ctx, pool.Request{
		Group: session.route.Group, Team: session.team, Values: session.values,
		Primary: primary, Avoid: avoid, MinPosition: statement.MinPosition, Priority: session.route.Priority, Deadline: deadline,
		IdleTimeout: max(session.route.Timeout, session.engine.config.Load().TxIdle), Allowed: session.allowed(),
	})
	session.inUse = conn
	if refusal == nil && !session.authorized(session.engine.config.Load()) {
		session.release(conn) // the key was withdrawn during the wait
		return nil, withdrawn()
	}
	return conn, session.explainHome(refusal)
}

// waitDeadline returns until when a statement waits for a connection, or for room at a server that warms up.
func (session *session) waitDeadline(statement *statement) time.Time {
	wait := maxWait
	if session.route.Target > 0 {
		wait = session.route.Target / waitDivisor
	}
	deadline := time.Now().Add(wait)
	if statement.deadline.Before(deadline) {
		return statement.deadline
	}
	return deadline
}

// recheck returns pool.ErrWarmingUp if the session's key or home regions, which were checked before a wait, no longer allow a
// statement on a connection.
func (session *session) recheck(conn *pool.Conn) error {
	if !session.authorized(session.engine.config.Load()) || session.checkHome(conn) != nil {
		return pool.ErrWarmingUp
	}
	return nil
}

// needsPrimary sets the position that a replica must have applied; it returns true if none is known, so that only the
// primary can serve the read.
func (session *session) needsPrimary(ctx context.Context, statement *statement) bool {
	since := statement.received.Add(ageMargin - session.route.MaxAge)
	position, known := session.engine.pool.ReadPosition(ctx, session.route.Group, since)
	if !known {
		statement.MinPosition = spool.LogPosition{}
		return true
	}
	if session.route.Consistency == spool.ConsistencyReadYourWrites {
		position = position.Max(session.lastCommit)
	}
	statement.MinPosition = position
	return false
}

// setUp sets the session's values on the connection, prepares the statement and begins a transaction, and returns the
// command to send; on a refusal the statement was not sent.
func (session *session) setUp(
	statement *statement, conn *pool.Conn, begin []spool.Command, inTransaction bool,
) (spool.Command, *spool.Refusal) {
	engine := session.engine
	setup := conn.SetupCommands(session.values, inTransaction)
	command := statement.Command
	if statement.preparedText != "" {
		name, prepare := conn.PreparedStatement(statement.preparedText)
		setup = append(setup, prepare...)
		command.Name = name
	}
	setup = append(setup, begin...)
	deadline := time.Now().Add(setupTimeout)
	if statement.deadline.Before(deadline) {
		deadline = statement.deadline
	}
	sent := engine.timers.Now()
	if len(setup) > 0 {
		engine.pool.AwaitEvacuation(sent)
		if err := conn.Send(setup...); err != nil {
			return command, session.setupFailed(conn, err)
		}
	}
	if err := conn.DiscardPending(deadline); err != nil {
		return command, session.setupFailed(conn, err)
	}
	for i := range setup {
		answer, err := conn.Receive(deadline)
		if err != nil {
			return command, session.setupFailed(conn, err)
		}
		if answer.Refusal == nil {
			if setup[i].Verb == spool.VerbBegin {
				watermark := fresh.Watermark{Position: answer.Position, SentAt: sent}
				engine.pool.RecordPrimary(session.route.Group, conn.Server(), watermark)
			}
			continue
		}
		if i < len(setup)-len(begin) {
			return command, session.setupFailed(conn, answer.Refusal)
		}
		session.recordRefusal(answer.Refusal, conn, statement.MinPosition) // BEGIN did not run
		return command, answer.Refusal
	}
	return command, nil
}

// setupFailed discards a connection on which no statement of the caller was sent.
func (session *session) setupFailed(conn *pool.Conn, cause error) *spool.Refusal {
	session.engine.pool.RecordFailure(conn, cause)
	if errors.Is(cause, pool.ErrEvacuated) {
		return spool.Refuse(spool.CodeNoSlot, evacuatedReason).WithRetryAfter(busyRetryDelay).WithCause(cause)
	}
	return spool.Refuse(spool.CodeNoSlot, "the connection could not be prepared").WithRetryAfter(setupTimeout).WithCause(cause)
}

// exchange sends the statement and waits for the whole answer; an error means that the outcome is unknown.
func (session *session) exchange(statement *statement, conn *pool.Conn, command spool.Command) (spool.Answer, error) {
	engine := session.engine
	began := engine.timers.Now()
	waited, err := engine.pool.AwaitWarmup(conn, began, session.waitDeadline(statement))
	if waited && err == nil {
		began = engine.timers.Now()
		err = session.recheck(conn)
	}
	if err == nil {
		err = session.checkSend(conn, began)
	}
	if err != nil {
		if !errors.Is(err, pool.ErrWarmingUp) { // the connection to a server that warms up stays usable
			engine.pool.RecordFailure(conn, err)
		}
		return spool.Answer{}, err
	}
	statement.attempts++
	statement.server, statement.lender = conn.Server(), conn.Lender()
	session.finishToken(true)
	err = conn.Send(command)
	if errors.Is(err, pool.ErrUnsendable) {
		return spool.Answer{Refusal: spool.Refuse(spool.CodeProtocol, err.Error())}, nil
	}
	var answer spool.Answer
	if err == nil {
		answer, err = conn.Receive(statement.deadline)
	}
	late := errors.Is(err, os.ErrDeadlineExceeded)
	commitTimedOut := answer.Refusal != nil && answer.Refusal.Code == spool.CodeDeadlineExpired
	if (late || commitTimedOut) && session.isCommit(statement) {
		engine.pool.RecordCommitTimeout(session.route.Group, conn.Server(), began)
	}
	if late {
		engine.pool.Abandon(conn, 1)
		return answer, err
	}
	if err != nil {
		engine.pool.RecordFailure(conn, err)
		return answer, err
	}
	engine.pool.RecordAnswer(conn, answer, engine.timers.Now().Sub(began))
	return answer, nil
}

// isCommit reports whether a statement makes the server commit.
func (session *session) isCommit(statement *statement) bool {
	if session.state == spool.TxOpen {
		return statement.Verb == spool.VerbCommit && session.tx.wrote
	}
	return statement.Writes
}

// checkCommitAllowed refuses a statement that writes while the primary does not answer commits.
func (session *session) checkCommitAllowed(statement *statement) *spool.Refusal {
	isCommit := session.isCommit(statement)
	if !isCommit && !statement.Writes {
		return nil
	}
	wait, allowed := session.engine.pool.MayCommit(session.route.Group, isCommit)
	if allowed {
		return nil
	}
	return spool.Refuse(spool.CodeNoSlot, "the primary completes no commits").WithRetryAfter(wait)
}

// unacknowledged returns the answer for a commit that a server completed while it was being replaced, so that it may be lost.
func unacknowledged() spool.Answer {
	return spool.Answer{Refusal: &spool.Refusal{
		Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, Message: "the primary is being replaced",
	}, State: spool.TxIdle}
}

// recordCommit records a commit before it is acknowledged; it returns false if it must not be.
func (session *session) recordCommit(statement *statement, conn *pool.Conn, position spool.LogPosition, sent spool.Instant) bool {
	pool, group := session.engine.pool, session.route.Group
	if !pool.RecordCommit(group, conn.Server(), position, sent) &&
		!pool.ConfirmCommit(group, conn.Server(), session.team, position, sent, statement.deadline) {
		return false
	}
	session.lastCommit = session.lastCommit.Max(position)
	watermark := fresh.Watermark{Position: position, SentAt: sent}
	session.engine.pool.RecordPrimary(session.route.Group, conn.Server(), watermark)
	return true
}
