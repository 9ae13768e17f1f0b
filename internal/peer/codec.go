package peer

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	bulkBufferBytes    = 32 << 10 // for bulk data
	controlBufferBytes = 4 << 10  // a control message has a few hundred bytes, and a proxy has one such buffer for each other proxy
)

// Message is a pointer to a generated protobuf message.
type Message[T any] interface {
	*T
	proto.Message
}

// Reader reads length-delimited messages of one type.
type Reader[T any, M Message[T]] struct {
	buffered *bufio.Reader
}

// NewReader returns a reader with a large buffer, for streams of bulk data.
func NewReader[T any, M Message[T]](stream io.Reader) *Reader[T, M] {
	return newReader[T, M](stream, bulkBufferBytes)
}

// NewControlReader returns a reader with a small buffer, for control messages.
func NewControlReader[T any, M Message[T]](stream io.Reader) *Reader[T, M] {
	return newReader[T, M](stream, controlBufferBytes)
}

func newReader[T any, M Message[T]](stream io.Reader, size int) *Reader[T, M] {
	return &Reader[T, M]{buffered: bufio.NewReaderSize(stream, size)}
}

// Remaining returns a reader of the bytes after the last message.
func (reader *Reader[T, M]) Remaining() io.Reader { return reader.buffered }

// Read reads the next message.
func (reader *Reader[T, M]) Read() (M, error) {
	message := M(new(T))
	options := protodelim.UnmarshalOptions{MaxSize: maxEnvelopeBytes}
	err := options.UnmarshalFrom(reader.buffered, message)
	return message, err
}

// Writer writes length-delimited messages of one type.
type Writer[T any, M Message[T]] struct {
	stream io.Writer
	buffer []byte
}

// NewWriter returns a writer of messages.
func NewWriter[T any, M Message[T]](stream io.Writer) *Writer[T, M] {
	return &Writer[T, M]{stream: stream}
}

// Write writes a message in a single write and returns its size in bytes.
func (writer *Writer[T, M]) Write(message M) (int, error) {
	buffer := sliceWriter{data: writer.buffer[:0]}
	if _, err := protodelim.MarshalTo(&buffer, message); err != nil {
		return 0, err
	}
	writer.buffer = buffer.data
	return writer.stream.Write(buffer.data)
}

type sliceWriter struct{ data []byte }

// Write appends to the slice.
func (sliceWriter *sliceWriter) Write(data []byte) (int, error) {
	sliceWriter.data = append(sliceWriter.data, data...)
	return len(data), nil
}
