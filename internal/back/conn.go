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

// Conn is a logged-in connection to one server; only Close may run beside another method.
type Conn struct {
	settings
	server   spool.ServerSpec
	socket   net.Conn
	peeker   *peeker // nil when the socket can't be looked at
	config   *pgconn.Config
	tls      *tls.Config
	process  uint32
	secret   []byte
	buffer   []byte
	start    int // first byte of buffer that is not consumed
	end      int // end of the bytes read into buffer
	outgoing []byte
	pending  []byte
	steps    []step
	prepared prepared
	token    spool.SessionToken // what the server reported during the last cycle
	status   byte
	unsynced bool // a Flush cycle ran and its Sync did not
	tainted  bool // a session parameter may have changed
	retired  bool // the connection is in order, but no other caller may get it
	broken   atomic.Bool

	interrupt  func() // cancels the running cycle
	interrupts sync.WaitGroup
}

func newConn(server spool.ServerSpec, hijacked *pgconn.HijackedConn, settings settings) *Conn {
	conn := &Conn{
		settings: settings,
		server:   server,
		socket:   hijacked.Conn,
		config:   hijacked.Config,
		tls:      hijacked.TLSConfig,
		process:  hijacked.PID,
		secret:   hijacked.SecretKey,
		buffer:   make([]byte, bufferSize),
		prepared: newPrepared(settings.preparedLimit),
		status:   hijacked.TxStatus,
	}
	if tcp, ok := hijacked.Conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			conn.peeker = newPeeker(raw)
		}
	}
	conn.interrupt = func() {
		defer conn.interrupts.Done()
		conn.cancel()
	}
	return conn
}

// Server returns the server that the connection leads to.
func (conn *Conn) Server() spool.ServerSpec { return conn.server }

// TxStatus returns the transaction state after the last cycle: I, T or E.
func (conn *Conn) TxStatus() byte { return conn.status }

// Broken tells that the connection must not serve another transaction.
func (conn *Conn) Broken() bool {
	return conn.broken.Load() || conn.retired && conn.status == txIdle && !conn.unsynced
}

// Close closes the socket at once; a running Exchange ends with an error.
func (conn *Conn) Close() {
	conn.broken.Store(true)
	_ = conn.socket.Close()
}

// Reset rolls back what is open and clears session state; after an error the connection is broken.
func (conn *Conn) Reset(ctx context.Context) error {
	if conn.unsynced {
		if err := conn.control(ctx, syncCycle()); err != nil {
			return err
		}
	}
	if conn.status != txIdle {
		if err := conn.control(ctx, queryCycle("ROLLBACK")); err != nil {
			return err
		}
	}
	if conn.tainted {
		if err := conn.control(ctx, queryCycle("DISCARD ALL")); err != nil {
			return err
		}
		conn.prepared.clear()
		conn.tainted = false
	}
	if conn.Broken() || conn.status != txIdle {
		conn.Close()
		return eris.Errorf("connection to server %s is not reusable", conn.server.Name)
	}
	return nil
}

func (conn *Conn) control(ctx context.Context, cycle *spool.Cycle) error {
	_, err := conn.Exchange(ctx, cycle, discard{})
	if err != nil {
		conn.Close()
		return eris.Wrapf(err, "reset the connection to server %s", conn.server.Name)
	}
	return nil
}

type discard struct{}

// Write drops messages.
func (discard) Write(messages []byte) (int, error) { return len(messages), nil }
