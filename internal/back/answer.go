package back

import (
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// answer copies a server's messages for one cycle.
type answer struct {
	*Conn
	cycle     *spool.Cycle
	sink      spool.Sink
	next      int  // index of the step that is due
	fresh     bool // the cycle began outside of a transaction
	sent      bool // the sink got messages
	committed bool // a statement that may have committed on its own is completed
	begun     bool // a row or a completed statement is among the messages
	streaming bool // pending went to the sink; from now on parts of buffer do
	region    int  // start of the part of buffer that is to be passed on, when streaming
	failed    bool // the server reported an error; messages up to Sync are skipped
	muted     bool // the rest of the answer is dropped
	copying   bool // the server answers a COPY that the proxy refuses
	refusal   *spool.Refusal
	sinkError error
}

// copy reads until the cycle is answered; an error means that the connection is lost.
func (answer *answer) copy() error {
	answer.synthesize()
	for !answer.done() {
		if err := answer.ensure(headerSize); err != nil {
			return err
		}
		kind := answer.buffer[answer.start]
		size := messageSize(answer.buffer[answer.start:])
		if size < 0 {
			return eris.Errorf("message %q has an invalid length", kind)
		}
		if kind == 'Z' {
			return answer.ready(size)
		}
		if err := answer.message(kind, size); err != nil {
			return err
		}
	}
	answer.unsynced = true
	return answer.flush()
}

// done tells that a cycle that ends in Flush is answered.
func (answer *answer) done() bool {
	return answer.cycle.Flush && (answer.failed || answer.next == len(answer.steps))
}

func (answer *answer) ready(size int) error {
	if err := answer.ensure(size); err != nil {
		return err
	}
	last := len(answer.steps) - 1
	if size != headerSize+1 || answer.cycle.Flush || !answer.failed && answer.next != last {
		return eris.New("unexpected ReadyForQuery")
	}
	answer.status = answer.buffer[answer.start+headerSize]
	answer.unsynced = false
	if err := answer.flush(); err != nil {
		return err
	}
	answer.start += size
	return nil
}

func (answer *answer) message(kind byte, size int) error {
	switch kind {
	case 'D':
		return answer.row(size)
	case 'E':
		return answer.errorResponse(size)
	case 'S':
		return answer.parameterStatus(size)
	case 'N':
		return answer.pass(size)
	case 'A':
		return answer.drop(size)
	case 'G', 'H', 'W', 'd', 'c':
		return answer.copyMessage(kind, size)
	}
	return answer.reply(kind, size)
}

func (answer *answer) row(size int) error {
	if answer.next >= len(answer.steps) {
		return eris.New("unexpected row")
	}
	due := answer.steps[answer.next].reply
	if due != spool.ReplyQuery && due != spool.ReplyExecute {
		return eris.New("row does not answer what was sent")
	}
	answer.begun = true
	return answer.pass(size)
}

// reply matches a message to the step that is due.
func (answer *answer) reply(kind byte, size int) error {
	if answer.next >= len(answer.steps) {
		return eris.Errorf("unexpected message %q", kind)
	}
	due := answer.steps[answer.next]
	if !fits(due.reply, kind) {
		return eris.Errorf("message %q does not answer what was sent", kind)
	}
	if due.reply == spool.ReplyExecute || due.reply == spool.ReplyQuery {
		answer.begun = answer.begun || kind != 'T'
		if err := answer.noteCompletion(kind, size); err != nil {
			return err
		}
	}
	answer.settle(due, kind)
	if ends(due.reply, kind) {
		answer.next++
	}
	if due.action == swallow {
		if err := answer.drop(size); err != nil {
			return err
		}
	} else if err := answer.pass(size); err != nil {
		return err
	}
	answer.synthesize()
	return nil
}

// noteCompletion looks for statements that end a transaction in the middle of a cycle.
func (answer *answer) noteCompletion(kind byte, size int) error {
	if kind != 'C' || answer.committed || size > len(answer.buffer) {
		return nil
	}
	if err := answer.ensure(size); err != nil {
		return err
	}
	tag, _, _ := cutString(answer.buffer[answer.start+headerSize : answer.start+size])
	switch string(tag) {
	case "COMMIT", "CALL", "DO", "PREPARE TRANSACTION", "COMMIT PREPARED":
		answer.committed = true
	}
	return nil
}

// settle records what the server has prepared and closed.
func (answer *answer) settle(due step, kind byte) {
	switch {
	case kind == '1':
		answer.prepared.add(due.name)
	case kind == '3' && due.action == swallow:
		answer.prepared.remove(due.name)
	}
}

// synthesize answers Parse messages that the server was spared.
func (answer *answer) synthesize() {
	for answer.next < len(answer.steps) && answer.steps[answer.next].action == synthesize {
		answer.next++
		answer.emit(parseComplete)
	}
}

func fits(reply spool.Reply, kind byte) bool {
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

func ends(reply spool.Reply, kind byte) bool {
	return reply != spool.ReplyQuery && kind != 't'
}
