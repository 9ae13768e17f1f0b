package back

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

type action int

const (
	forwardReply    action = iota // the caller expects this reply
	discardReply                  // the reply belongs to a message that the proxy added
	synthesizeReply               // the message is not sent, since the server has the statement
)

// expectedReply is a reply that the caller or the proxy expects.
type expectedReply struct {
	reply  spool.Reply
	action action
	name   string // statement that Parse prepares or Close removes
}

// planCycle returns the bytes to send for cycle and fills conn.expected with the replies to them.
func (conn *Conn) planCycle(cycle *spool.Cycle) ([]byte, error) {
	conn.expected = conn.expected[:0]
	if len(cycle.Statements) == 0 && len(conn.prepared.stale) == 0 {
		for _, reply := range cycle.Replies {
			conn.expected = append(conn.expected, expectedReply{reply: reply})
		}
		return cycle.Messages, nil
	}
	planner := planner{conn: conn, cycle: cycle, cycleStart: conn.prepared.useCount, output: conn.outgoing[:0]}
	planner.closeStale()
	for _, statement := range cycle.Statements {
		conn.prepared.touch(statement.Name)
	}
	err := planner.planMessages()
	conn.outgoing = planner.output
	return planner.output, err
}

// planner rewrites the messages of a cycle according to the statements that a connection has prepared.
type planner struct {
	conn       *Conn
	cycle      *spool.Cycle
	cycleStart uint64 // useCount before the cycle
	output     []byte
	parsed     []string // statements that the planned messages prepare
	evicted    int
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

func (planner *planner) planMessages() error {
	messages := planner.cycle.Messages
	for _, reply := range planner.cycle.Replies {
		if len(messages) < headerSize {
			return eris.New("cycle has fewer messages than replies")
		}
		size := messageSize(messages)
		if size < 0 || size > len(messages) {
			return eris.New("cycle holds a truncated message")
		}
		planner.planMessage(reply, messages[:size])
		messages = messages[size:]
	}
	planner.output = append(planner.output, messages...)
	return nil
}

func (planner *planner) planMessage(reply spool.Reply, message []byte) {
	expected := expectedReply{reply: reply}
	switch reply {
	case spool.ReplyParse:
		name, _, _ := cutString(message[headerSize:])
		expected.name = string(name)
		if planner.isPrepared(expected.name) {
			expected.action = synthesizeReply
			planner.conn.expected = append(planner.conn.expected, expected)
			return
		}
		planner.evictIfFull()
		planner.parsed = append(planner.parsed, expected.name)
	case spool.ReplyBind:
		_, rest, _ := cutString(message[headerSize:])
		name, _, _ := cutString(rest)
		planner.ensurePrepared(string(name))
	case spool.ReplyDescribeStatement:
		name, _, _ := cutString(message[headerSize+1:])
		planner.ensurePrepared(string(name))
	}
	planner.output = append(planner.output, message...)
	planner.conn.expected = append(planner.conn.expected, expected)
}

func (planner *planner) isPrepared(name string) bool {
	for _, parsed := range planner.parsed {
		if parsed == name {
			return true
		}
	}
	return planner.conn.prepared.touch(name)
}

// ensurePrepared adds a Parse of the named statement if the server does not have it.
func (planner *planner) ensurePrepared(name string) {
	if planner.isPrepared(name) {
		return
	}
	for _, statement := range planner.cycle.Statements {
		if statement.Name != name {
			continue
		}
		planner.evictIfFull()
		planner.parsed = append(planner.parsed, name)
		parse := pgproto3.Parse{Name: name, Query: statement.Query, ParameterOIDs: statement.ParameterOIDs}
		planner.output = encodeFrontend(planner.output, &parse)
		planner.conn.expected = append(planner.conn.expected,
			expectedReply{reply: spool.ReplyParse, action: discardReply, name: name})
		return
	}
}

// evictIfFull closes the least recently used statement if the connection has reached its limit.
func (planner *planner) evictIfFull() {
	statements := &planner.conn.prepared
	if len(statements.lastUse)-planner.evicted+len(planner.parsed) < statements.limit {
		return
	}
	name, found := statements.leastRecentlyUsed(planner.cycleStart)
	if !found {
		return
	}
	statements.add(name) // so that this cycle evicts it only once
	planner.evicted++
	planner.closeStatement(name)
}

func (planner *planner) closeStatement(name string) {
	planner.output = encodeFrontend(planner.output, &pgproto3.Close{ObjectType: 'S', Name: name})
	planner.conn.expected = append(planner.conn.expected,
		expectedReply{reply: spool.ReplyClose, action: discardReply, name: name})
}
