package back

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

type action int

const (
	passOn     action = iota // the caller asked for this answer
	swallow                  // the answer belongs to a message that the proxy added
	synthesize               // the server is not asked, since it has the statement
)

// step is one answer that the caller or the proxy waits for.
type step struct {
	reply  spool.Reply
	action action
	name   string // statement that a Parse prepares or a Close removes
}

// plan returns the bytes to send for cycle and fills conn.steps with the answers to expect.
func (conn *Conn) plan(cycle *spool.Cycle) ([]byte, error) {
	conn.steps = conn.steps[:0]
	if len(cycle.Statements) == 0 && len(conn.prepared.stale) == 0 {
		for _, reply := range cycle.Replies {
			conn.steps = append(conn.steps, step{reply: reply})
		}
		return cycle.Messages, nil
	}
	planner := planner{conn: conn, cycle: cycle, start: conn.prepared.clock, output: conn.outgoing[:0]}
	planner.closeStale()
	for _, statement := range cycle.Statements {
		conn.prepared.has(statement.Name)
	}
	err := planner.walk()
	conn.outgoing = planner.output
	return planner.output, err
}

// planner rewrites the messages of a cycle for the statements that a connection has prepared.
type planner struct {
	conn    *Conn
	cycle   *spool.Cycle
	start   uint64 // uses up to this time are earlier than the cycle
	output  []byte
	parsed  []string // statements that the planned messages prepare
	evicted int
}

func (planner *planner) closeStale() {
	if planner.conn.unsynced {
		return
	}
	for _, name := range planner.conn.prepared.stale {
		planner.closeStatement(name)
		planner.conn.prepared.remove(name)
	}
	planner.conn.prepared.stale = nil
}

func (planner *planner) walk() error {
	messages := planner.cycle.Messages
	for _, reply := range planner.cycle.Replies {
		if len(messages) < headerSize {
			return eris.New("cycle has fewer messages than replies")
		}
		size := messageSize(messages)
		if size < 0 || size > len(messages) {
			return eris.New("cycle holds a truncated message")
		}
		planner.add(reply, messages[:size])
		messages = messages[size:]
	}
	planner.output = append(planner.output, messages...)
	return nil
}

func (planner *planner) add(reply spool.Reply, message []byte) {
	current := step{reply: reply}
	switch reply {
	case spool.ReplyParse:
		name, _, _ := cutString(message[headerSize:])
		current.name = string(name)
		if planner.known(current.name) {
			current.action = synthesize
			planner.conn.steps = append(planner.conn.steps, current)
			return
		}
		planner.makeRoom()
		planner.parsed = append(planner.parsed, current.name)
	case spool.ReplyBind:
		_, rest, _ := cutString(message[headerSize:])
		name, _, _ := cutString(rest)
		planner.require(string(name))
	case spool.ReplyDescribeStatement:
		name, _, _ := cutString(message[headerSize+1:])
		planner.require(string(name))
	}
	planner.output = append(planner.output, message...)
	planner.conn.steps = append(planner.conn.steps, current)
}

func (planner *planner) known(name string) bool {
	for _, parsed := range planner.parsed {
		if parsed == name {
			return true
		}
	}
	return planner.conn.prepared.has(name)
}

// require adds a Parse of the named statement if the server lacks it.
func (planner *planner) require(name string) {
	if planner.known(name) {
		return
	}
	for _, statement := range planner.cycle.Statements {
		if statement.Name != name {
			continue
		}
		planner.makeRoom()
		planner.parsed = append(planner.parsed, name)
		parse := pgproto3.Parse{Name: name, Query: statement.Query, ParameterOIDs: statement.ParameterOIDs}
		planner.output = encodeFrontend(planner.output, &parse)
		planner.conn.steps = append(planner.conn.steps, step{reply: spool.ReplyParse, action: swallow, name: name})
		return
	}
}

// makeRoom closes the statement that was not used for longest if the connection has reached its limit.
func (planner *planner) makeRoom() {
	prepared := &planner.conn.prepared
	if len(prepared.used)-planner.evicted+len(planner.parsed) < prepared.limit {
		return
	}
	name, found := prepared.oldest(planner.start)
	if !found {
		return
	}
	prepared.add(name)
	planner.evicted++
	planner.closeStatement(name)
}

func (planner *planner) closeStatement(name string) {
	planner.output = encodeFrontend(planner.output, &pgproto3.Close{ObjectType: 'S', Name: name})
	planner.conn.steps = append(planner.conn.steps, step{reply: spool.ReplyClose, action: swallow, name: name})
}
