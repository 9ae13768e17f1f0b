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
	maxPrepared  = 64  // prepared statements that a connection keeps; more cost memory at the server
	preparedName = "p" // begins the names of prepared statements on connections
)

// Conn is a connection to a backend server that one session uses at a time.
type Conn struct {
	spool.ServerConn
	server   *server
	team     spool.Team
	values   map[string]string // session values that the server holds
	prepared map[string]string // name on this connection of each prepared shape
	names    int
	loan     *Loan // nil for a connection of this proxy's own
	lender   spool.VM
	owed     int  // answers to discard before the next one
	late     bool // the answers that are owed are late
	resting  bool // its transaction waits for the caller
	broken   bool // may hold a transaction or unread answers
}

// Lender returns the proxy that lends the connection; none if it is this one's own.
func (conn *Conn) Lender() spool.VM { return conn.lender }

// Server returns the name of the connection's server.
func (conn *Conn) Server() spool.Server { return conn.server.spec.Server }

// fits tells how well the values that the connection holds fit a session.
func (conn *Conn) fits(values map[string]string) int {
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

// How well the values of a connection fit a session, best first.
const (
	fitExact = iota
	fitAdd
	fitReset
)

// SetupCommands returns the statements that give the connection a session's values, in the order to send them; in a
// transaction the values only grow and nothing is reset.
func (conn *Conn) SetupCommands(values map[string]string, inTransaction bool) []spool.Command {
	var commands []spool.Command
	if !inTransaction && (conn.fits(values) == fitReset || len(conn.prepared) > maxPrepared) {
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

// PreparedStatement returns the name that a prepared shape has on the connection, and the statement that prepares it if needed.
func (conn *Conn) PreparedStatement(shape string) (name string, prepare []spool.Command) {
	if name, known := conn.prepared[shape]; known {
		return name, nil
	}
	conn.names++
	name = preparedName + strconv.Itoa(conn.names)
	conn.prepared[shape] = name
	return name, []spool.Command{{Verb: spool.VerbPrepare, Name: name, Text: shape}}
}

// AddPending notes statements that were sent and whose answers nobody waits for.
func (conn *Conn) AddPending(answers int) { conn.owed += answers }

// DiscardPending reads the answers that are owed; an error means that the connection is unusable.
func (conn *Conn) DiscardPending(deadline time.Time) error {
	for conn.owed > 0 {
		answer, err := conn.Receive(deadline)
		if err != nil {
			return err
		}
		conn.owed--
		if answer.Refusal != nil && conn.owed == 0 && answer.State != spool.TxIdle {
			return answer.Refusal // the rollback that ends every transaction did not take effect
		}
	}
	return nil
}

// lateAnswer bounds the wait for an answer that nobody waits for any more; a longer one is that of a lost server.
const lateAnswer = 5 * time.Second

// Abandon gives up an answer that did not come in time. The connection is used again once the answer has come: a new one
// would cost the slow server a handshake.
func (pool *Pool) Abandon(conn *Conn, answers int) {
	conn.AddPending(answers)
	conn.late = true
	pool.mutex.Lock()
	now := pool.timers.Now()
	conn.server.health.RecordTimeout(now)
	pool.cut(conn, now)
	pool.mutex.Unlock()
	event.Log(pool.logger, event.AnswerLate, zap.String("Group", string(conn.server.spec.Group)),
		zap.String("Server", string(conn.Server())))
}

// settleLate reads late answers before a connection goes back.
func (pool *Pool) settleLate(conn *Conn) {
	conn.late = false
	if err := conn.DiscardPending(time.Now().Add(lateAnswer)); err != nil {
		pool.RecordFailure(conn, err)
	}
	pool.Release(conn)
}

// MarkBroken marks the connection as unusable, so that Release closes it.
func (conn *Conn) MarkBroken() { conn.broken = true }
