package front

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

const maxRetainedCycleSize = 64 << 10 // bytes; a larger message buffer is released after its cycle

// assembler collects a caller's messages into a cycle, which ends at Query, FunctionCall, Sync or Flush.
type assembler struct {
	*settings
	classifier     classifier
	prepared       preparedStore
	txLost         bool // the server was lost during a transaction that the caller has not ended
	executorOpen   bool // the session holds an executor
	syncPending    bool // Flush sent part of an extended query whose Sync has not arrived
	skippingToSync bool // an error was reported; messages are skipped until Sync

	cycle          spool.Cycle
	localSteps     []localStep
	failure        *spool.Refusal
	size           int
	remoteCount    int // messages to be answered by a server
	localCount     int // messages to be answered by the proxy
	referenceCount int // references to statements in the messages
	executes       bool
	read           bool
	idempotent     bool
	beginsTx       bool
	endsTx         bool
	terminator     byte // type of the message that ended the cycle: Q, S, H or F
}

// localStep is a message that the proxy answers itself.
type localStep struct {
	reply spool.Reply
	local *localStatement
}

func newAssembler(settings *settings) assembler {
	assembler := assembler{settings: settings, prepared: newPreparedStore()}
	assembler.reset()
	return assembler
}

// reset prepares the assembler for the next cycle.
func (assembler *assembler) reset() {
	messages := assembler.cycle.Messages[:0]
	if cap(messages) > maxRetainedCycleSize {
		messages = nil
	}
	assembler.cycle = spool.Cycle{
		Messages:   messages,
		Statements: assembler.cycle.Statements[:0],
		Replies:    assembler.cycle.Replies[:0],
	}
	assembler.localSteps = assembler.localSteps[:0]
	assembler.failure = nil
	assembler.size = 0
	assembler.remoteCount = 0
	assembler.localCount = 0
	assembler.referenceCount = 0
	assembler.executes = false
	assembler.read = true
	assembler.idempotent = true
	assembler.beginsTx = false
	assembler.endsTx = false
	assembler.terminator = 0
}

// started reports whether messages of an incomplete cycle have been received.
func (assembler *assembler) started() bool {
	return assembler.size > 0
}

// add adds one message and reports whether the cycle is complete. A refusal means that the caller violated the
// protocol; other failures are kept in assembler.failure.
func (assembler *assembler) add(message []byte) (done bool, violation *spool.Refusal) {
	kind := message[0]
	body := message[headerSize:]
	if kind == 'Q' || kind == 'F' {
		if assembler.started() || assembler.skippingToSync || assembler.syncPending {
			return false, notRun(spool.CodeProtocol, "message %q came before the Sync of an extended query", kind)
		}
		assembler.terminator = kind
		assembler.addSimple(message)
		return true, nil
	}
	assembler.size += len(message)
	switch kind {
	case 'S', 'H':
		assembler.finishExtended(message)
		return true, nil
	case 'd', 'c', 'f':
		return false, nil // remaining messages of a refused COPY
	case 'P', 'B', 'D', 'E', 'C':
		if assembler.skippingToSync || assembler.failure != nil {
			return false, nil
		}
		if assembler.size > assembler.maxCycleSize {
			assembler.failure = notRun(codeTooLarge, "messages before Sync exceed %d bytes", assembler.maxCycleSize)
			return false, nil
		}
		assembler.failure = assembler.addExtended(kind, body, message)
		return false, nil
	}
	return false, notRun(spool.CodeProtocol, "invalid message type %q", kind)
}

func (assembler *assembler) addSimple(message []byte) {
	assembler.size += len(message)
	if message[0] == 'F' {
		assembler.failure = unsupported("function calls by message are not supported")
		return
	}
	text, rest, found := bytes.Cut(message[headerSize:], []byte{0})
	if !found || len(rest) > 0 {
		assembler.failure = notRun(spool.CodeProtocol, "invalid Query message")
		return
	}
	traits := assembler.classifier.classify(string(text))
	if local := traits.localStatement(assembler.txLost); local != nil && traits.refusal == nil {
		assembler.localSteps = append(assembler.localSteps, localStep{reply: spool.ReplyQuery, local: local})
		assembler.localCount++
		return
	}
	assembler.executes = true
	if assembler.failure = assembler.applyTraits(&traits); assembler.failure != nil {
		return
	}
	assembler.appendMessage(spool.ReplyQuery, message)
	assembler.remoteCount++
}

// applyTraits merges the traits of a statement into those of the cycle.
func (assembler *assembler) applyTraits(traits *traits) *spool.Refusal {
	if assembler.txLost {
		return notRun(codeFailedTransaction,
			"current transaction is aborted, commands ignored until end of transaction block")
	}
	assembler.referenceCount++
	assembler.read = assembler.read && traits.read
	assembler.idempotent = assembler.idempotent && traits.idempotent
	assembler.beginsTx = assembler.beginsTx || traits.beginsTx
	assembler.endsTx = assembler.endsTx || traits.endsTx
	return traits.refusal
}

func (assembler *assembler) appendMessage(reply spool.Reply, message []byte) {
	assembler.cycle.Messages = append(assembler.cycle.Messages, message...)
	assembler.cycle.Replies = append(assembler.cycle.Replies, reply)
}

func (assembler *assembler) addExtended(kind byte, body, message []byte) *spool.Refusal {
	switch kind {
	case 'P':
		return assembler.addParse(body)
	case 'B':
		return assembler.addBind(body)
	case 'D':
		return assembler.addDescribe(body, message)
	case 'C':
		return assembler.addClose(body, message)
	}
	return assembler.addExecute(body, message)
}

func (assembler *assembler) addParse(body []byte) *spool.Refusal {
	var parse pgproto3.Parse
	if err := parse.Decode(body); err != nil {
		return notRun(spool.CodeProtocol, "invalid Parse message")
	}
	preparedStatement := &preparedStatement{
		Statement: spool.Statement{
			Name:          serverStatementName(parse.Query, parse.ParameterOIDs),
			Query:         parse.Query,
			ParameterOIDs: parse.ParameterOIDs,
		},
		traits: assembler.classifier.classify(parse.Query),
	}
	local := preparedStatement.localStatement(assembler.txLost)
	if local == nil {
		if refusal := assembler.applyTraits(&preparedStatement.traits); refusal != nil {
			return refusal
		}
	} else if preparedStatement.refusal != nil {
		return preparedStatement.refusal
	}
	if !assembler.prepared.put(parse.Name, preparedStatement, assembler.settings) {
		return notRun(codeTooLarge, "too many prepared statements")
	}
	if local != nil {
		assembler.addLocalStep(spool.ReplyParse, nil)
		return nil
	}
	parse.Name = preparedStatement.Name
	return assembler.encodeMessage(spool.ReplyParse, &parse, preparedStatement)
}

// addLocalStep records a message that the proxy answers itself.
func (assembler *assembler) addLocalStep(reply spool.Reply, local *localStatement) {
	assembler.localSteps = append(assembler.localSteps, localStep{reply: reply, local: local})
	assembler.localCount++
}

func (assembler *assembler) encodeMessage(
	reply spool.Reply, message pgproto3.FrontendMessage, preparedStatement *preparedStatement,
) *spool.Refusal {
	messages, err := message.Encode(assembler.cycle.Messages)
	if err != nil {
		return notRun(spool.CodeProtocol, "invalid message: %s", err)
	}
	assembler.cycle.Messages = messages
	assembler.cycle.Replies = append(assembler.cycle.Replies, reply)
	assembler.remoteCount++
	assembler.addStatement(preparedStatement)
	return nil
}

// addStatement adds the prepared statement to the cycle unless it is listed already.
func (assembler *assembler) addStatement(preparedStatement *preparedStatement) {
	if preparedStatement == nil {
		return
	}
	for i := range assembler.cycle.Statements {
		if assembler.cycle.Statements[i].Name == preparedStatement.Name {
			return
		}
	}
	assembler.cycle.Statements = append(assembler.cycle.Statements, preparedStatement.Statement)
}

func (assembler *assembler) addBind(body []byte) *spool.Refusal {
	portal, rest, foundPortal := bytes.Cut(body, []byte{0})
	name, values, foundName := bytes.Cut(rest, []byte{0})
	if !foundPortal || !foundName {
		return notRun(spool.CodeProtocol, "invalid Bind message")
	}
	delete(assembler.prepared.localPortals, string(portal))
	preparedStatement := assembler.prepared.byName[string(name)]
	if preparedStatement == nil {
		return notRun(codeUnknownStatement, "prepared statement %q does not exist", name)
	}
	if local := preparedStatement.localStatement(assembler.txLost); local != nil {
		if len(assembler.prepared.localPortals) >= assembler.maxStatements {
			return notRun(codeTooLarge, "too many portals")
		}
		assembler.prepared.localPortals[string(portal)] = local
		assembler.addLocalStep(spool.ReplyBind, nil)
		return nil
	}
	if refusal := assembler.applyTraits(&preparedStatement.traits); refusal != nil {
		return refusal
	}
	messages := append(assembler.cycle.Messages, 'B')
	length := 4 + len(portal) + 1 + len(preparedStatement.Name) + 1 + len(values)
	messages = binary.BigEndian.AppendUint32(messages, uint32(length))
	messages = append(messages, portal...)
	messages = append(messages, 0)
	messages = append(messages, preparedStatement.Name...)
	messages = append(messages, 0)
	assembler.cycle.Messages = append(messages, values...)
	assembler.cycle.Replies = append(assembler.cycle.Replies, spool.ReplyBind)
	assembler.remoteCount++
	assembler.addStatement(preparedStatement)
	return nil
}
