package front

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// perform answers the assembled cycle.
func (session *session) perform() {
	if session.failure != nil {
		session.fail(session.failure)
		return
	}
	if session.skipping {
		session.resume()
		return
	}
	if session.remote == 0 && !session.unsynced {
		session.answerOwn()
		return
	}
	session.exchange()
}

// answerOwn answers a cycle without a server.
func (session *session) answerOwn() {
	for _, step := range session.assembly.own {
		if refusal := session.answerStep(step); refusal != nil {
			session.fail(refusal)
			return
		}
	}
	if session.end != 'H' {
		session.ready()
	}
}

func (session *session) answerStep(step ownStep) *spool.Refusal {
	switch step.reply {
	case spool.ReplyQuery:
		session.describeRows(step.own, false)
		return session.runOwn(step.own)
	case spool.ReplyParse:
		session.output.Send(&pgproto3.ParseComplete{})
	case spool.ReplyBind:
		session.output.Send(&pgproto3.BindComplete{})
	case spool.ReplyDescribeStatement:
		session.output.Send(&pgproto3.ParameterDescription{})
		session.describeRows(step.own, true)
	case spool.ReplyDescribePortal:
		session.describeRows(step.own, true)
	case spool.ReplyExecute:
		return session.runOwn(step.own)
	case spool.ReplyClose:
		session.output.Send(&pgproto3.CloseComplete{})
	}
	return nil
}

func (session *session) describeRows(own *ownStatement, always bool) {
	if rows := own.rowDescription(); rows != nil {
		session.output.Send(rows)
	} else if always {
		session.output.Send(&pgproto3.NoData{})
	}
}

// exchange has a server answer the cycle.
func (session *session) exchange() {
	ctx := session.beginRun()
	defer session.endRun()
	if session.executor == nil {
		executor, err := session.front.dispatcher.Begin(ctx, session.work())
		if err != nil {
			session.fail(asRefusal(err, spool.VerdictNotRun))
			return
		}
		session.executor = executor
	}
	session.output.sawError()
	result, err := session.executor.Exchange(ctx, &session.cycle, session.output)
	if err != nil {
		session.fail(session.judge(asRefusal(err, spool.VerdictUnknown)))
		return
	}
	session.advance(result.Token)
	if session.end == 'H' {
		session.unsynced = true
		session.skipping = session.output.sawError()
		return
	}
	session.settle(result.TxStatus)
	session.ready()
}

// settle takes the transaction state that a server reported and gives the executor back when it is idle.
func (session *session) settle(status byte) {
	session.unsynced = false
	session.status = status
	if status == txIdle {
		session.closeExecutor()
	}
}

// beginRun makes the cycle one that a CancelRequest can end; a context that was not canceled serves the next cycle too.
func (session *session) beginRun() context.Context {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if timeout := time.Duration(session.login.Route.Timeout); timeout > 0 {
		session.ctx, session.cancel = context.WithTimeout(context.Background(), timeout)
	} else if session.ctx == nil || session.ctx.Err() != nil {
		session.ctx, session.cancel = context.WithCancel(context.Background())
	}
	session.running = true
	if session.ending != nil && session.ending.AtOnce {
		session.cancel()
	}
	return session.ctx
}

// endRun makes the cycle one that can't be canceled any more.
func (session *session) endRun() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.running = false
	if session.login.Route.Timeout > 0 {
		session.cancel()
	}
}

func (session *session) work() spool.Work {
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

// advance remembers how far the session has seen and tells the caller if that changed.
func (session *session) advance(token spool.SessionToken) {
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
	if session.output.between() {
		session.output.Send(&pgproto3.ParameterStatus{Name: tokenParameter, Value: merged.String()})
	}
}

// fail answers the cycle with a refusal; an open transaction is lost with its executor.
func (session *session) fail(refusal *spool.Refusal) {
	wasOpen := session.status != txIdle
	session.closeExecutor()
	session.status = txIdle
	session.lost = session.lost || wasOpen && !session.finishes()
	if session.output.between() {
		session.output.Send(errorResponse(refusal, severityError))
	}
	session.unsynced = false
	if session.end == 'H' {
		session.skipping = true
		return
	}
	session.skipping = false
	session.ready()
}

// finishes tells that the cycle was sent in order to end the transaction.
func (session *session) finishes() bool {
	return session.failure == nil && session.executes && session.ends
}

// judge turns an unknown outcome into a known one: what ran in a transaction without its COMMIT is rolled back.
func (session *session) judge(refusal *spool.Refusal) *spool.Refusal {
	if refusal.Verdict != spool.VerdictUnknown || session.status == txIdle || session.finishes() {
		return refusal
	}
	judged := *refusal
	judged.Verdict = spool.VerdictNotRun
	judged.Message = "the transaction was rolled back: " + refusal.Message
	if judged.Code == spool.CodeOutcomeUnknown {
		judged.Code = codeRolledBack
	}
	return &judged
}

// resume ends the part of an extended query that was skipped after an error.
func (session *session) resume() {
	if session.end == 'H' {
		return
	}
	session.skipping = false
	if session.executor == nil {
		session.ready()
		return
	}
	session.cycle.Messages = append(session.cycle.Messages[:0], syncMessage...)
	session.cycle.Replies = append(session.cycle.Replies[:0], spool.ReplySync)
	session.cycle.Statements = session.cycle.Statements[:0]
	session.exchange()
}

var syncMessage = []byte{'S', 0, 0, 0, 4}

// asRefusal shows any other error as a refusal with the given verdict.
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
