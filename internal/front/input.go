package front

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

const (
	readBufferSize      = 4 << 10
	headerSize          = 5        // bytes: message type and length
	retainedMessageSize = 64 << 10 // bytes; larger buffers are released, and larger messages are read in parts
	maxStartupSize      = 10_000
	maxLoginMessageSize = 4 << 10
	maxStartupRequests  = 8 // encryption requests and startup message together
)

// input reads messages from a caller.
type input struct {
	*bufio.Reader
	maxSize int // of a message, in bytes
	message []byte
}

func newInput(reader io.Reader) *input {
	return &input{Reader: bufio.NewReaderSize(reader, readBufferSize), maxSize: maxLoginMessageSize}
}

// readStartup reads the body of a message without a type byte; it begins with the request code.
func (input *input) readStartup() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(input, header[:]); err != nil {
		return nil, err
	}
	size := int(int32(binary.BigEndian.Uint32(header[:]))) - len(header)
	if size < 4 || size > maxStartupSize {
		return nil, notRun(spool.CodeProtocol, "invalid length of the startup message")
	}
	body := make([]byte, size)
	_, err := io.ReadFull(input, body)
	return body, err
}

// next reads a complete message; it is valid until the following call.
func (input *input) next() ([]byte, error) {
	header, err := input.Peek(headerSize)
	if err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 {
		return nil, notRun(spool.CodeProtocol, "message %q has an invalid length", header[0])
	}
	if length+1 > input.maxSize {
		return nil, notRun(codeTooLarge, "a message of %d bytes exceeds the limit of %d bytes", length+1, input.maxSize)
	}
	return input.readMessage(length + 1)
}

// readMessage reads a message of the given size; the buffer grows as bytes arrive, not with the announced size.
func (input *input) readMessage(size int) ([]byte, error) {
	if cap(input.message) > retainedMessageSize {
		input.message = nil
	}
	message := input.message[:0]
	for len(message) < size {
		part := min(size-len(message), retainedMessageSize)
		message = slices.Grow(message, part)[:len(message)+part]
		if _, err := io.ReadFull(input, message[len(message)-part:]); err != nil {
			return nil, err
		}
	}
	input.message = message
	return message, nil
}
