package engine

import (
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// stoppingRetry is the retry hint to callers of a proxy that stops; other proxies serve them at once.
const stoppingRetry = 50 * time.Millisecond

const stoppingReason = "the proxy is stopping"

// checkStopping refuses a statement of the session's route that may not be finished before this proxy stops.
func (session *session) checkStopping() *spool.Refusal {
	schedule := session.engine.stopping.Load()
	if schedule == nil || schedule.MaySend(session.engine.timers.Now(), session.route.Timeout) {
		return nil
	}
	return spool.Refuse(spool.CodeNoSlot, stoppingReason).WithRetryAfter(stoppingRetry)
}

// statementDeadline returns when a statement that begins now is given up.
func (session *session) statementDeadline() time.Time {
	timeout := session.route.Timeout
	if schedule := session.engine.stopping.Load(); schedule != nil {
		timeout = min(timeout, schedule.AnswerBy().Sub(session.engine.timers.Now()))
	}
	return time.Now().Add(timeout)
}

// endIdleTx rolls back a transaction between two statements if no further one of it may be sent before this proxy stops. The next
// statement is told, so that the caller repeats the transaction at another proxy. It reports whether the session ends.
func (session *session) endIdleTx() (ends bool) {
	schedule := session.engine.stopping.Load()
	if schedule == nil {
		return false
	}
	now := session.engine.timers.Now()
	if schedule.Closes(now) {
		return true
	}
	if session.tx.conn != nil && !schedule.MaySend(now, session.route.Timeout) {
		event.Log(session.engine.logger, event.IdleTransactionRolledBack, zap.String("Route", session.routeName),
			zap.String("Server", string(session.tx.conn.Server())), zap.String("Reason", stoppingReason))
		session.failTx()
		session.txRefusal = spool.Refuse(spool.CodeRolledBack, stoppingReason).WithRetryAfter(stoppingRetry)
	}
	return false
}
