package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	outputBuffer = 256 << 10              // bytes of lines that wait to be written
	outputPause  = 100 * time.Millisecond // between writes, so that many lines cost one
)

// AsyncWriter writes lines from a goroutine of its own; lines that find no room are counted and dropped, never waited for.
type AsyncWriter struct {
	writer  io.Writer
	mutex   sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	done    chan struct{}
	ended   chan struct{}
}

// NewAsyncWriter returns an output that is written until Close.
func NewAsyncWriter(writer io.Writer) *AsyncWriter {
	output := &AsyncWriter{writer: writer, done: make(chan struct{}), ended: make(chan struct{})}
	go output.run()
	return output
}

// Write takes a line; it never fails and never waits for the writer.
func (output *AsyncWriter) Write(line []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	if len(output.pending)+len(line) > outputBuffer {
		output.dropped++
		return len(line), nil
	}
	output.pending = append(output.pending, line...)
	return len(line), nil
}

// Sync does nothing: lines are written soon.
func (*AsyncWriter) Sync() error { return nil }

// Close writes what is pending and ends the output.
func (output *AsyncWriter) Close() {
	close(output.done)
	<-output.ended
}

func (output *AsyncWriter) run() {
	defer close(output.ended)
	ticker := time.NewTicker(outputPause)
	defer ticker.Stop()
	for {
		select {
		case <-output.done:
			output.flush()
			return
		case <-ticker.C:
			output.flush()
		}
	}
}

func (output *AsyncWriter) flush() {
	output.mutex.Lock()
	lines := output.pending
	dropped := output.dropped
	output.pending, output.dropped = output.spare[:0], 0
	output.mutex.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"Message\":\"log lines dropped\",\"Dropped\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = output.writer.Write(lines) // nothing is left to tell it to
	}
	output.spare = lines
}
