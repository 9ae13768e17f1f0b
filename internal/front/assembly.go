package front

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

const keptCycleSize = 64 << 10

// assembly collects a caller's messages up to Query, Sync or Flush.
type assembly struct {
	*settings
	analyst     analyst
	definitions definitions
	lost        bool // the transaction's server is gone
	open        bool // an executor is open
	unsynced    bool // Flush sent a part of an extended query, and its Sync is due
	skipping    bool // an error was reported; messages up to Sync are skipped

	cycle      spool.Cycle
	own        []ownStep
	failure    *spool.Refusal
	size       int
	remote     int // messages that a server must answer
	local      int // messages that the proxy must answer
	referred   int // statements that messages name
	executes   bool
	read       bool
	idempotent bool
	begins     bool
	ends       bool
	end        byte // the message that ended the cycle: Q, S, H or F
}

// ownStep is a message that the proxy answers itself.
type ownStep struct {
	reply spool.Reply
	own   *ownStatement
}

func newAssembly(settings *settings) assembly {
	assembly := assembly{settings: settings, definitions: newDefinitions()}
	assembly.reset()
	return assembly
}

// reset makes ready for the next cycle.
func (assembly *assembly) reset() {
	messages := assembly.cycle.Messages[:0]
	if cap(messages) > keptCycleSize {
		messages = nil
	}
	assembly.cycle = spool.Cycle{
		Messages:   messages,
		Statements: assembly.cycle.Statements[:0],
		Replies:    assembly.cycle.Replies[:0],
	}
	assembly.own = assembly.own[:0]
	assembly.failure = nil
	assembly.size = 0
	assembly.remote = 0
	assembly.local = 0
	assembly.referred = 0
	assembly.executes = false
	assembly.read = true
	assembly.idempotent = true
	assembly.begins = false
	assembly.ends = false
	assembly.end = 0
}

// started tells that messages of an unfinished cycle have come.
func (assembly *assembly) started() bool {
	return assembly.size > 0
}

// add takes one message and tells whether the cycle is complete; a refusal means that the caller broke the protocol.
func (assembly *assembly) add(message []byte) (done bool, broken *spool.Refusal) {
	kind := message[0]
	body := message[headerSize:]
	if kind == 'Q' || kind == 'F' {
		if assembly.started() || assembly.skipping || assembly.unsynced {
			return false, notRun(spool.CodeProtocol, "message %q came before the Sync of an extended query", kind)
		}
		assembly.end = kind
		assembly.simple(message)
		return true, nil
	}
	assembly.size += len(message)
	switch kind {
	case 'S', 'H':
		assembly.finish(message)
		return true, nil
	case 'd', 'c', 'f':
		return false, nil // what is left of a COPY that was refused
	case 'P', 'B', 'D', 'E', 'C':
		if assembly.skipping || assembly.failure != nil {
			return false, nil
		}
		if assembly.size > assembly.cycleSize {
			assembly.failure = notRun(codeTooLarge, "messages before Sync exceed %d bytes", assembly.cycleSize)
			return false, nil
		}
		assembly.failure = assembly.extended(kind, body, message)
		return false, nil
	}
	return false, notRun(spool.CodeProtocol, "invalid message type %q", kind)
}

func (assembly *assembly) simple(message []byte) {
	assembly.size += len(message)
	if message[0] == 'F' {
		assembly.failure = unsupported("function calls by message are not supported")
		return
	}
	text, rest, found := bytes.Cut(message[headerSize:], []byte{0})
	if !found || len(rest) > 0 {
		assembly.failure = notRun(spool.CodeProtocol, "invalid Query message")
		return
	}
	traits := assembly.analyst.analyze(string(text))
	if own := traits.ownAnswer(assembly.lost); own != nil && traits.refusal == nil {
		assembly.own = append(assembly.own, ownStep{reply: spool.ReplyQuery, own: own})
		assembly.local++
		return
	}
	assembly.executes = true
	if assembly.failure = assembly.use(&traits); assembly.failure != nil {
		return
	}
	assembly.append(spool.ReplyQuery, message)
	assembly.remote++
}

// use notes what a statement asks for.
func (assembly *assembly) use(traits *traits) *spool.Refusal {
	if assembly.lost {
		return notRun(codeFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}
	assembly.referred++
	assembly.read = assembly.read && traits.read
	assembly.idempotent = assembly.idempotent && traits.idempotent
	assembly.begins = assembly.begins || traits.begins
	assembly.ends = assembly.ends || traits.ends
	return traits.refusal
}

func (assembly *assembly) append(reply spool.Reply, message []byte) {
	assembly.cycle.Messages = append(assembly.cycle.Messages, message...)
	assembly.cycle.Replies = append(assembly.cycle.Replies, reply)
}

func (assembly *assembly) extended(kind byte, body, message []byte) *spool.Refusal {
	switch kind {
	case 'P':
		return assembly.parse(body)
	case 'B':
		return assembly.bind(body)
	case 'D':
		return assembly.describe(body, message)
	case 'C':
		return assembly.close(body, message)
	}
	return assembly.execute(body, message)
}

func (assembly *assembly) parse(body []byte) *spool.Refusal {
	var parse pgproto3.Parse
	if err := parse.Decode(body); err != nil {
		return notRun(spool.CodeProtocol, "invalid Parse message")
	}
	added := &definition{
		Statement: spool.Statement{
			Name:          statementName(parse.Query, parse.ParameterOIDs),
			Query:         parse.Query,
			ParameterOIDs: parse.ParameterOIDs,
		},
		traits: assembly.analyst.analyze(parse.Query),
	}
	own := added.own(assembly.lost)
	if own == nil {
		if refusal := assembly.use(&added.traits); refusal != nil {
			return refusal
		}
	} else if added.refusal != nil {
		return added.refusal
	}
	if !assembly.definitions.put(parse.Name, added, assembly.settings) {
		return notRun(codeTooLarge, "too many prepared statements")
	}
	if own != nil {
		assembly.answer(spool.ReplyParse, nil)
		return nil
	}
	parse.Name = added.Name
	return assembly.encode(spool.ReplyParse, &parse, added)
}

// answer notes a message that the proxy answers itself.
func (assembly *assembly) answer(reply spool.Reply, own *ownStatement) {
	assembly.own = append(assembly.own, ownStep{reply: reply, own: own})
	assembly.local++
}

func (assembly *assembly) encode(
	reply spool.Reply, message pgproto3.FrontendMessage, named *definition,
) *spool.Refusal {
	messages, err := message.Encode(assembly.cycle.Messages)
	if err != nil {
		return notRun(spool.CodeProtocol, "invalid message: %s", err)
	}
	assembly.cycle.Messages = messages
	assembly.cycle.Replies = append(assembly.cycle.Replies, reply)
	assembly.remote++
	assembly.list(named)
	return nil
}

// list adds the definition to the cycle once.
func (assembly *assembly) list(named *definition) {
	if named == nil {
		return
	}
	for i := range assembly.cycle.Statements {
		if assembly.cycle.Statements[i].Name == named.Name {
			return
		}
	}
	assembly.cycle.Statements = append(assembly.cycle.Statements, named.Statement)
}

func (assembly *assembly) bind(body []byte) *spool.Refusal {
	portal, rest, foundPortal := bytes.Cut(body, []byte{0})
	name, values, foundName := bytes.Cut(rest, []byte{0})
	if !foundPortal || !foundName {
		return notRun(spool.CodeProtocol, "invalid Bind message")
	}
	delete(assembly.definitions.portals, string(portal))
	named := assembly.definitions.named[string(name)]
	if named == nil {
		return notRun(codeUnknownStatement, "prepared statement %q does not exist", name)
	}
	if own := named.own(assembly.lost); own != nil {
		if len(assembly.definitions.portals) >= assembly.statements {
			return notRun(codeTooLarge, "too many portals")
		}
		assembly.definitions.portals[string(portal)] = own
		assembly.answer(spool.ReplyBind, nil)
		return nil
	}
	if refusal := assembly.use(&named.traits); refusal != nil {
		return refusal
	}
	messages := append(assembly.cycle.Messages, 'B')
	length := 4 + len(portal) + 1 + len(named.Name) + 1 + len(values)
	messages = binary.BigEndian.AppendUint32(messages, uint32(length))
	messages = append(messages, portal...)
	messages = append(messages, 0)
	messages = append(messages, named.Name...)
	messages = append(messages, 0)
	assembly.cycle.Messages = append(messages, values...)
	assembly.cycle.Replies = append(assembly.cycle.Replies, spool.ReplyBind)
	assembly.remote++
	assembly.list(named)
	return nil
}
