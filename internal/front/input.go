package front

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

const (
	readBufferSize = 4 << 10
	headerSize     = 5
	keptBodySize   = 64 << 10
	maxStartupSize = 10_000
	maxLoginSize   = 4 << 10
	maxStartupPart = 8 // SSL and GSS requests before the startup message
)

// input reads a caller's messages.
type input struct {
	*bufio.Reader
	limit   int // bytes of a message
	message []byte
}

func newInput(reader io.Reader) *input {
	return &input{Reader: bufio.NewReaderSize(reader, readBufferSize), limit: maxLoginSize}
}

// startup reads a message without a kind; its body begins with the request code.
func (input *input) startup() ([]byte, error) {
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

// next reads a whole message; it stays valid until the following call.
func (input *input) next() ([]byte, error) {
	header, err := input.Peek(headerSize)
	if err != nil {
		return nil, err
	}
	length := int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < 4 {
		return nil, notRun(spool.CodeProtocol, "message %q has an invalid length", header[0])
	}
	if length+1 > input.limit {
		return nil, notRun(codeTooLarge, "a message of %d bytes exceeds the limit of %d bytes", length+1, input.limit)
	}
	return input.body(length + 1)
}

// body reads a message of known size; memory grows with what has arrived.
func (input *input) body(size int) ([]byte, error) {
	if cap(input.message) > keptBodySize {
		input.message = nil
	}
	message := input.message[:0]
	for len(message) < size {
		part := min(size-len(message), keptBodySize)
		message = slices.Grow(message, part)[:len(message)+part]
		if _, err := io.ReadFull(input, message[len(message)-part:]); err != nil {
			return nil, err
		}
	}
	input.message = message
	return message, nil
}
