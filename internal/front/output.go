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
	writeBufferSize = 8 << 10
	deadlineParts   = 4 // the deadline is renewed once a part of the timeout has passed
)

// output buffers messages to a caller and knows where messages begin; it is a spool.Sink.
type output struct {
	mutex   sync.Mutex
	socket  net.Conn
	timeout time.Duration
	buffer  []byte
	track   boundary
	err     error
	renewed time.Time // when the write deadline was set
	hurried atomic.Bool
}

func newOutput(socket net.Conn, timeout time.Duration) *output {
	return &output{socket: socket, timeout: timeout}
}

// Write passes raw messages on, holding back no more than a small buffer until Flush.
func (output *output) Write(messages []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	if output.err != nil {
		return 0, output.err
	}
	output.track.advance(messages)
	if len(output.buffer)+len(messages) <= writeBufferSize {
		output.buffer = append(output.buffer, messages...)
		return len(messages), nil
	}
	if err := output.flush(); err != nil {
		return 0, err
	}
	return len(messages), output.write(messages)
}

// Send queues one message.
func (output *output) Send(message pgproto3.BackendMessage) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	output.send(message)
}

func (output *output) send(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(output.buffer)
	if err != nil {
		output.err = eris.Wrap(err, "encode a message")
		return
	}
	output.buffer = encoded
}

// Flush writes what is buffered.
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
	if output.hurried.Load() {
		_ = output.socket.SetWriteDeadline(time.Now().Add(farewellTimeout))
	}
	if _, err := output.socket.Write(messages); err != nil {
		output.err = eris.Wrap(err, "write to the caller")
	}
	return output.err
}

// renewDeadline keeps the write deadline between the timeout and three quarters of it away.
func (output *output) renewDeadline() {
	now := time.Now()
	if now.Sub(output.renewed) < output.timeout/deadlineParts {
		return
	}
	output.renewed = now
	_ = output.socket.SetWriteDeadline(now.Add(output.timeout))
}

// hurry bounds the write that is under way, and those that follow.
func (output *output) hurry() {
	output.hurried.Store(true)
	_ = output.socket.SetWriteDeadline(time.Now().Add(farewellTimeout))
}

// between tells that whole messages were written, so that another may follow.
func (output *output) between() bool {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.track.between()
}

// sawError tells that an ErrorResponse was passed on since the last call.
func (output *output) sawError() bool {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	seen := output.track.sawError
	output.track.sawError = false
	return seen
}

// farewell writes a last message, if no other is half written, and shuts the output.
func (output *output) farewell(message pgproto3.BackendMessage) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	if output.err != nil {
		return
	}
	output.hurried.Store(true)
	if output.track.between() {
		output.send(message)
	}
	_ = output.flush()
	output.err = net.ErrClosed
}

// boundary follows the headers in a stream of messages.
type boundary struct {
	header   [headerSize]byte
	filled   int // bytes of a header that is split over calls
	rest     int // bytes of the current message that are still to come
	sawError bool
}

func (boundary *boundary) between() bool {
	return boundary.filled == 0 && boundary.rest == 0
}

func (boundary *boundary) advance(messages []byte) {
	for len(messages) > 0 {
		if boundary.rest > 0 {
			part := min(boundary.rest, len(messages))
			boundary.rest -= part
			messages = messages[part:]
			continue
		}
		n := copy(boundary.header[boundary.filled:], messages)
		boundary.filled += n
		messages = messages[n:]
		if boundary.filled < headerSize {
			return
		}
		boundary.filled = 0
		boundary.rest = int(binary.BigEndian.Uint32(boundary.header[1:])) - 4
		boundary.sawError = boundary.sawError || boundary.header[0] == 'E'
	}
}
