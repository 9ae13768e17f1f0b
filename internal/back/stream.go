package back

import (
	"github.com/rotisserie/eris"
)

// readAtLeast reads until size bytes of the message at start are in the buffer.
func (forwarder *responseForwarder) readAtLeast(size int) error {
	for forwarder.end-forwarder.start < size {
		if err := forwarder.readMore(); err != nil {
			return err
		}
	}
	return nil
}

// readMore compacts the buffer and reads once; it first flushes pending messages unless the cycle may still be retried.
func (forwarder *responseForwarder) readMore() error {
	if forwarder.resultStarted || forwarder.streaming {
		if err := forwarder.flush(); err != nil {
			return err
		}
		forwarder.streaming = true
	}
	copy(forwarder.buffer, forwarder.buffer[forwarder.start:forwarder.end])
	forwarder.end -= forwarder.start
	forwarder.start = 0
	forwarder.flushStart = 0
	n, err := forwarder.socket.Read(forwarder.buffer[forwarder.end:])
	forwarder.end += n
	if n > 0 {
		return nil
	}
	return eris.Wrap(err, "read from the server")
}

// forward passes the message at start on unchanged.
func (forwarder *responseForwarder) forward(size int) error {
	if size > len(forwarder.buffer) {
		return forwarder.forwardLarge(size)
	}
	if err := forwarder.readAtLeast(size); err != nil {
		return err
	}
	if forwarder.discarding {
		return forwarder.discard(size)
	}
	if forwarder.streaming {
		forwarder.start += size
		return nil
	}
	forwarder.enqueue(forwarder.buffer[forwarder.start : forwarder.start+size])
	forwarder.start += size
	forwarder.flushStart = forwarder.start
	if len(forwarder.pending) < bufferSize {
		return nil
	}
	forwarder.resultStarted = true
	return forwarder.flush()
}

// forwardLarge passes on a message that exceeds the buffer, part by part.
func (forwarder *responseForwarder) forwardLarge(size int) error {
	if forwarder.discarding {
		return forwarder.discard(size)
	}
	forwarder.resultStarted = true
	for size > 0 {
		if forwarder.start == forwarder.end {
			if err := forwarder.readMore(); err != nil {
				return err
			}
		}
		part := min(size, forwarder.end-forwarder.start)
		if !forwarder.streaming {
			if err := forwarder.flush(); err != nil {
				return err
			}
			forwarder.streaming = true
		}
		forwarder.start += part
		size -= part
	}
	return nil
}

// discard consumes the message at start without forwarding it.
func (forwarder *responseForwarder) discard(size int) error {
	if forwarder.streaming {
		if err := forwarder.flush(); err != nil {
			return err
		}
	}
	for size > 0 {
		part := min(size, forwarder.end-forwarder.start)
		forwarder.start += part
		forwarder.flushStart = forwarder.start
		size -= part
		if size == 0 {
			return nil
		}
		if err := forwarder.readMore(); err != nil {
			return err
		}
	}
	return nil
}

// enqueue appends a copy of a message to pending, or writes it to the sink directly when streaming.
func (forwarder *responseForwarder) enqueue(message []byte) {
	if forwarder.discarding {
		return
	}
	if forwarder.streaming {
		_ = forwarder.flush()
		forwarder.writeSink(message)
		return
	}
	forwarder.pending = append(forwarder.pending, message...)
}

// flush writes everything before start that is not yet written to the sink.
func (forwarder *responseForwarder) flush() error {
	if len(forwarder.pending) > 0 {
		forwarder.writeSink(forwarder.pending)
		forwarder.pending = forwarder.pending[:0]
	}
	if forwarder.streaming && forwarder.flushStart < forwarder.start {
		forwarder.writeSink(forwarder.buffer[forwarder.flushStart:forwarder.start])
	}
	forwarder.flushStart = forwarder.start
	return nil
}

// writeSink writes messages to the sink; after its first error the cycle is canceled and the rest is discarded.
func (forwarder *responseForwarder) writeSink(messages []byte) {
	if forwarder.sinkError != nil {
		return
	}
	forwarder.sinkWritten = true
	if _, err := forwarder.sink.Write(messages); err != nil {
		forwarder.sinkError = err
		forwarder.discarding = true
		forwarder.closeWhenIdle = true
		forwarder.cancel()
	}
}
