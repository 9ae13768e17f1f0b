package front

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// Kinds of objects that Describe and Close name.
const (
	objectStatement = 'S'
	objectPortal    = 'P'
)

func (assembly *assembly) describe(body, message []byte) *spool.Refusal {
	object, name, ok := objectName(body)
	if !ok {
		return notRun(spool.CodeProtocol, "invalid Describe message")
	}
	if object == objectPortal {
		if own := assembly.definitions.portals[name]; own != nil {
			assembly.answer(spool.ReplyDescribePortal, own)
			return nil
		}
		return assembly.portal(spool.ReplyDescribePortal, message)
	}
	named := assembly.definitions.named[name]
	if named == nil {
		return notRun(codeUnknownStatement, "prepared statement %q does not exist", name)
	}
	if own := named.own(assembly.lost); own != nil {
		assembly.answer(spool.ReplyDescribeStatement, own)
		return nil
	}
	if refusal := assembly.use(&named.traits); refusal != nil {
		return refusal
	}
	describe := pgproto3.Describe{ObjectType: objectStatement, Name: named.Name}
	return assembly.encode(spool.ReplyDescribeStatement, &describe, named)
}

func (assembly *assembly) execute(body, message []byte) *spool.Refusal {
	name, rest, found := bytes.Cut(body, []byte{0})
	if !found || len(rest) != 4 {
		return notRun(spool.CodeProtocol, "invalid Execute message")
	}
	if own := assembly.definitions.portals[string(name)]; own != nil {
		assembly.answer(spool.ReplyExecute, own)
		return nil
	}
	assembly.executes = true
	return assembly.portal(spool.ReplyExecute, message)
}

// portal passes a message on that names a portal of the server's.
func (assembly *assembly) portal(reply spool.Reply, message []byte) *spool.Refusal {
	if assembly.lost {
		return assembly.use(&traits{})
	}
	assembly.append(reply, message)
	assembly.remote++
	return nil
}

// close forgets a statement of the caller's; servers keep theirs, which other callers may use.
func (assembly *assembly) close(body, message []byte) *spool.Refusal {
	object, name, ok := objectName(body)
	if !ok {
		return notRun(spool.CodeProtocol, "invalid Close message")
	}
	assembly.own = append(assembly.own, ownStep{reply: spool.ReplyClose})
	if object == objectPortal {
		delete(assembly.definitions.portals, name)
		if assembly.open {
			assembly.remote++
		}
		assembly.append(spool.ReplyClose, message)
		return nil
	}
	assembly.definitions.remove(name)
	harmless := pgproto3.Close{ObjectType: objectStatement, Name: closedName}
	messages, err := harmless.Encode(assembly.cycle.Messages)
	if err != nil {
		return notRun(spool.CodeProtocol, "invalid message: %s", err)
	}
	assembly.cycle.Messages = messages
	assembly.cycle.Replies = append(assembly.cycle.Replies, spool.ReplyClose)
	return nil
}

func objectName(body []byte) (object byte, name string, ok bool) {
	if len(body) < 2 || body[0] != objectStatement && body[0] != objectPortal {
		return 0, "", false
	}
	text, rest, found := bytes.Cut(body[1:], []byte{0})
	return body[0], string(text), found && len(rest) == 0
}

// finish ends an extended query at Sync or Flush.
func (assembly *assembly) finish(message []byte) {
	assembly.end = message[0]
	if assembly.local > 0 && assembly.remote > 0 && assembly.failure == nil {
		assembly.failure = unsupported("statements that the proxy answers itself must not share a pipeline with others")
	}
	if assembly.referred == 0 {
		assembly.read = false
	}
	if assembly.end == 'H' {
		assembly.read = assembly.read && !assembly.executes
		assembly.cycle.Flush = true
		assembly.cycle.Messages = append(assembly.cycle.Messages, message...)
		return
	}
	assembly.append(spool.ReplySync, message)
}

// retryable tells that the cycle may run more than once.
func (assembly *assembly) retryable() bool {
	return assembly.idempotent && assembly.referred > 0 || !assembly.executes
}
