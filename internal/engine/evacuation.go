package engine

import (
	"errors"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// Reasons in refusals of statements that were not sent.
const (
	evacuatedReason = "the server's failure domain is evacuated"
	warmingUpReason = "the server warms up"
)

// EndEvacuatedTransactions wakes the sessions that idle in a transaction at a server of an evacuated failure domain after the
// time for open transactions; each rolls its transaction back. A session that is busy learns of it at its next statement.
func (engine *Engine) EndEvacuatedTransactions() {
	for _, session := range engine.sessionList() {
		if conn := session.txConn.Load(); conn != nil && conn.TransactionEnded() {
			session.caller.Interrupt()
		}
	}
}

// endEvacuatedTx rolls back an idle transaction because of an evacuation; the caller learns of it at its next statement.
func (session *session) endEvacuatedTx() {
	event.Log(session.engine.logger, event.EvacuatedTransactionRolledBack, zap.String("Route", session.routeName),
		zap.String("Server", string(session.tx.conn.Server())), zap.String("Domain", string(session.tx.conn.Domain())))
	session.failTx()
	session.txRefusal = evacuatedTx(pool.ErrEvacuated)
}

// evacuatedTx returns the refusal for a statement of a transaction that was rolled back because of an evacuation.
func evacuatedTx(cause error) *spool.Refusal {
	return spool.Refuse(spool.CodeRolledBack, evacuatedReason).WithRetryAfter(busyRetryDelay).WithCause(cause)
}

// notSent returns the answer for a statement that was not sent because of an evacuation or a server that warms up; false means
// that it may have been sent.
func notSent(err error) (spool.Answer, bool) {
	var refusal *spool.Refusal
	switch {
	case errors.Is(err, pool.ErrWarmingUp):
		refusal = spool.Refuse(spool.CodeNoSlot, warmingUpReason).WithRetryAfter(warmupRetry).WithCause(err)
	case errors.Is(err, pool.ErrEvacuated):
		refusal = spool.Refuse(spool.CodeNoPrimary, evacuatedReason).WithRetryAfter(place.EvacuationRetry).WithCause(err)
	default:
		return spool.Answer{}, false
	}
	return spool.Answer{Refusal: refusal, State: spool.TxIdle}, true
}

// checkSend returns pool.ErrEvacuated if a statement must not be sent on a connection. A statement outside of a transaction is new
// work, also if the proxy began a transaction for it.
func (session *session) checkSend(conn *pool.Conn, now spool.Instant) error {
	session.engine.pool.AwaitEvacuation(now)
	if session.state == spool.TxOpen {
		return nil // conn.Send checks it
	}
	return conn.SendableAsNew()
}
