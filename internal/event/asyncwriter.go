package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxPendingBytes = 256 << 10              // limit of the bytes that wait to be written
	flushInterval   = 100 * time.Millisecond // batches the lines of an interval into one write
)

// AsyncWriter writes log lines from a background goroutine; when its buffer is full, lines are dropped and counted.
type AsyncWriter struct {
	writer  io.Writer
	mutex   sync.Mutex
	pending []byte
	spare   []byte // empty buffer that replaces pending at the next flush
	dropped int
	stop    chan struct{}
	stopped chan struct{}
}

// NewAsyncWriter starts an AsyncWriter that writes to writer until Close.
func NewAsyncWriter(writer io.Writer) *AsyncWriter {
	asyncWriter := &AsyncWriter{writer: writer, stop: make(chan struct{}), stopped: make(chan struct{})}
	go asyncWriter.run()
	return asyncWriter
}

// Write buffers a line; it never fails and never blocks on the underlying writer.
func (asyncWriter *AsyncWriter) Write(line []byte) (int, error) {
	asyncWriter.mutex.Lock()
	defer asyncWriter.mutex.Unlock()
	if len(asyncWriter.pending)+len(line) > maxPendingBytes {
		asyncWriter.dropped++
		return len(line), nil
	}
	asyncWriter.pending = append(asyncWriter.pending, line...)
	return len(line), nil
}

// Sync does nothing, since pending lines are written at the end of the flush interval.
func (*AsyncWriter) Sync() error { return nil }

// Close writes pending lines and stops the goroutine.
func (asyncWriter *AsyncWriter) Close() {
	close(asyncWriter.stop)
	<-asyncWriter.stopped
}

func (asyncWriter *AsyncWriter) run() {
	defer close(asyncWriter.stopped)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-asyncWriter.stop:
			asyncWriter.flush()
			return
		case <-ticker.C:
			asyncWriter.flush()
		}
	}
}

func (asyncWriter *AsyncWriter) flush() {
	asyncWriter.mutex.Lock()
	lines := asyncWriter.pending
	dropped := asyncWriter.dropped
	asyncWriter.pending, asyncWriter.dropped = asyncWriter.spare[:0], 0
	asyncWriter.mutex.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"Message\":\"log lines dropped\",\"Dropped\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = asyncWriter.writer.Write(lines) // there is no other place to report the error
	}
	asyncWriter.spare = lines
}
