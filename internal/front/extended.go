package front

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// Object types in Describe and Close messages.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

func (assembler *assembler) addDescribe(body, message []byte) *spool.Refusal {
	object, name, ok := parseObjectName(body)
	if !ok {
		return notRun(spool.CodeProtocol, "invalid Describe message")
	}
	if object == objectPortal {
		if local := assembler.prepared.localPortals[name]; local != nil {
			assembler.addLocalStep(spool.ReplyDescribePortal, local)
			return nil
		}
		return assembler.forwardPortalMessage(spool.ReplyDescribePortal, message)
	}
	preparedStatement := assembler.prepared.byName[name]
	if preparedStatement == nil {
		return notRun(codeUnknownStatement, "prepared statement %q does not exist", name)
	}
	if local := preparedStatement.localStatement(assembler.txLost); local != nil {
		assembler.addLocalStep(spool.ReplyDescribeStatement, local)
		return nil
	}
	if refusal := assembler.applyTraits(&preparedStatement.traits); refusal != nil {
		return refusal
	}
	describe := pgproto3.Describe{ObjectType: objectStatement, Name: preparedStatement.Name}
	return assembler.encodeMessage(spool.ReplyDescribeStatement, &describe, preparedStatement)
}

func (assembler *assembler) addExecute(body, message []byte) *spool.Refusal {
	name, rest, found := bytes.Cut(body, []byte{0})
	if !found || len(rest) != 4 {
		return notRun(spool.CodeProtocol, "invalid Execute message")
	}
	if local := assembler.prepared.localPortals[string(name)]; local != nil {
		assembler.addLocalStep(spool.ReplyExecute, local)
		return nil
	}
	assembler.executes = true
	return assembler.forwardPortalMessage(spool.ReplyExecute, message)
}

// forwardPortalMessage adds a message that refers to a portal on the server.
func (assembler *assembler) forwardPortalMessage(reply spool.Reply, message []byte) *spool.Refusal {
	if assembler.txLost {
		return assembler.applyTraits(&traits{})
	}
	assembler.appendMessage(reply, message)
	assembler.remoteCount++
	return nil
}

// addClose removes a portal or prepared statement of the session. Servers keep the prepared statement, because other
// sessions may use it; the Close that is forwarded names a statement that is never prepared.
func (assembler *assembler) addClose(body, message []byte) *spool.Refusal {
	object, name, ok := parseObjectName(body)
	if !ok {
		return notRun(spool.CodeProtocol, "invalid Close message")
	}
	assembler.localSteps = append(assembler.localSteps, localStep{reply: spool.ReplyClose})
	if object == objectPortal {
		delete(assembler.prepared.localPortals, name)
		if assembler.executorOpen {
			assembler.remoteCount++
		}
		assembler.appendMessage(spool.ReplyClose, message)
		return nil
	}
	assembler.prepared.remove(name)
	closeMessage := pgproto3.Close{ObjectType: objectStatement, Name: unpreparedName}
	messages, err := closeMessage.Encode(assembler.cycle.Messages)
	if err != nil {
		return notRun(spool.CodeProtocol, "invalid message: %s", err)
	}
	assembler.cycle.Messages = messages
	assembler.cycle.Replies = append(assembler.cycle.Replies, spool.ReplyClose)
	return nil
}

func parseObjectName(body []byte) (object byte, name string, ok bool) {
	if len(body) < 2 || body[0] != objectStatement && body[0] != objectPortal {
		return 0, "", false
	}
	text, rest, found := bytes.Cut(body[1:], []byte{0})
	return body[0], string(text), found && len(rest) == 0
}

// finishExtended completes a cycle of extended query messages at Sync or Flush.
func (assembler *assembler) finishExtended(message []byte) {
	assembler.terminator = message[0]
	if assembler.localCount > 0 && assembler.remoteCount > 0 && assembler.failure == nil {
		assembler.failure = unsupported("statements that the proxy answers itself must not share a pipeline with others")
	}
	if assembler.referenceCount == 0 {
		assembler.read = false
	}
	if assembler.terminator == 'H' {
		assembler.read = assembler.read && !assembler.executes
		assembler.cycle.Flush = true
		assembler.cycle.Messages = append(assembler.cycle.Messages, message...)
		return
	}
	assembler.appendMessage(spool.ReplySync, message)
}

// retryable reports whether the cycle may run more than once.
func (assembler *assembler) retryable() bool {
	return assembler.idempotent && assembler.referenceCount > 0 || !assembler.executes
}
