package regsrv

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// States of a transaction, as ReadyForQuery names them.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// portal is a bound statement.
type portal struct {
	Statement  statement
	Parameters []string
}

// session is one connection.
type session struct {
	server      *Server
	connection  net.Conn
	backend     *pgproto3.Backend
	id          uint32
	replica     bool
	state       byte
	pending     []Write
	transaction uint64
	skipping    bool
	statements  map[string]statement
	portals     map[string]portal

	mutex  sync.Mutex
	cancel context.CancelFunc
}

func newSession(server *Server, connection net.Conn) *session {
	return &session{
		server:     server,
		connection: connection,
		backend:    pgproto3.NewBackend(connection, connection),
		state:      txIdle,
		statements: map[string]statement{},
		portals:    map[string]portal{},
	}
}

// loop handles messages until the connection ends; an open transaction is dropped with the session.
func (session *session) loop() {
	for {
		message, err := session.backend.Receive()
		if err != nil {
			return
		}
		session.server.thaw()
		if session.server.context.Err() != nil || !session.handle(message) {
			return
		}
	}
}

// handle answers one message and reports if the session goes on.
func (session *session) handle(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		session.skipping = false
		session.endCycle()
		return session.ready()
	case *pgproto3.Flush:
		return session.flush() == nil
	}
	if session.skipping {
		return true
	}
	if query, ok := message.(*pgproto3.Query); ok {
		session.simple(query.String)
		return session.ready()
	}
	if err := session.extended(message); err != nil {
		session.fail(err)
		session.skipping = true
	}
	return true
}

// simple runs the statements of a query in one implicit transaction.
func (session *session) simple(query string) {
	statements, err := parse(query)
	if err != nil {
		session.fail(err)
		return
	}
	if len(statements) == 0 {
		session.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, parsed := range statements {
		if err := session.execute(parsed, nil, true); err != nil {
			session.fail(err)
			return
		}
	}
	session.endCycle()
}

// endCycle commits the implicit transaction.
func (session *session) endCycle() {
	if session.state != txIdle {
		return
	}
	if err := session.commit(); err != nil {
		session.fail(err)
	}
}

// commit applies the pending writes and announces the position.
func (session *session) commit() error {
	writes := session.pending
	record := Record{Connection: session.id, Transaction: session.transaction, Writes: writes}
	session.endTransaction()
	if len(writes) == 0 {
		return nil
	}
	status, err := session.server.commit(record)
	if err != nil {
		return err
	}
	value := positionText(status)
	session.backend.Send(&pgproto3.ParameterStatus{Name: "corianderspool.position", Value: value})
	return nil
}

func (session *session) endTransaction() {
	session.pending = nil
	session.transaction = 0
	session.state = txIdle
}

// fail sends an error and gives up the transaction.
func (session *session) fail(err error) {
	session.pending = nil
	session.transaction = 0
	if session.state == txOpen {
		session.state = txFailed
	}
	var known *sqlError
	if !errors.As(err, &known) {
		known = &sqlError{Code: "08006", Message: err.Error(), Fatal: true}
	}
	session.backend.Send(known.response())
	if known.Fatal {
		_ = session.flush()
	}
}

// ready ends a cycle and reports if the client is still there.
func (session *session) ready() bool {
	session.backend.Send(&pgproto3.ReadyForQuery{TxStatus: session.state})
	return session.flush() == nil
}

func (session *session) flush() error {
	session.server.thaw()
	return session.backend.Flush()
}

// begin returns the context of a statement, which a cancel request ends.
func (session *session) begin() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(session.server.context)
	session.mutex.Lock()
	defer session.mutex.Unlock()
	session.cancel = cancel
	return ctx, cancel
}

func (session *session) cancelStatement() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.cancel != nil {
		session.cancel()
	}
}
