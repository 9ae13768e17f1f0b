package back

import (
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// responseForwarder copies the messages with which a server answers one cycle to a sink.
type responseForwarder struct {
	*Conn
	cycle            *spool.Cycle
	sink             spool.Sink
	next             int  // index into expected of the reply that comes next
	startedIdle      bool // the cycle started outside of a transaction
	sinkWritten      bool // messages were written to the sink
	mayHaveCommitted bool // a statement completed that may have committed a transaction
	resultStarted    bool // a row, a completed statement or an error was received
	streaming        bool // pending was written to the sink, which now gets slices of buffer
	flushStart       int  // when streaming, start of the part of buffer that is to be forwarded
	failed           bool // the server reported an error; messages up to Sync are skipped
	discarding       bool // the rest of the response is not forwarded
	copyFailSent     bool // the proxy refused COPY FROM STDIN and expects the server's error
	refusal          *spool.Refusal
	sinkError        error
}

// copyResponse reads until the cycle is answered; after an error the connection is unusable.
func (forwarder *responseForwarder) copyResponse() error {
	forwarder.synthesizeReplies()
	for !forwarder.flushAnswered() {
		if err := forwarder.readAtLeast(headerSize); err != nil {
			return err
		}
		kind := forwarder.buffer[forwarder.start]
		size := messageSize(forwarder.buffer[forwarder.start:])
		if size < 0 {
			return eris.Errorf("message %q has an invalid length", kind)
		}
		if kind == 'Z' {
			return forwarder.readyForQuery(size)
		}
		if err := forwarder.handleMessage(kind, size); err != nil {
			return err
		}
	}
	forwarder.unsynced = true
	return forwarder.flush()
}

// flushAnswered reports whether all replies to a cycle that ends in Flush were received.
func (forwarder *responseForwarder) flushAnswered() bool {
	return forwarder.cycle.Flush && (forwarder.failed || forwarder.next == len(forwarder.expected))
}

func (forwarder *responseForwarder) readyForQuery(size int) error {
	if err := forwarder.readAtLeast(size); err != nil {
		return err
	}
	last := len(forwarder.expected) - 1
	if size != headerSize+1 || forwarder.cycle.Flush || !forwarder.failed && forwarder.next != last {
		return eris.New("unexpected ReadyForQuery")
	}
	forwarder.status = forwarder.buffer[forwarder.start+headerSize]
	forwarder.unsynced = false
	if err := forwarder.flush(); err != nil {
		return err
	}
	forwarder.start += size
	return nil
}

func (forwarder *responseForwarder) handleMessage(kind byte, size int) error {
	switch kind {
	case 'D':
		return forwarder.forwardRow(size)
	case 'E':
		return forwarder.handleError(size)
	case 'S':
		return forwarder.handleParameterStatus(size)
	case 'N':
		return forwarder.forward(size)
	case 'A':
		return forwarder.discard(size)
	case 'G', 'H', 'W', 'd', 'c':
		return forwarder.refuseCopy(kind, size)
	}
	return forwarder.matchReply(kind, size)
}

func (forwarder *responseForwarder) forwardRow(size int) error {
	if forwarder.next >= len(forwarder.expected) {
		return eris.New("unexpected DataRow after the last reply")
	}
	expected := forwarder.expected[forwarder.next].reply
	if expected != spool.ReplyQuery && expected != spool.ReplyExecute {
		return eris.New("DataRow does not match the expected reply")
	}
	forwarder.resultStarted = true
	return forwarder.forward(size)
}

// matchReply checks a message against the next expected reply, and forwards or discards it.
func (forwarder *responseForwarder) matchReply(kind byte, size int) error {
	if forwarder.next >= len(forwarder.expected) {
		return eris.Errorf("unexpected message %q after the last reply", kind)
	}
	expected := forwarder.expected[forwarder.next]
	if !replyMatches(expected.reply, kind) {
		return eris.Errorf("message %q does not match the expected reply", kind)
	}
	if expected.reply == spool.ReplyExecute || expected.reply == spool.ReplyQuery {
		forwarder.resultStarted = forwarder.resultStarted || kind != 'T'
		if err := forwarder.recordCommit(kind, size); err != nil {
			return err
		}
	}
	forwarder.updatePrepared(expected, kind)
	if completesReply(expected.reply, kind) {
		forwarder.next++
	}
	if expected.action == discardReply {
		if err := forwarder.discard(size); err != nil {
			return err
		}
	} else if err := forwarder.forward(size); err != nil {
		return err
	}
	forwarder.synthesizeReplies()
	return nil
}

// recordCommit detects completed statements that may commit a transaction in the middle of a cycle.
func (forwarder *responseForwarder) recordCommit(kind byte, size int) error {
	if kind != 'C' || forwarder.mayHaveCommitted || size > len(forwarder.buffer) {
		return nil
	}
	if err := forwarder.readAtLeast(size); err != nil {
		return err
	}
	tag, _, _ := cutString(forwarder.buffer[forwarder.start+headerSize : forwarder.start+size])
	switch string(tag) {
	case "COMMIT", "CALL", "DO", "PREPARE TRANSACTION", "COMMIT PREPARED":
		forwarder.mayHaveCommitted = true
	}
	return nil
}

// updatePrepared records the statements that the server has prepared or closed.
func (forwarder *responseForwarder) updatePrepared(expected expectedReply, kind byte) {
	switch {
	case kind == '1':
		forwarder.prepared.add(expected.name)
	case kind == '3' && expected.action == discardReply:
		forwarder.prepared.remove(expected.name)
	}
}

// synthesizeReplies answers Parse messages that were not sent because the server has the statement already.
func (forwarder *responseForwarder) synthesizeReplies() {
	for forwarder.next < len(forwarder.expected) && forwarder.expected[forwarder.next].action == synthesizeReply {
		forwarder.next++
		forwarder.enqueue(parseComplete)
	}
}

func replyMatches(reply spool.Reply, kind byte) bool {
	switch reply {
	case spool.ReplyQuery:
		return kind == 'T' || kind == 'C' || kind == 'I'
	case spool.ReplyParse:
		return kind == '1'
	case spool.ReplyBind:
		return kind == '2'
	case spool.ReplyDescribeStatement:
		return kind == 't' || kind == 'T' || kind == 'n'
	case spool.ReplyDescribePortal:
		return kind == 'T' || kind == 'n'
	case spool.ReplyExecute:
		return kind == 'C' || kind == 'I' || kind == 's'
	case spool.ReplyClose:
		return kind == '3'
	}
	return false
}

func completesReply(reply spool.Reply, kind byte) bool {
	return reply != spool.ReplyQuery && kind != 't'
}
