package back

import (
	"github.com/rotisserie/eris"
)

// ensure reads until size bytes of the message at start are in the buffer.
func (answer *answer) ensure(size int) error {
	for answer.end-answer.start < size {
		if err := answer.fill(); err != nil {
			return err
		}
	}
	return nil
}

// fill makes room in the buffer and reads once; what waits for the sink goes first, unless the cycle may yet be retried.
func (answer *answer) fill() error {
	if answer.begun || answer.streaming {
		if err := answer.flush(); err != nil {
			return err
		}
		answer.streaming = true
	}
	copy(answer.buffer, answer.buffer[answer.start:answer.end])
	answer.end -= answer.start
	answer.start = 0
	answer.region = 0
	n, err := answer.socket.Read(answer.buffer[answer.end:])
	answer.end += n
	if n > 0 {
		return nil
	}
	return eris.Wrap(err, "read")
}

// pass hands the message at start on as it is.
func (answer *answer) pass(size int) error {
	if size > len(answer.buffer) {
		return answer.passLarge(size)
	}
	if err := answer.ensure(size); err != nil {
		return err
	}
	if answer.muted {
		return answer.drop(size)
	}
	if answer.streaming {
		answer.start += size
		return nil
	}
	answer.emit(answer.buffer[answer.start : answer.start+size])
	answer.start += size
	answer.region = answer.start
	if len(answer.pending) < bufferSize {
		return nil
	}
	answer.begun = true
	return answer.flush()
}

// passLarge hands on a message that does not fit into the buffer, part by part.
func (answer *answer) passLarge(size int) error {
	if answer.muted {
		return answer.drop(size)
	}
	answer.begun = true
	for size > 0 {
		if answer.start == answer.end {
			if err := answer.fill(); err != nil {
				return err
			}
		}
		part := min(size, answer.end-answer.start)
		if !answer.streaming {
			if err := answer.flush(); err != nil {
				return err
			}
			answer.streaming = true
		}
		answer.start += part
		size -= part
	}
	return nil
}

// drop consumes the message at start without handing it on.
func (answer *answer) drop(size int) error {
	if answer.streaming {
		if err := answer.flush(); err != nil {
			return err
		}
	}
	for size > 0 {
		part := min(size, answer.end-answer.start)
		answer.start += part
		answer.region = answer.start
		size -= part
		if size == 0 {
			return nil
		}
		if err := answer.fill(); err != nil {
			return err
		}
	}
	return nil
}

// emit queues a message that is not, or no longer, in the buffer.
func (answer *answer) emit(message []byte) {
	if answer.muted {
		return
	}
	if answer.streaming {
		_ = answer.flush()
		answer.write(message)
		return
	}
	answer.pending = append(answer.pending, message...)
}

// flush hands on everything up to start that was not yet handed on.
func (answer *answer) flush() error {
	if len(answer.pending) > 0 {
		answer.write(answer.pending)
		answer.pending = answer.pending[:0]
	}
	if answer.streaming && answer.region < answer.start {
		answer.write(answer.buffer[answer.region:answer.start])
	}
	answer.region = answer.start
	return nil
}

// write gives messages to the sink; after its first error the server is asked to cancel and the rest is dropped.
func (answer *answer) write(messages []byte) {
	if answer.sinkError != nil {
		return
	}
	answer.sent = true
	if _, err := answer.sink.Write(messages); err != nil {
		answer.sinkError = err
		answer.muted = true
		answer.retired = true
		answer.cancel()
	}
}
