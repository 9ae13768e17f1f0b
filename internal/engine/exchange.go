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
	maxAttempts   = 4                      // of one statement; each goes to another server or follows a change of primary
	beginPatience = 700 * time.Millisecond // for statements that need no slot: a round trip of 40 ms and two retransmissions
	busyPause     = 15 * time.Millisecond  // before a full server is asked again; about the work of one statement
	ageMargin     = 30 * time.Millisecond  // kept off a route's age, for the way of the request to the server
	waitPart      = 4                      // a statement that gets no connection within this part of the objective is refused
	longestWait   = 500 * time.Millisecond // of a statement without an objective
)

// single runs a statement outside of a transaction.
func (session *session) single(ctx context.Context, statement *statement) spool.Answer {
	if refusal := session.mayCommit(statement); refusal != nil {
		return spool.Answer{Refusal: refusal, State: spool.TxIdle}
	}
	var avoid []spool.Server
	last := spool.Refuse(spool.CodeNoSlot, "no server could run the statement").WithRetryAfter(busyPause)
	for statement.attempts < maxAttempts && time.Now().Before(statement.deadline) {
		primary := statement.Writes || session.route.Consistency == spool.ConsistencyPrimary || session.needsPrimary(ctx, statement)
		conn, refusal := session.acquire(ctx, statement, primary, avoid)
		if refusal != nil {
			last = refusal
			break
		}
		answer, again := session.attempt(statement, conn, primary)
		if !again {
			return answer
		}
		last = answer.Refusal
		if !primary {
			avoid = append(avoid, conn.Server())
		} else if last.Code == spool.CodeNoSlot {
			time.Sleep(busyPause)
		}
	}
	return spool.Answer{Refusal: last, State: spool.TxIdle}
}

// attempt runs a single statement on a connection; again tells that it did not run, or only read, and may be repeated.
func (session *session) attempt(statement *statement, conn *pool.Conn, primary bool) (answer spool.Answer, again bool) {
	engine := session.engine
	defer engine.pool.Release(conn)
	fenced := primary && !statement.Writes
	var begin []spool.Command
	if fenced {
		begin = []spool.Command{{Verb: spool.VerbBegin}}
	}
	command, refusal := session.ready(statement, conn, begin, false)
	if refusal != nil {
		return spool.Answer{Refusal: refusal}, true
	}
	sent := engine.timers.Now()
	answer, err := session.exchange(statement, conn, command)
	if fenced {
		_ = engine.pool.RollBack(conn) // a failure marks the connection as unusable
	}
	if err != nil {
		return session.lost(statement, err), !statement.Writes && !errors.Is(err, os.ErrDeadlineExceeded)
	}
	answer.State = spool.TxIdle
	if answer.Refusal != nil {
		return answer, session.repeatable(answer.Refusal, conn, statement.MinPosition)
	}
	if statement.Writes {
		session.committed(conn, answer.Position, sent)
	}
	return answer, false
}

// repeatable tells if a server's refusal means that the statement did not run and another attempt may help.
func (session *session) repeatable(refusal *spool.Refusal, conn *pool.Conn, after spool.LogPosition) bool {
	switch refusal.Code {
	case spool.CodeReadOnly:
		session.engine.pool.RecordNotPrimary(session.route.Group, conn.Server())
		return true
	case spool.CodeNoStatement:
		conn.MarkBroken() // the server lost what was prepared
		return true
	case spool.CodeLagging:
		session.engine.pool.RecordLagging(conn, after)
		return true
	case spool.CodeNoSlot:
		return true
	}
	return false
}

// lost answers a statement whose connection broke or whose time ended.
func (session *session) lost(statement *statement, err error) spool.Answer {
	refusal := &spool.Refusal{Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, Message: "the server gave no answer", Cause: err}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		refusal.Code, refusal.Message = spool.CodeDeadlineExpired, "the statement took too long"
	} else if !statement.Writes {
		refusal = spool.Refuse(spool.CodeRolledBack, "the server's connection broke").WithRetryAfter(busyPause).WithCause(err)
	}
	return spool.Answer{Refusal: refusal, State: spool.TxIdle}
}

// acquire waits for a connection for a part of the route's objective.
func (session *session) acquire(
	ctx context.Context, statement *statement, primary bool, avoid []spool.Server,
) (*pool.Conn, *spool.Refusal) {
	wait := longestWait
	if session.route.Target > 0 {
		wait = session.route.Target / waitPart
	}
	deadline := time.Now().Add(wait)
	if statement.deadline.Before(deadline) {
		deadline = statement.deadline
	}
	return session.engine.pool.Acquire(ctx, pool.Request{
		Group: session.route.Group, Team: session.team, Values: session.values,
		Primary: primary, Avoid: avoid, After: statement.MinPosition, Priority: session.route.Priority, Deadline: deadline,
		IdleTimeout: max(session.route.Timeout, session.engine.config.Load().TxIdle),
	})
}

// needsPrimary sets the position that a replica must have, and tells if none is known so that only the primary will do.
func (session *session) needsPrimary(ctx context.Context, statement *statement) bool {
	since := statement.received.Add(ageMargin - session.route.MaxAge)
	position, known := session.engine.pool.ReadPosition(ctx, session.route.Group, since)
	if !known {
		statement.MinPosition = spool.LogPosition{}
		return true
	}
	if session.route.Consistency == spool.ConsistencyReadYourWrites {
		position = position.Max(session.seen)
	}
	statement.MinPosition = position
	return false
}

// ready gives the connection the session's values, the statement's shape and a transaction, and returns the command to
// send; a refusal says that the statement was not sent.
func (session *session) ready(
	statement *statement, conn *pool.Conn, begin []spool.Command, inTransaction bool,
) (spool.Command, *spool.Refusal) {
	engine := session.engine
	prepare := conn.SetupCommands(session.values, inTransaction)
	command := statement.Command
	if statement.shape != "" {
		name, shape := conn.PreparedStatement(statement.shape)
		prepare = append(prepare, shape...)
		command.Name = name
	}
	prepare = append(prepare, begin...)
	deadline := time.Now().Add(beginPatience)
	sent := engine.timers.Now()
	if len(prepare) > 0 {
		if err := conn.Send(prepare...); err != nil {
			return command, session.unprepared(conn, err)
		}
	}
	if err := conn.DiscardPending(deadline); err != nil {
		return command, session.unprepared(conn, err)
	}
	for i := range prepare {
		answer, err := conn.Receive(deadline)
		if err != nil {
			return command, session.unprepared(conn, err)
		}
		if answer.Refusal == nil {
			if prepare[i].Verb == spool.VerbBegin {
				watermark := fresh.Watermark{Position: answer.Position, SentAt: sent}
				engine.pool.RecordPrimary(session.route.Group, conn.Server(), watermark)
			}
			continue
		}
		if i < len(prepare)-len(begin) {
			return command, session.unprepared(conn, answer.Refusal)
		}
		session.repeatable(answer.Refusal, conn, statement.MinPosition) // notes what the refusal tells; BEGIN never ran
		return command, answer.Refusal
	}
	return command, nil
}

// unprepared gives up a connection on which nothing of the caller was sent.
func (session *session) unprepared(conn *pool.Conn, cause error) *spool.Refusal {
	session.engine.pool.RecordFailure(conn, cause)
	return spool.Refuse(spool.CodeNoSlot, "the connection could not be prepared").WithRetryAfter(beginPatience).WithCause(cause)
}

// exchange sends the statement and waits for the whole answer; an error means that its outcome is not known.
func (session *session) exchange(statement *statement, conn *pool.Conn, command spool.Command) (spool.Answer, error) {
	engine := session.engine
	statement.attempts++
	statement.server, statement.lender = conn.Server(), conn.Lender()
	began := engine.timers.Now()
	session.settle(true)
	err := conn.Send(command)
	var answer spool.Answer
	if err == nil {
		answer, err = conn.Receive(statement.deadline)
	}
	late := errors.Is(err, os.ErrDeadlineExceeded)
	unconfirmed := answer.Refusal != nil && answer.Refusal.Code == spool.CodeDeadlineExpired
	if (late || unconfirmed) && session.commits(statement) {
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

// commits tells if a statement makes the server commit.
func (session *session) commits(statement *statement) bool {
	if session.state == spool.TxOpen {
		return statement.Verb == spool.VerbCommit && session.tx.wrote
	}
	return statement.Writes
}

// mayCommit refuses a statement that writes while the primary answers no commits.
func (session *session) mayCommit(statement *statement) *spool.Refusal {
	last := session.commits(statement)
	if !last && !statement.Writes {
		return nil
	}
	wait, allowed := session.engine.pool.MayCommit(session.route.Group, last)
	if allowed {
		return nil
	}
	return spool.Refuse(spool.CodeNoSlot, "the primary completes no commits").WithRetryAfter(wait)
}

// committed notes an acknowledged commit.
func (session *session) committed(conn *pool.Conn, position spool.LogPosition, sent spool.Instant) {
	session.seen = session.seen.Max(position)
	session.engine.pool.RecordCommit(session.route.Group, position)
	watermark := fresh.Watermark{Position: position, SentAt: sent}
	session.engine.pool.RecordPrimary(session.route.Group, conn.Server(), watermark)
}
