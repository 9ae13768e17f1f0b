package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// handle answers one command.
func (session *session) handle(ctx context.Context, command spool.Command) spool.Answer {
	if session.state == spool.TxFailed {
		return session.handleFailed(command)
	}
	switch command.Verb {
	case spool.VerbSet, spool.VerbPrepare, spool.VerbDeallocate:
		return session.handleState(command)
	case spool.VerbBegin, spool.VerbBeginRead:
		return session.begin(ctx, command)
	case spool.VerbRollback:
		return session.rollback()
	case spool.VerbRead, spool.VerbWrite, spool.VerbExecute, spool.VerbCommit:
		return session.work(ctx, command)
	}
	return session.refuse(spool.Refuse(spool.CodeProtocol, "unknown statement"))
}

// handleFailed answers in a failed transaction, which only its end leaves.
func (session *session) handleFailed(command spool.Command) spool.Answer {
	switch command.Verb {
	case spool.VerbRollback:
		session.state = spool.TxIdle
		return session.done()
	case spool.VerbCommit:
		session.state = spool.TxIdle
		return session.refuse(spool.Refuse(spool.CodeRolledBack, "the transaction has failed"))
	}
	return session.refuse(spool.Refuse(spool.CodeProtocol, "the transaction has failed"))
}

// handleState answers statements that change only the session.
func (session *session) handleState(command spool.Command) spool.Answer {
	switch command.Verb {
	case spool.VerbSet:
		if !session.fitsState(command, len(session.values), maxValues) {
			return session.refuse(spool.Refuse(spool.CodeProtocol, "too many session values"))
		}
		session.values[command.Name] = command.Text
	case spool.VerbPrepare:
		if !session.fitsState(command, len(session.prepared), maxStatements) {
			return session.refuse(spool.Refuse(spool.CodeProtocol, "too many prepared statements"))
		}
		session.prepared[command.Name] = command
	case spool.VerbDeallocate:
		if _, known := session.prepared[command.Name]; !known {
			return session.refuse(spool.Refuse(spool.CodeNoStatement, command.Name))
		}
		delete(session.prepared, command.Name)
	}
	return session.done()
}

// fitsState counts the bytes that a caller keeps here and tells if they are within the limits.
func (session *session) fitsState(command spool.Command, count, limit int) bool {
	session.size += len(command.Name) + len(command.Text)
	return count < limit && session.size <= maxStateLength
}

func (session *session) done() spool.Answer { return spool.Answer{State: session.state} }

// refuse answers an error; within a transaction that fails it.
func (session *session) refuse(refusal *spool.Refusal) spool.Answer {
	if session.state == spool.TxOpen {
		session.fail()
	}
	return spool.Answer{Refusal: refusal, State: session.state}
}

// admit checks key, route and rate at the beginning of an operation.
func (session *session) admit(ctx context.Context) *spool.Refusal {
	config := session.engine.config.Load()
	route, team, refusal := config.Login(session.key, session.name)
	if refusal != nil {
		return refusal
	}
	session.route, session.team = route, team
	if team == "" {
		return nil // an open route without a key has no rate
	}
	refusal = session.engine.limiter.Admit(ctx, team)
	session.token = refusal == nil
	return refusal
}

// settle ends the hold of the operation's token. Callers repeat an operation that reached no server, and a second token for
// it would refuse them below their team's rate.
func (session *session) settle(reached bool) {
	if session.token {
		session.token = false
		session.engine.limiter.Finish(session.team, reached)
	}
}

// begin opens a transaction; the server learns of it with the first statement.
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
	return session.done()
}

func (session *session) rollback() spool.Answer {
	if session.state != spool.TxOpen {
		return session.refuse(spool.Refuse(spool.CodeProtocol, "no transaction is open"))
	}
	session.free()
	session.state = spool.TxIdle
	return session.done()
}

// work answers statements that a server runs.
func (session *session) work(ctx context.Context, command spool.Command) spool.Answer {
	received := session.engine.timers.Now()
	statement, refusal := session.resolve(command)
	if refusal != nil {
		return session.refuse(refusal)
	}
	statement.received = received
	var answer spool.Answer
	switch {
	case session.state == spool.TxOpen:
		statement.deadline = time.Now().Add(session.route.Timeout)
		answer = session.step(ctx, statement)
	case command.Verb == spool.VerbCommit:
		return session.refuse(spool.Refuse(spool.CodeProtocol, "no transaction is open"))
	default:
		if refusal := session.admit(ctx); refusal != nil {
			session.logRefusal(command, refusal)
			return session.refuse(refusal)
		}
		statement.deadline = time.Now().Add(session.route.Timeout)
		answer = session.single(ctx, statement)
		session.settle(false)
	}
	took := session.engine.timers.Now().Sub(received)
	session.engine.observer.Finished(session.team, answer.Refusal, took)
	session.logAnswer(statement, answer, took)
	return answer
}

// statement is a caller's statement on its way to a server.
type statement struct {
	spool.Command
	shape    string // of a prepared statement
	received spool.Instant
	deadline time.Time
	attempts int
	server   spool.Server // that answered last
	lender   spool.VM     // whose connection was used; none for one of this proxy's own
}

// resolve finds the prepared statement that a command executes.
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
	statement.shape, statement.Writes = prepared.Text, prepared.Writes
	return statement, nil
}

func (session *session) logRefusal(command spool.Command, refusal *spool.Refusal) {
	session.engine.observer.Finished(session.team, refusal, 0)
	event.Log(session.engine.logger, event.RequestRefused, zap.String("Request", command.ID),
		zap.String("Route", session.name), zap.String("Team", string(session.team)), zap.String("Code", refusal.Code),
		zap.String("Reason", refusal.Message), zap.Duration("RetryAfter", refusal.RetryAfter), event.Cause(refusal.Cause))
}

func (session *session) logAnswer(statement *statement, answer spool.Answer, took time.Duration) {
	number := event.RequestAnswered
	fields := []zap.Field{
		zap.String("Request", statement.ID), zap.String("Route", session.name), zap.String("Team", string(session.team)),
		zap.String("Server", string(statement.server)), zap.String("Lender", string(statement.lender)), zap.Int("Attempts", statement.attempts),
		zap.Duration("Took", took), zap.Stringer("After", statement.MinPosition), zap.Stringer("Position", answer.Position),
	}
	if answer.Refusal != nil {
		number = event.RequestRefused
		fields = append(fields, zap.String("Code", answer.Refusal.Code), zap.String("Reason", answer.Refusal.Message), event.Cause(answer.Refusal.Cause))
	}
	event.Log(session.engine.logger, number, fields...)
}
