package engine

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

const (
	configTimeout = 1700 * time.Millisecond // wait for a configuration; callers wait 2 s for the answer to their opening message
	openTimeout   = 10 * time.Second        // a connection that opens no session within this time is closed
	maxValues     = 256                     // session values of a session
	maxStatements = 256                     // prepared statements of a session
	maxStateBytes = 64 << 10                // names, values and statement texts of a session
)

// session is the session of a connected caller; only its own goroutine changes it.
type session struct {
	engine     *Engine
	caller     spool.CallerConn
	routeName  string
	callerKey  string
	team       spool.Team
	grant      atomic.Pointer[grant] // read by the engine when the configuration changes; nil before the opening message
	holdsToken bool                  // a token is reserved for an operation that has not reached a server
	route      spool.Route           // as of the start of the operation
	values     map[string]string
	prepared   map[string]spool.Command
	stateBytes int // size of names, values and statement texts
	state      spool.TxState
	tx         transaction
	inUse      *pool.Conn                // a connection that is not the transaction's, from acquire to release
	lastCommit spool.LogPosition         // position of the session's newest commit
	txConn     atomic.Pointer[pool.Conn] // as tx.conn, for other goroutines
	txRefusal  *spool.Refusal            // answers the next statement of a transaction that the proxy rolled back; may be nil
}

// grant is what a session may use; it is replaced, never changed.
type grant struct {
	routeName string
	key       string
	team      spool.Team
}

// transaction is the state of a session's open transaction.
type transaction struct {
	conn     *pool.Conn // nil until the first statement
	readOnly bool
	wrote    bool
}

func newSession(engine *Engine, caller spool.CallerConn) *session {
	return &session{
		engine: engine, caller: caller, state: spool.TxIdle,
		values: map[string]string{}, prepared: map[string]spool.Command{},
	}
}

func (session *session) run(ctx context.Context) {
	if !session.open(ctx) {
		return
	}
	for {
		message, err := session.caller.Receive(session.receiveDeadline())
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if session.handleReceiveTimeout() {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		if !session.serve(ctx, message) {
			return
		}
	}
}

// serve handles one message and reports whether the session continues.
func (session *session) serve(ctx context.Context, message spool.CallerMessage) bool {
	switch message.Kind {
	case spool.MessageCommand:
		watched := newCallerContext(ctx, session.caller)
		answer := session.execute(watched, message.Command)
		watched.stop()
		return session.caller.Answer(answer) == nil
	case spool.MessageInvalid:
		event.Log(session.engine.logger, event.ProtocolViolation, zap.String("Reason", message.Reason))
		_ = session.caller.Reject(spool.Refuse(spool.CodeProtocol, message.Reason)) // the connection is closed next
		return false
	}
	return false
}

// open waits for the caller's opening message and answers it.
func (session *session) open(ctx context.Context) bool {
	message, err := session.caller.Receive(time.Now().Add(openTimeout))
	if err != nil {
		return false
	}
	if message.Kind != spool.MessageOpen {
		_ = session.caller.Reject(spool.Refuse(spool.CodeProtocol, "no session is open")) // the connection is closed next
		return false
	}
	config := session.engine.waitForConfig(ctx)
	if config == nil {
		return session.reject(spool.Refuse(spool.CodeNoPrimary, "no configuration yet").WithRetryAfter(time.Second))
	}
	route, team, refusal := config.Login(message.Key, message.Route)
	if refusal != nil {
		return session.reject(refusal)
	}
	session.routeName, session.callerKey, session.route = message.Route, message.Key, route
	session.setTeam(team)
	if !session.authorized(session.engine.config.Load()) { // a change that found no grant yet does not interrupt the session
		return session.reject(withdrawn())
	}
	return session.caller.Accept() == nil
}

func (session *session) reject(refusal *spool.Refusal) bool {
	event.Log(session.engine.logger, event.CallerRefused, zap.String("Code", refusal.Code),
		zap.String("Reason", refusal.Message), zap.String("Route", session.routeName))
	_ = session.caller.Reject(refusal) // the connection is closed next
	return false
}

// waitForConfig returns the current configuration; after the start of a proxy it waits for the first one.
func (engine *Engine) waitForConfig(ctx context.Context) *spool.FleetConfig {
	select {
	case <-engine.configured:
		return engine.config.Load()
	default:
	}
	timer := time.NewTimer(configTimeout)
	defer timer.Stop()
	select {
	case <-engine.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return engine.config.Load()
}

// authorized reports whether a configuration still grants the session's route to its key and team; it returns true before
// the caller's opening message. It is safe for concurrent use.
func (session *session) authorized(config *spool.FleetConfig) bool {
	grant := session.grant.Load()
	if grant == nil {
		return true
	}
	_, team, refusal := config.Login(grant.key, grant.routeName)
	return refusal == nil && team == grant.team
}

// setTeam records the team that the session's key stands for.
func (session *session) setTeam(team spool.Team) {
	session.team = team
	if old := session.grant.Load(); old == nil || old.team != team {
		session.grant.Store(&grant{routeName: session.routeName, key: session.callerKey, team: team})
	}
}

const withdrawnReason = "the key or route was withdrawn"

func withdrawn() *spool.Refusal {
	return spool.Refuse(spool.CodeBadKey, withdrawnReason)
}

// receiveDeadline returns the deadline of the next message, or zero; it bounds the idle time of a transaction at a server.
func (session *session) receiveDeadline() time.Time {
	idle := session.engine.config.Load().TxIdle
	if session.state == spool.TxOpen && session.tx.conn != nil && idle > 0 {
		return time.Now().Add(idle)
	}
	return time.Time{}
}

// handleReceiveTimeout handles a timeout or interrupt while waiting for a message, and reports whether the session ends.
func (session *session) handleReceiveTimeout() bool {
	if session.caller.Buffered() {
		return false
	}
	if session.state == spool.TxIdle {
		if !session.authorized(session.engine.config.Load()) {
			session.reject(withdrawn())
			return true
		}
		return session.engine.draining.Load()
	}
	if session.tx.conn != nil && session.tx.conn.TransactionEnded() {
		session.endEvacuatedTx()
		return false
	}
	if session.engine.draining.Load() {
		return session.endIdleTx()
	}
	if session.tx.conn != nil {
		event.Log(session.engine.logger, event.IdleTransactionRolledBack, zap.String("Route", session.routeName),
			zap.String("Server", string(session.tx.conn.Server())))
		reason := "the transaction was idle for too long"
		if !session.authorized(session.engine.config.Load()) {
			reason = withdrawnReason
		}
		session.failTx()
		session.txRefusal = spool.Refuse(spool.CodeRolledBack, reason) // nothing is kept, so the caller may repeat it
	}
	return false
}

// failTx rolls back the transaction at the server; the caller learns of it at its next statement.
func (session *session) failTx() {
	session.releaseTx()
	session.state = spool.TxFailed
}

// release returns the connection that is in use outside of the transaction.
func (session *session) release(conn *pool.Conn) {
	session.inUse = nil
	session.engine.pool.Release(conn)
}

// breakConns closes the session's connections after a panic, since they may hold unread answers.
func (session *session) breakConns() {
	if session.tx.conn != nil {
		session.tx.conn.MarkBroken()
	}
	if conn := session.inUse; conn != nil {
		conn.MarkBroken()
		session.release(conn)
	}
}

// releaseTx rolls back the transaction, if one is open, and releases its connection.
func (session *session) releaseTx() {
	session.finishToken(false)
	conn := session.tx.conn
	session.tx = transaction{readOnly: session.tx.readOnly}
	session.txConn.Store(nil)
	if conn == nil {
		return
	}
	session.engine.pool.AwaitEvacuation(session.engine.timers.Now())
	_ = session.engine.pool.RollBack(conn) // a failure marks the connection as broken, and closing it rolls back
	session.engine.pool.Release(conn)
}
