package audit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultCapacity = 1024
	defaultPatience = 30 * time.Second
	maxDetailBytes  = 4096
)

// Writer writes entries in the background, oldest first; it keeps a bounded number while the platform is out of reach.
type Writer struct {
	platform spool.Platform
	timers   spool.Timers
	actor    string
	now      func() time.Time
	capacity int
	patience time.Duration

	number  atomic.Uint64
	lost    atomic.Uint64
	mutex   sync.Mutex
	pending []spool.Object
	wake    chan struct{}
}

// Option configures a Writer.
type Option func(writer *Writer)

// WithCapacity sets how many entries wait at most; further ones are counted as lost.
func WithCapacity(capacity int) Option {
	return func(writer *Writer) { writer.capacity = capacity }
}

// WithClock sets the wall clock that stamps entries.
func WithClock(now func() time.Time) Option {
	return func(writer *Writer) { writer.now = now }
}

// WithTimers sets the timer service that paces attempts.
func WithTimers(timers spool.Timers) Option {
	return func(writer *Writer) { writer.timers = timers }
}

// New returns a writer whose entries name the actor, an operator or VM.
func New(platform spool.Platform, actor string, options ...Option) *Writer {
	writer := &Writer{
		platform: platform,
		timers:   clock.Real{},
		actor:    actor,
		now:      time.Now,
		capacity: defaultCapacity,
		patience: defaultPatience,
		wake:     make(chan struct{}, 1),
	}
	for _, option := range options {
		option(writer)
	}
	return writer
}

// Record queues an entry, stamps it with time and actor, and never waits; it tells whether there was room.
func (writer *Writer) Record(entry Entry) bool {
	object, err := writer.stamp(entry)
	if err != nil {
		writer.lost.Add(1)
		return false
	}
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if len(writer.pending) >= writer.capacity {
		writer.lost.Add(1)
		return false
	}
	writer.pending = append(writer.pending, object)
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return true
}

// Write stamps an entry and writes it before it returns.
func (writer *Writer) Write(ctx context.Context, entry Entry) error {
	object, err := writer.stamp(entry)
	if err != nil {
		return err
	}
	_, err = change.Put(ctx, writer.platform, writer.timers, object)
	return err
}

// Run writes queued entries until the context ends.
func (writer *Writer) Run(ctx context.Context) {
	for {
		_ = writer.Flush(ctx)
		select {
		case <-writer.wake:
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes what is queued and returns the context's error if it ends first; not to be called while Run runs.
func (writer *Writer) Flush(ctx context.Context) error {
	for {
		object, found := writer.first()
		if !found {
			return nil
		}
		attempt, cancel := context.WithTimeout(ctx, writer.patience)
		_, err := change.Put(attempt, writer.platform, writer.timers, object)
		expired := attempt.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && expired {
			continue
		}
		if err != nil {
			writer.lost.Add(1)
		}
		writer.drop()
	}
}

// Lost returns how many entries were never written: no room, or refused by the platform.
func (writer *Writer) Lost() uint64 { return writer.lost.Load() }

// Pending returns how many entries wait.
func (writer *Writer) Pending() int {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return len(writer.pending)
}

func (writer *Writer) stamp(entry Entry) (spool.Object, error) {
	entry.At = writer.now().UTC()
	entry.Actor = writer.actor
	if len(entry.Detail) > maxDetailBytes {
		entry.Detail = entry.Detail[:maxDetailBytes]
	}
	return entry.object(writer.number.Add(1))
}

func (writer *Writer) first() (spool.Object, bool) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if len(writer.pending) == 0 {
		return spool.Object{}, false
	}
	return writer.pending[0], true
}

func (writer *Writer) drop() {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.pending = writer.pending[1:]
}
