package front

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// answerCycle answers the assembled cycle locally, from a server, or with an error.
func (session *session) answerCycle() {
	if session.failure != nil {
		session.fail(session.failure)
		return
	}
	if session.skippingToSync {
		session.endSkipping()
		return
	}
	if session.remoteCount == 0 && !session.syncPending {
		session.answerLocally()
		return
	}
	session.exchange()
}

// answerLocally answers a cycle without a server.
func (session *session) answerLocally() {
	for _, step := range session.assembler.localSteps {
		if refusal := session.answerStep(step); refusal != nil {
			session.fail(refusal)
			return
		}
	}
	if session.terminator != 'H' {
		session.sendReady()
	}
}

func (session *session) answerStep(step localStep) *spool.Refusal {
	switch step.reply {
	case spool.ReplyQuery:
		session.describeRows(step.local, false)
		return session.runLocalStatement(step.local)
	case spool.ReplyParse:
		session.output.Send(&pgproto3.ParseComplete{})
	case spool.ReplyBind:
		session.output.Send(&pgproto3.BindComplete{})
	case spool.ReplyDescribeStatement:
		session.output.Send(&pgproto3.ParameterDescription{})
		session.describeRows(step.local, true)
	case spool.ReplyDescribePortal:
		session.describeRows(step.local, true)
	case spool.ReplyExecute:
		return session.runLocalStatement(step.local)
	case spool.ReplyClose:
		session.output.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (session *session) describeRows(local *localStatement, always bool) {
	if rows := local.rowDescription(); rows != nil {
		session.output.Send(rows)
	} else if always {
		session.output.Send(&pgproto3.NoData{})
	}
}

// exchange sends the cycle to a server and forwards the response.
func (session *session) exchange() {
	ctx := session.beginExchange()
	defer session.endExchange()
	if session.executor == nil {
		executor, err := session.front.dispatcher.Begin(ctx, session.newWork())
		if err != nil {
			session.fail(asRefusal(err, spool.VerdictNotRun))
			return
		}
		session.executor = executor
	}
	session.output.resetErrorSeen()
	result, err := session.executor.Exchange(ctx, &session.cycle, session.output)
	if err != nil {
		session.fail(session.refineVerdict(asRefusal(err, spool.VerdictUnknown)))
		return
	}
	session.mergeToken(result.Token)
	if session.terminator == 'H' {
		session.syncPending = true
		session.skippingToSync = session.output.resetErrorSeen()
		return
	}
	session.applyTxStatus(result.TxStatus)
	session.sendReady()
}

// applyTxStatus stores the transaction status that the server reported and releases the executor when it is idle.
func (session *session) applyTxStatus(status byte) {
	session.syncPending = false
	session.txStatus = status
	if status == txIdle {
		session.closeExecutor()
	}
}

// beginExchange returns the context of the cycle, which a CancelRequest can cancel. On routes without a timeout, a
// context that was not canceled is reused for the next cycle.
func (session *session) beginExchange() context.Context {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if timeout := time.Duration(session.login.Route.Timeout); timeout > 0 {
		session.ctx, session.cancel = context.WithTimeout(context.Background(), timeout)
	} else if session.ctx == nil || session.ctx.Err() != nil {
		session.ctx, session.cancel = context.WithCancel(context.Background())
	}
	session.running = true
	if session.sessionEnd != nil && session.sessionEnd.AtOnce {
		session.cancel()
	}
	return session.ctx
}

// endExchange marks the cycle as finished, after which a CancelRequest has no effect on it.
func (session *session) endExchange() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.running = false
	if session.login.Route.Timeout > 0 {
		session.cancel()
	}
}

func (session *session) newWork() spool.Work {
	work := spool.Work{
		Session:    spool.Session{Login: session.login, Token: session.token, MaxAge: session.maxAge},
		Read:       session.read,
		Idempotent: session.retryable(),
	}
	if timeout := time.Duration(session.login.Route.Timeout); timeout > 0 {
		work.Deadline = time.Now().Add(timeout)
	}
	return work
}

// mergeToken merges the position of a response into the session token and sends the caller the token if it changed.
func (session *session) mergeToken(token spool.SessionToken) {
	if token == (spool.SessionToken{}) {
		return
	}
	if token.Group == "" {
		token.Group = session.login.Route.Group
	}
	merged := session.token.Merge(token)
	if merged == session.token {
		return
	}
	session.token = merged
	if session.output.atMessageBoundary() {
		session.output.Send(&pgproto3.ParameterStatus{Name: tokenParameter, Value: merged.String()})
	}
}

// fail answers the cycle with a refusal and closes the executor, which loses an open transaction.
func (session *session) fail(refusal *spool.Refusal) {
	wasOpen := session.txStatus != txIdle
	session.closeExecutor()
	session.txStatus = txIdle
	session.txLost = session.txLost || wasOpen && !session.executesTxEnd()
	if session.output.atMessageBoundary() {
		session.output.Send(errorResponse(refusal, severityError))
	}
	session.syncPending = false
	if session.terminator == 'H' {
		session.skippingToSync = true
		return
	}
	session.skippingToSync = false
	session.sendReady()
}

// executesTxEnd reports whether the cycle executes a statement that ends the transaction.
func (session *session) executesTxEnd() bool {
	return session.failure == nil && session.executes && session.endsTx
}

// refineVerdict replaces an unknown outcome inside a transaction by "not run" unless the cycle ends the transaction:
// without its COMMIT, the server rolls the transaction back.
func (session *session) refineVerdict(refusal *spool.Refusal) *spool.Refusal {
	if refusal.Verdict != spool.VerdictUnknown || session.txStatus == txIdle || session.executesTxEnd() {
		return refusal
	}
	refined := *refusal
	refined.Verdict = spool.VerdictNotRun
	refined.Message = "the transaction was rolled back: " + refusal.Message
	if refined.Code == spool.CodeOutcomeUnknown {
		refined.Code = codeRolledBack
	}
	return &refined
}

// endSkipping answers the Sync that ends the skipped messages after an error. If the session holds an executor, the
// Sync is forwarded to the server.
func (session *session) endSkipping() {
	if session.terminator == 'H' {
		return
	}
	session.skippingToSync = false
	if session.executor == nil {
		session.sendReady()
		return
	}
	session.cycle.Messages = append(session.cycle.Messages[:0], syncMessage...)
	session.cycle.Replies = append(session.cycle.Replies[:0], spool.ReplySync)
	session.cycle.Statements = session.cycle.Statements[:0]
	session.exchange()
}

var syncMessage = []byte{'S', 0, 0, 0, 4}

// asRefusal returns err if it is a refusal, else a refusal with its message and the given verdict.
func asRefusal(err error, verdict spool.Verdict) *spool.Refusal {
	if refusal, ok := err.(*spool.Refusal); ok {
		return refusal
	}
	code := codeInternal
	if verdict == spool.VerdictUnknown {
		code = spool.CodeOutcomeUnknown
	}
	return &spool.Refusal{Verdict: verdict, Code: code, Message: err.Error()}
}
