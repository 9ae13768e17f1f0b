package leader

import (
	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

const maxBuffered = 64 << 10

var errFenced = eris.New("the lease ended before the answer could be forwarded")

// fencedSink buffers an answer up to maxBuffered bytes and forwards bytes only while the lease allows it.
type fencedSink struct {
	sink     spool.Sink
	allows   func() bool
	buffered []byte
	written  bool // bytes were written to the sink
}

// Write buffers or forwards messages; it returns an error once the lease does not allow them to be forwarded.
func (fencedSink *fencedSink) Write(messages []byte) (int, error) {
	if !fencedSink.written && len(fencedSink.buffered)+len(messages) <= maxBuffered {
		fencedSink.buffered = append(fencedSink.buffered, messages...)
		return len(messages), nil
	}
	if err := fencedSink.flush(); err != nil {
		return 0, err
	}
	return len(messages), fencedSink.forward(messages)
}

func (fencedSink *fencedSink) flush() error {
	if len(fencedSink.buffered) == 0 {
		return nil
	}
	err := fencedSink.forward(fencedSink.buffered)
	fencedSink.buffered = fencedSink.buffered[:0]
	return err
}

func (fencedSink *fencedSink) forward(messages []byte) error {
	if !fencedSink.allows() {
		return errFenced
	}
	fencedSink.written = true
	_, err := fencedSink.sink.Write(messages)
	return err
}

// WriteTracker forwards bytes to a sink and records whether there were any.
type WriteTracker struct {
	spool.Sink
	Written bool
}

// Write forwards messages.
func (writeTracker *WriteTracker) Write(messages []byte) (int, error) {
	writeTracker.Written = true
	return writeTracker.Sink.Write(messages)
}
