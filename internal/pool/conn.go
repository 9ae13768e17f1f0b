package pool

import (
	"maps"
	"strconv"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxPrepared        = 64 // prepared statements of a connection before it is reset, which bounds memory at the server
	preparedNamePrefix = "p"
)

// Conn is a connection to a backend server; one session uses it at a time.
type Conn struct {
	spool.ServerConn
	pool           *Pool
	server         *server
	domain         spool.Domain // of the server
	team           spool.Team
	values         map[string]string // session values set at the server
	prepared       map[string]string // statement name by statement text
	statementCount int
	loan           *Loan // nil for a connection that this proxy opened
	lender         spool.VM
	pending        int           // answers to discard before the next one is read
	pendingLate    bool          // the pending answers exceeded their deadline
	idleInTx       bool          // an open transaction waits for the caller
	inTx           bool          // a transaction is open at the server
	supervising    bool          // used for the supervisor's own commands
	farTunnel      bool          // goes through a proxy in any region
	heldSince      spool.Instant // when the connection was granted to its present user
	warmupExpiry   spool.Instant // of the token for the next statement if the server warms up; zero if there is none
	broken         bool          // may hold a transaction or unread answers
}

// Lender returns the proxy that lends the connection, or an empty VM if this proxy opened it.
func (conn *Conn) Lender() spool.VM { return conn.lender }

// Server returns the name of the connection's server.
func (conn *Conn) Server() spool.Server { return conn.server.name }

// valueFit returns how well the connection's session values match those of a session.
func (conn *Conn) valueFit(values map[string]string) int {
	if maps.Equal(conn.values, values) {
		return fitExact
	}
	for name := range conn.values {
		if _, known := values[name]; !known {
			return fitReset
		}
	}
	return fitAdd
}

// How well a connection's values match a session, best first: equal, a subset, or a reset is needed.
const (
	fitExact = iota
	fitAdd
	fitReset
)

// SetupCommands returns the commands that set a session's values on the connection, in the order to send them. In a
// transaction values are only added, never reset.
func (conn *Conn) SetupCommands(values map[string]string, inTransaction bool) []spool.Command {
	var commands []spool.Command
	if !inTransaction && (conn.valueFit(values) == fitReset || len(conn.prepared) > maxPrepared) {
		commands = append(commands, spool.Command{Verb: spool.VerbReset})
		conn.values = map[string]string{}
		conn.prepared = map[string]string{}
	}
	for name, value := range values {
		if held, known := conn.values[name]; known && held == value {
			continue
		}
		commands = append(commands, spool.Command{Verb: spool.VerbSet, Name: name, Text: value})
		conn.values[name] = value
	}
	return commands
}

// PreparedStatement returns the name of a prepared statement on the connection, and the command that prepares it if needed.
func (conn *Conn) PreparedStatement(text string) (name string, prepare []spool.Command) {
	if name, known := conn.prepared[text]; known {
		return name, nil
	}
	conn.statementCount++
	name = preparedNamePrefix + strconv.Itoa(conn.statementCount)
	conn.prepared[text] = name
	return name, []spool.Command{{Verb: spool.VerbPrepare, Name: name, Text: text}}
}

// AddPending adds a number of answers that are to be discarded when they arrive.
func (conn *Conn) AddPending(count int) { conn.pending += count }

// DiscardPending reads and discards the pending answers; an error means that the connection is unusable.
func (conn *Conn) DiscardPending(deadline time.Time) error {
	for conn.pending > 0 {
		answer, err := conn.Receive(deadline)
		if err != nil {
			return err
		}
		conn.pending--
		if answer.Refusal != nil && conn.pending == 0 && answer.State != spool.TxIdle {
			return answer.Refusal // the last pending answer is that of a rollback, which failed
		}
	}
	return nil
}

// lateAnswerTimeout bounds the wait for answers of abandoned statements, after which the server counts as failed.
const lateAnswerTimeout = 5 * time.Second

// Abandon stops waiting for answers that exceeded their deadline. The connection is reused once they have arrived, because
// a new one would cost the slow server a handshake.
func (pool *Pool) Abandon(conn *Conn, answers int) {
	conn.AddPending(answers)
	conn.pendingLate = true
	pool.recordTimeout(conn)
	event.Log(pool.logger, event.AnswerLate, zap.String("Group", string(conn.server.group)),
		zap.String("Server", string(conn.Server())))
}

// recordTimeout records that a server did not answer in time.
func (pool *Pool) recordTimeout(conn *Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	conn.server.health.RecordTimeout(now)
	pool.shrinkWindow(conn, now)
}

// awaitLateAnswers discards late answers and then releases the connection.
func (pool *Pool) awaitLateAnswers(conn *Conn) {
	conn.pendingLate = false
	if err := conn.DiscardPending(time.Now().Add(lateAnswerTimeout)); err != nil {
		pool.RecordFailure(conn, err)
	}
	pool.Release(conn)
}

// MarkBroken marks the connection as unusable, so that Release closes it.
func (conn *Conn) MarkBroken() { conn.broken = true }
