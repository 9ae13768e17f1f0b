package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// runInTx runs a statement of an open transaction.
func (session *session) runInTx(ctx context.Context, statement *statement) spool.Answer {
	if !session.authorized(session.engine.config.Load()) {
		refusal := spool.Refuse(spool.CodeRolledBack, withdrawnReason)
		return session.failTxWith(statement, spool.Answer{Refusal: refusal})
	}
	command := statement.Command
	refusal := session.checkStopping()
	if refusal == nil {
		refusal = session.checkCommitAllowed(statement)
	}
	if refusal != nil {
		return session.failTxWith(statement, spool.Answer{Refusal: session.rolledBack(refusal)})
	}
	if session.tx.conn == nil {
		command, refusal = session.beginTx(ctx, statement)
	} else {
		session.engine.pool.MarkActive(session.tx.conn)
		if refusal = session.checkHome(session.tx.conn); refusal == nil {
			command, refusal = session.setUp(statement, session.tx.conn, nil, true)
		}
	}
	if refusal != nil {
		return session.failTxWith(statement, spool.Answer{Refusal: session.rolledBack(refusal)})
	}
	conn := session.tx.conn
	command.MinPosition = spool.LogPosition{} // checked when the transaction began
	sent := session.engine.timers.Now()
	answer, err := session.exchange(statement, conn, command)
	if err != nil {
		return session.failTxWith(statement, session.txConnectionLost(statement, err))
	}
	if answer.Refusal != nil {
		session.recordRefusal(answer.Refusal, conn, spool.LogPosition{})
		return session.failTxWith(statement, answer)
	}
	session.tx.wrote = session.tx.wrote || statement.Writes
	if statement.Verb != spool.VerbCommit {
		session.engine.pool.MarkIdleInTx(conn)
		answer.State = spool.TxOpen
		return answer
	}
	if session.tx.wrote && !session.recordCommit(statement, conn, answer.Position, sent) {
		answer = unacknowledged()
	}
	session.tx = transaction{}
	session.txConn.Store(nil)
	session.state = spool.TxIdle
	session.engine.pool.Release(conn)
	answer.State = spool.TxIdle
	return answer
}

// rolledBack returns a refusal unchanged if nothing of the transaction ran, else as a rollback, after which callers may
// repeat the transaction at once.
func (session *session) rolledBack(refusal *spool.Refusal) *spool.Refusal {
	if session.tx.conn == nil {
		return refusal
	}
	return spool.Refuse(spool.CodeRolledBack, refusal.Message).WithRetryAfter(refusal.RetryAfter).WithCause(refusal.Cause)
}

// failTxWith fails the transaction with an answer; after a COMMIT the session is idle, else failed until the caller ends it.
func (session *session) failTxWith(statement *statement, answer spool.Answer) spool.Answer {
	session.failTx()
	if statement.Verb == spool.VerbCommit {
		session.state = spool.TxIdle
	}
	answer.State = session.state
	return answer
}

// txConnectionLost returns the answer for a statement of a transaction whose connection broke or whose deadline passed. The
// transaction may have committed only if the statement was a COMMIT after a write; otherwise the server rolls it back.
func (session *session) txConnectionLost(statement *statement, err error) spool.Answer {
	switch {
	case errors.Is(err, pool.ErrEvacuated):
		return spool.Answer{Refusal: evacuatedTx(err)}
	case errors.Is(err, pool.ErrWarmingUp):
		return spool.Answer{Refusal: spool.Refuse(spool.CodeRolledBack, warmingUpReason).WithRetryAfter(warmupRetry).WithCause(err)}
	case statement.Verb == spool.VerbCommit && session.tx.wrote:
		return spool.Answer{Refusal: &spool.Refusal{
			Verdict: spool.VerdictUnknown, Code: spool.CodeOutcomeUnknown, Message: "no answer to the commit", Cause: err,
		}}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return spool.Answer{Refusal: &spool.Refusal{
			Verdict: spool.VerdictUnknown, Code: spool.CodeDeadlineExpired, Message: "the statement took too long", Cause: err,
		}}
	}
	return spool.Answer{Refusal: spool.Refuse(spool.CodeRolledBack, "the server's connection broke").WithRetryAfter(busyRetryDelay).WithCause(err)}
}

// beginTx begins the transaction on a server and returns the command to send for its first statement.
func (session *session) beginTx(ctx context.Context, statement *statement) (spool.Command, *spool.Refusal) {
	var avoid []spool.Server
	last := spool.Refuse(spool.CodeNoSlot, "no server began the transaction").WithRetryAfter(busyRetryDelay)
	for range maxAttempts {
		if time.Now().After(statement.deadline) {
			break
		}
		begin := spool.Command{Verb: spool.VerbBegin}
		primary := !session.tx.readOnly || session.route.Consistency == spool.ConsistencyPrimary || session.needsPrimary(ctx, statement)
		if !primary {
			begin.Verb, begin.MinPosition = spool.VerbBeginRead, statement.MinPosition
		}
		conn, refusal := session.acquire(ctx, statement, primary, avoid)
		if refusal != nil {
			return statement.Command, refusal
		}
		command := statement.Command
		if refusal = session.checkHome(conn); refusal == nil {
			command, refusal = session.setUp(statement, conn, []spool.Command{begin}, false)
		}
		if refusal == nil {
			session.tx.conn, session.inUse = conn, nil
			session.txConn.Store(conn)
			return command, nil
		}
		last = refusal
		if !primary {
			avoid = append(avoid, conn.Server())
		}
		session.release(conn)
	}
	return statement.Command, last
}
