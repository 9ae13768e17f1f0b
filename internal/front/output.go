package front

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

const (
	writeBufferSize        = 8 << 10
	deadlineRenewalDivisor = 4 // the deadline is renewed once a quarter of the timeout has passed
)

// output buffers messages to a caller and tracks message boundaries; it implements spool.Sink.
type output struct {
	mutex             sync.Mutex
	socket            net.Conn
	timeout           time.Duration
	buffer            []byte
	messageTracker    messageTracker
	err               error
	deadlineSetAt     time.Time // last renewal of the write deadline
	deadlineShortened atomic.Bool
}

func newOutput(socket net.Conn, timeout time.Duration) *output {
	return &output{socket: socket, timeout: timeout}
}

// Write forwards raw messages; at most writeBufferSize bytes stay buffered until Flush.
func (output *output) Write(messages []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	if output.err != nil {
		return 0, output.err
	}
	output.messageTracker.advance(messages)
	if len(output.buffer)+len(messages) <= writeBufferSize {
		output.buffer = append(output.buffer, messages...)
		return len(messages), nil
	}
	if err := output.flush(); err != nil {
		return 0, err
	}
	return len(messages), output.write(messages)
}

// Send encodes a message into the buffer.
func (output *output) Send(message pgproto3.BackendMessage) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	output.send(message)
}

func (output *output) send(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(output.buffer)
	if err != nil {
		output.err = eris.Wrap(err, "encode a message to the caller")
		return
	}
	output.buffer = encoded
}

// Flush writes the buffered messages to the caller.
func (output *output) Flush() error {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.flush()
}

func (output *output) flush() error {
	if output.err != nil || len(output.buffer) == 0 {
		return output.err
	}
	err := output.write(output.buffer)
	output.buffer = output.buffer[:0]
	return err
}

func (output *output) write(messages []byte) error {
	output.renewDeadline()
	if output.deadlineShortened.Load() {
		_ = output.socket.SetWriteDeadline(time.Now().Add(closeTimeout))
	}
	if _, err := output.socket.Write(messages); err != nil {
		output.err = eris.Wrap(err, "write to the caller")
	}
	return output.err
}

// renewDeadline keeps the write deadline between three quarters of the timeout and the full timeout in the future.
func (output *output) renewDeadline() {
	now := time.Now()
	if now.Sub(output.deadlineSetAt) < output.timeout/deadlineRenewalDivisor {
		return
	}
	output.deadlineSetAt = now
	_ = output.socket.SetWriteDeadline(now.Add(output.timeout))
}

// shortenDeadline limits the write in progress, and each later one, to closeTimeout.
func (output *output) shortenDeadline() {
	output.deadlineShortened.Store(true)
	_ = output.socket.SetWriteDeadline(time.Now().Add(closeTimeout))
}

// atMessageBoundary reports whether the last message was written completely, so that another may follow.
func (output *output) atMessageBoundary() bool {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.messageTracker.atBoundary()
}

// resetErrorSeen reports whether an ErrorResponse was forwarded since the last call.
func (output *output) resetErrorSeen() bool {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	seen := output.messageTracker.errorSeen
	output.messageTracker.errorSeen = false
	return seen
}

// sendFinal writes a last message, unless another is incomplete, and closes the output for further writes.
func (output *output) sendFinal(message pgproto3.BackendMessage) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	if output.err != nil {
		return
	}
	output.deadlineShortened.Store(true)
	if output.messageTracker.atBoundary() {
		output.send(message)
	}
	_ = output.flush()
	output.err = net.ErrClosed
}

// messageTracker parses the message headers in a byte stream to find message boundaries.
type messageTracker struct {
	header       [headerSize]byte
	headerFilled int // bytes received of a header that is split over calls
	remaining    int // bytes of the current message not yet received
	errorSeen    bool
}

func (messageTracker *messageTracker) atBoundary() bool {
	return messageTracker.headerFilled == 0 && messageTracker.remaining == 0
}

func (messageTracker *messageTracker) advance(messages []byte) {
	for len(messages) > 0 {
		if messageTracker.remaining > 0 {
			part := min(messageTracker.remaining, len(messages))
			messageTracker.remaining -= part
			messages = messages[part:]
			continue
		}
		n := copy(messageTracker.header[messageTracker.headerFilled:], messages)
		messageTracker.headerFilled += n
		messages = messages[n:]
		if messageTracker.headerFilled < headerSize {
			return
		}
		messageTracker.headerFilled = 0
		messageTracker.remaining = int(binary.BigEndian.Uint32(messageTracker.header[1:])) - 4
		messageTracker.errorSeen = messageTracker.errorSeen || messageTracker.header[0] == 'E'
	}
}
