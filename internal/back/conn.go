package back

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const (
	bufferSize = 32 << 10

	txIdle = 'I'
)

// Conn is an authenticated connection to one server; only Close may be called concurrently with another method.
type Conn struct {
	settings
	server            spool.ServerSpec
	socket            net.Conn
	detector          *closeDetector // nil if the socket is not a TCP socket
	config            *pgconn.Config
	tls               *tls.Config
	processID         uint32
	secretKey         []byte
	buffer            []byte
	start             int // start of the bytes in buffer that are not consumed
	end               int // end of the bytes read into buffer
	outgoing          []byte
	pending           []byte
	expected          []expectedReply
	prepared          preparedStatements
	token             spool.SessionToken // position that the server reported during the last cycle
	status            byte
	unsynced          bool // a cycle ended in Flush and no Sync was sent since
	parametersChanged bool // a session parameter may have changed
	closeWhenIdle     bool // the connection works, but must not be reused for another caller
	broken            atomic.Bool

	interrupt  func() // cancels the running cycle
	interrupts sync.WaitGroup
}

func newConn(server spool.ServerSpec, hijacked *pgconn.HijackedConn, settings settings) *Conn {
	conn := &Conn{
		settings:  settings,
		server:    server,
		socket:    hijacked.Conn,
		config:    hijacked.Config,
		tls:       hijacked.TLSConfig,
		processID: hijacked.PID,
		secretKey: hijacked.SecretKey,
		buffer:    make([]byte, bufferSize),
		prepared:  newPreparedStatements(settings.preparedLimit),
		status:    hijacked.TxStatus,
	}
	if tcp, ok := hijacked.Conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			conn.detector = newCloseDetector(raw)
		}
	}
	conn.interrupt = func() {
		defer conn.interrupts.Done()
		conn.cancel()
	}
	return conn
}

// Server returns the server at the other end of the connection.
func (conn *Conn) Server() spool.ServerSpec { return conn.server }

// TxStatus returns the transaction status of the last ReadyForQuery: I, T or E.
func (conn *Conn) TxStatus() byte { return conn.status }

// Broken reports whether the connection must not be used for another transaction.
func (conn *Conn) Broken() bool {
	return conn.broken.Load() || conn.closeWhenIdle && conn.status == txIdle && !conn.unsynced
}

// Close closes the socket immediately; a running Exchange fails.
func (conn *Conn) Close() {
	conn.broken.Store(true)
	_ = conn.socket.Close()
}

// Reset rolls back an open transaction and discards session state; after an error the connection is broken.
func (conn *Conn) Reset(ctx context.Context) error {
	if conn.unsynced {
		if err := conn.runReset(ctx, syncCycle()); err != nil {
			return err
		}
	}
	if conn.status != txIdle {
		if err := conn.runReset(ctx, queryCycle("ROLLBACK")); err != nil {
			return err
		}
	}
	if conn.parametersChanged {
		if err := conn.runReset(ctx, queryCycle("DISCARD ALL")); err != nil {
			return err
		}
		conn.prepared.clear()
		conn.parametersChanged = false
	}
	if conn.Broken() || conn.status != txIdle {
		conn.Close()
		return eris.Errorf("connection to server %s is not reusable", conn.server.Name)
	}
	return nil
}

func (conn *Conn) runReset(ctx context.Context, cycle *spool.Cycle) error {
	_, err := conn.Exchange(ctx, cycle, discardSink{})
	if err != nil {
		conn.Close()
		return eris.Wrapf(err, "reset the connection to server %s", conn.server.Name)
	}
	return nil
}

type discardSink struct{}

// Write discards messages.
func (discardSink) Write(messages []byte) (int, error) { return len(messages), nil }
