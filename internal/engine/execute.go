package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// execute runs one command of the caller and returns its answer.
func (session *session) execute(ctx context.Context, command spool.Command) spool.Answer {
	if session.state == spool.TxFailed {
		return session.executeInFailedTx(command)
	}
	switch command.Verb {
	case spool.VerbSet, spool.VerbPrepare, spool.VerbDeallocate:
		return session.executeLocal(command)
	case spool.VerbBegin, spool.VerbBeginRead:
		return session.begin(ctx, command)
	case spool.VerbRollback:
		return session.rollback()
	case spool.VerbRead, spool.VerbWrite, spool.VerbExecute, spool.VerbCommit:
		return session.runStatement(ctx, command)
	}
	return session.refuse(spool.Refuse(spool.CodeProtocol, "unknown statement"))
}

// executeInFailedTx answers a command in a failed transaction, in which only COMMIT and ROLLBACK have an effect.
func (session *session) executeInFailedTx(command spool.Command) spool.Answer {
	refusal := session.txRefusal
	session.txRefusal = nil
	switch command.Verb {
	case spool.VerbRollback:
		session.state = spool.TxIdle
		return session.success()
	case spool.VerbCommit:
		session.state = spool.TxIdle
		if refusal == nil {
			refusal = spool.Refuse(spool.CodeRolledBack, "the transaction has failed")
		}
	}
	if refusal != nil {
		return session.refuse(refusal)
	}
	return session.refuse(spool.Refuse(spool.CodeProtocol, "the transaction has failed"))
}

// executeLocal runs a statement that changes only the session and needs no server.
func (session *session) executeLocal(command spool.Command) spool.Answer {
	switch command.Verb {
	case spool.VerbSet:
		if !session.withinStateLimits(command, len(session.values), maxValues) {
			return session.refuse(spool.Refuse(spool.CodeProtocol, "too many session values"))
		}
		session.values[command.Name] = command.Text
	case spool.VerbPrepare:
		if !session.withinStateLimits(command, len(session.prepared), maxStatements) {
			return session.refuse(spool.Refuse(spool.CodeProtocol, "too many prepared statements"))
		}
		session.prepared[command.Name] = command
	case spool.VerbDeallocate:
		if _, known := session.prepared[command.Name]; !known {
			return session.refuse(spool.Refuse(spool.CodeNoStatement, command.Name))
		}
		delete(session.prepared, command.Name)
	}
	return session.success()
}

// withinStateLimits adds the size of a value or prepared statement and reports whether the session is within its limits.
func (session *session) withinStateLimits(command spool.Command, count, limit int) bool {
	session.stateBytes += len(command.Name) + len(command.Text)
	return count < limit && session.stateBytes <= maxStateBytes
}

func (session *session) success() spool.Answer { return spool.Answer{State: session.state} }

// refuse returns the answer for a refusal and fails an open transaction.
func (session *session) refuse(refusal *spool.Refusal) spool.Answer {
	if session.state == spool.TxOpen {
		session.failTx()
	}
	return spool.Answer{Refusal: refusal, State: session.state}
}

// admit checks key, route and rate at the start of an operation.
func (session *session) admit(ctx context.Context) *spool.Refusal {
	config := session.engine.config.Load()
	route, team, refusal := config.Login(session.callerKey, session.routeName)
	if refusal != nil {
		return refusal
	}
	session.route = route
	session.setTeam(team)
	if refusal := session.checkStopping(); refusal != nil {
		return refusal
	}
	if team == "" {
		return nil // an open route without a key has no rate limit
	}
	refusal = session.engine.limiter.Admit(ctx, team, route.Priority)
	session.holdsToken = refusal == nil
	return refusal
}

// finishToken spends or returns the operation's token. Callers repeat an operation that reached no server; charging a second
// token for it would refuse them below their team's rate.
func (session *session) finishToken(reached bool) {
	if session.holdsToken {
		session.holdsToken = false
		session.engine.limiter.Finish(session.team, reached)
	}
}

// begin opens a transaction; it begins at a server with the first statement.
func (session *session) begin(ctx context.Context, command spool.Command) spool.Answer {
	if session.state == spool.TxOpen {
		return session.refuse(spool.Refuse(spool.CodeProtocol, "a transaction is open"))
	}
	if refusal := session.admit(ctx); refusal != nil {
		session.logRefusal(command, refusal)
		return session.refuse(refusal)
	}
	session.tx = transaction{readOnly: command.Verb == spool.VerbBeginRead}
	session.state = spool.TxOpen
	return session.success()
}

func (session *session) rollback() spool.Answer {
	if session.state != spool.TxOpen {
		return session.refuse(spool.Refuse(spool.CodeProtocol, "no transaction is open"))
	}
	session.releaseTx()
	session.state = spool.TxIdle
	return session.success()
}

// runStatement runs a statement that needs a server.
func (session *session) runStatement(ctx context.Context, command spool.Command) spool.Answer {
	received := session.engine.timers.Now()
	statement, refusal := session.resolve(command)
	if refusal != nil {
		return session.refuse(refusal)
	}
	statement.received = received
	var answer spool.Answer
	switch {
	case session.state == spool.TxOpen:
		statement.deadline = session.statementDeadline()
		answer = session.runInTx(ctx, statement)
	case command.Verb == spool.VerbCommit:
		return session.refuse(spool.Refuse(spool.CodeProtocol, "no transaction is open"))
	default:
		if refusal := session.admit(ctx); refusal != nil {
			session.logRefusal(command, refusal)
			return session.refuse(refusal)
		}
		statement.deadline = session.statementDeadline()
		answer = session.runSingle(ctx, statement)
		session.finishToken(false)
	}
	took := session.engine.timers.Now().Sub(received)
	session.engine.observer.Finished(session.team, session.route.Priority, answer.Refusal, took)
	session.logAnswer(statement, answer, took)
	return answer
}

// statement is a caller's statement during its execution.
type statement struct {
	spool.Command
	preparedText string // text of the prepared statement to execute
	received     spool.Instant
	deadline     time.Time
	attempts     int
	server       spool.Server // of the last attempt
	lender       spool.VM     // of the connection that was used; empty if it was not borrowed
}

// resolve looks up the prepared statement that a command executes.
func (session *session) resolve(command spool.Command) (*statement, *spool.Refusal) {
	statement := &statement{Command: command}
	statement.Writes = command.Verb == spool.VerbWrite
	if command.Verb != spool.VerbExecute {
		return statement, nil
	}
	prepared, known := session.prepared[command.Name]
	if !known {
		return nil, spool.Refuse(spool.CodeNoStatement, command.Name)
	}
	statement.preparedText, statement.Writes = prepared.Text, prepared.Writes
	return statement, nil
}

func (session *session) logRefusal(command spool.Command, refusal *spool.Refusal) {
	session.engine.observer.Finished(session.team, session.route.Priority, refusal, 0)
	event.Log(session.engine.logger, event.RequestRefused, zap.String("Request", command.ID),
		zap.String("Route", session.routeName), zap.String("Team", string(session.team)), zap.String("Code", refusal.Code),
		zap.String("Reason", refusal.Message), zap.Int("Priority", session.route.Priority),
		zap.Duration("RetryAfter", refusal.RetryAfter), event.Cause(refusal.Cause))
}

func (session *session) logAnswer(statement *statement, answer spool.Answer, took time.Duration) {
	number := event.RequestAnswered
	fields := []zap.Field{
		zap.String("Request", statement.ID), zap.String("Route", session.routeName), zap.String("Team", string(session.team)),
		zap.String("Server", string(statement.server)), zap.String("Lender", string(statement.lender)), zap.Int("Attempts", statement.attempts),
		zap.Duration("Took", took), zap.Stringer("After", statement.MinPosition), zap.Stringer("Position", answer.Position),
	}
	if answer.Refusal != nil {
		number = event.RequestRefused
		fields = append(fields, zap.String("Code", answer.Refusal.Code), zap.String("Reason", answer.Refusal.Message),
			zap.Int("Priority", session.route.Priority), zap.Duration("RetryAfter", answer.Refusal.RetryAfter), event.Cause(answer.Refusal.Cause))
	}
	event.Log(session.engine.logger, number, fields...)
}
