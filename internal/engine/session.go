package engine

import (
	"context"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

const (
	openPatience   = 1700 * time.Millisecond // callers wait 2 s for the answer to their opening
	firstMessage   = 10 * time.Second        // a connection that opens no session for so long is closed
	maxValues      = 256                     // session values of one caller
	maxStatements  = 256                     // prepared statements of one caller
	maxStateLength = 64 << 10                // bytes of names and values of one caller
)

// session is one connected caller; only its own goroutine changes it.
type session struct {
	engine   *Engine
	caller   spool.CallerConn
	name     string // of the route
	key      string
	team     spool.Team
	token    bool        // held for an operation of which nothing has reached a server
	route    spool.Route // as of the beginning of the operation
	values   map[string]string
	prepared map[string]spool.Command
	size     int // bytes of names and values
	state    spool.TxState
	tx       transaction
	seen     spool.LogPosition // newest commit of the session
}

// transaction is what a session holds between BEGIN and its end.
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
		message, err := session.caller.Receive(session.patience())
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if session.interrupted() {
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

// serve handles one message and tells if the session goes on.
func (session *session) serve(ctx context.Context, message spool.CallerMessage) bool {
	switch message.Kind {
	case spool.MessageCommand:
		answer := session.handle(ctx, message.Command)
		return session.caller.Answer(answer) == nil
	case spool.MessageInvalid:
		event.Log(session.engine.logger, event.ProtocolViolation, zap.String("Reason", message.Reason))
		_ = session.caller.Reject(spool.Refuse(spool.CodeProtocol, message.Reason)) // closed next
		return false
	}
	return false
}

// open waits for the caller's opening and answers it.
func (session *session) open(ctx context.Context) bool {
	message, err := session.caller.Receive(time.Now().Add(firstMessage))
	if err != nil {
		return false
	}
	if message.Kind != spool.MessageOpen {
		_ = session.caller.Reject(spool.Refuse(spool.CodeProtocol, "no session is open")) // closed next
		return false
	}
	config := session.engine.await(ctx)
	if config == nil {
		return session.reject(spool.Refuse(spool.CodeNoPrimary, "no configuration yet").WithRetryAfter(time.Second))
	}
	route, team, refusal := config.Login(message.Key, message.Route)
	if refusal != nil {
		return session.reject(refusal)
	}
	session.name, session.key, session.team, session.route = message.Route, message.Key, team, route
	return session.caller.Accept() == nil
}

func (session *session) reject(refusal *spool.Refusal) bool {
	event.Log(session.engine.logger, event.CallerRefused, zap.String("Code", refusal.Code),
		zap.String("Reason", refusal.Message), zap.String("Route", session.name))
	_ = session.caller.Reject(refusal) // closed next
	return false
}

// await returns the deployment in force, which a proxy that has just started waits for.
func (engine *Engine) await(ctx context.Context) *spool.FleetConfig {
	select {
	case <-engine.arrived:
		return engine.config.Load()
	default:
	}
	timer := time.NewTimer(openPatience)
	defer timer.Stop()
	select {
	case <-engine.arrived:
	case <-timer.C:
	case <-ctx.Done():
	}
	return engine.config.Load()
}

// allowed tells if a deployment still has the session's key and route.
func (session *session) allowed(config *spool.FleetConfig) bool {
	if session.name == "" {
		return true
	}
	_, team, refusal := config.Login(session.key, session.name)
	return refusal == nil && team == session.team
}

// patience returns the deadline of the next message: a transaction may be idle only for a while.
func (session *session) patience() time.Time {
	idle := session.engine.config.Load().TxIdle
	if session.state == spool.TxOpen && session.tx.conn != nil && idle > 0 {
		return time.Now().Add(idle)
	}
	return time.Time{}
}

// interrupted handles the end of a wait and tells if the session ends.
func (session *session) interrupted() bool {
	if session.caller.Buffered() {
		return false
	}
	if session.state == spool.TxIdle {
		if !session.allowed(session.engine.config.Load()) {
			session.reject(spool.Refuse(spool.CodeBadKey, "the key or route was withdrawn"))
			return true
		}
		return session.engine.draining.Load()
	}
	if session.tx.conn != nil && !session.engine.draining.Load() {
		event.Log(session.engine.logger, event.IdleTransactionRolledBack, zap.String("Route", session.name),
			zap.String("Server", string(session.tx.conn.Server())))
		session.fail()
	}
	return false
}

// fail ends the transaction at the server; the caller is told at its next statement.
func (session *session) fail() {
	session.free()
	session.state = spool.TxFailed
}

// free rolls back and gives the transaction's connection back.
func (session *session) free() {
	session.settle(false)
	conn := session.tx.conn
	session.tx = transaction{readOnly: session.tx.readOnly}
	if conn == nil {
		return
	}
	_ = session.engine.pool.RollBack(conn) // a failure marks the connection as unusable, and closing it rolls back
	session.engine.pool.Release(conn)
}
