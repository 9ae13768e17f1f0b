package regsrv

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Transaction states, with the values of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// portal is a statement with bound parameters.
type portal struct {
	Statement  statement
	Parameters []string
}

// session is one connection of a client or of a replica.
type session struct {
	server        *Server
	connection    net.Conn
	backend       *pgproto3.Backend
	id            uint32
	replica       bool
	txState       byte
	pendingWrites []Write
	transaction   uint64
	skipUntilSync bool
	statements    map[string]statement
	portals       map[string]portal

	mutex         sync.Mutex
	cancelCurrent context.CancelFunc
}

func newSession(server *Server, connection net.Conn) *session {
	return &session{
		server:     server,
		connection: connection,
		backend:    pgproto3.NewBackend(connection, connection),
		txState:    txIdle,
		statements: map[string]statement{},
		portals:    map[string]portal{},
	}
}

// serve handles messages until the connection ends; an open transaction is then discarded.
func (session *session) serve() {
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return
		}
		session.server.waitWhileFrozen()
		if session.server.context.Err() != nil || !session.handleMessage(message) {
			return
		}
	}
}

// handleMessage answers one message and reports whether the session continues.
func (session *session) handleMessage(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		session.skipUntilSync = false
		session.commitImplicit()
		return session.sendReady()
	case *pgproto3.Flush:
		return session.flush() == nil
	}
	if session.skipUntilSync {
		return true
	}
	if query, ok := message.(*pgproto3.Query); ok {
		session.runSimpleQuery(query.String)
		return session.sendReady()
	}
	if err := session.handleExtended(message); err != nil {
		session.abortWithError(err)
		session.skipUntilSync = true
	}
	return true
}

// runSimpleQuery executes the statements of a simple query in one implicit transaction.
func (session *session) runSimpleQuery(query string) {
	statements, err := parse(query)
	if err != nil {
		session.abortWithError(err)
		return
	}
	if len(statements) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, parsed := range statements {
		if err := session.execute(parsed, nil, true); err != nil {
			session.abortWithError(err)
			return
		}
	}
	session.commitImplicit()
}

// commitImplicit commits the implicit transaction; it does nothing within an explicit one.
func (session *session) commitImplicit() {
	if session.txState != txIdle {
		return
	}
	if err := session.commit(); err != nil {
		session.abortWithError(err)
	}
}

// commit applies the pending writes and sends the new log position as a parameter status.
func (session *session) commit() error {
	writes := session.pendingWrites
	record := Record{Connection: session.id, Transaction: session.transaction, Writes: writes}
	session.endTransaction()
	if len(writes) == 0 {
		return nil
	}
	status, err := session.server.commit(record)
	if err != nil {
		return err
	}
	value := formatPosition(status)
	session.backend.Send(&pgproto3.ParameterStatus{Name: "corianderspool.position", Value: value})
	return nil
}

func (session *session) endTransaction() {
	session.pendingWrites = nil
	session.transaction = 0
	session.txState = txIdle
}

// abortWithError discards the pending writes, marks an open transaction as failed and sends the error.
func (session *session) abortWithError(err error) {
	session.pendingWrites = nil
	session.transaction = 0
	if session.txState == txOpen {
		session.txState = txFailed
	}
	var sqlErr *sqlError
	if !errors.As(err, &sqlErr) {
		sqlErr = &sqlError{Code: "08006", Message: err.Error(), Fatal: true}
	}
	session.backend.Send(sqlErr.response())
	if sqlErr.Fatal {
		_ = session.flush()
	}
}

// sendReady sends ReadyForQuery and reports whether the connection still works.
func (session *session) sendReady() bool {
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.txState})
	return session.flush() == nil
}

func (session *session) flush() error {
	session.server.waitWhileFrozen()
	return session.backend.Flush()
}

// beginStatement returns the context of a statement, which a cancel request cancels.
func (session *session) beginStatement() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(session.server.context)
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.cancelCurrent = cancel
	return ctx, cancel
}

func (session *session) cancelStatement() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.cancelCurrent != nil {
		session.cancelCurrent()
	}
}
