package audit

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultCapacity       = 1024
	defaultAttemptTimeout = 30 * time.Second
	maxDetailBytes        = 4096
)

// Writer writes entries in the background, oldest first; it buffers a bounded number while the platform is unreachable.
type Writer struct {
	platform       spool.Platform
	timers         spool.Timers
	actor          string
	now            func() time.Time
	capacity       int
	attemptTimeout time.Duration
	onLost         func(name string)

	sequence atomic.Uint64
	lost     atomic.Uint64
	mutex    sync.Mutex
	pending  []pendingEntry
	wake     chan struct{}
}

// pendingEntry is an entry that waits to be written.
type pendingEntry struct {
	object spool.Object
	shared bool // another actor may write an equivalent entry of the same name
}

// Option configures a Writer.
type Option func(writer *Writer)

// WithCapacity sets how many entries may be pending; further entries are counted as lost.
func WithCapacity(capacity int) Option {
	return func(writer *Writer) { writer.capacity = capacity }
}

// WithClock sets the wall clock for the time of entries.
func WithClock(now func() time.Time) Option {
	return func(writer *Writer) { writer.now = now }
}

// WithTimers sets the timers for pauses between attempts.
func WithTimers(timers spool.Timers) Option {
	return func(writer *Writer) { writer.timers = timers }
}

// WithLostHandler sets the function that is called with the name of each lost entry; it must not call the writer.
func WithLostHandler(onLost func(name string)) Option {
	return func(writer *Writer) { writer.onLost = onLost }
}

// NewWriter returns a writer whose entries have the given actor, an operator or VM.
func NewWriter(platform spool.Platform, actor string, options ...Option) *Writer {
	writer := &Writer{
		platform:       platform,
		timers:         clock.Real{},
		actor:          actor,
		now:            time.Now,
		capacity:       defaultCapacity,
		attemptTimeout: defaultAttemptTimeout,
		onLost:         func(string) {},
		wake:           make(chan struct{}, 1),
	}
	for _, option := range options {
		option(writer)
	}
	return writer
}

// Record sets time and actor of an entry and queues it without blocking; it returns false if the entry is lost.
func (writer *Writer) Record(entry Entry) bool {
	entry = writer.stamp(entry)
	return writer.enqueue(entry.uniqueName(writer.sequence.Add(1)), entry, false)
}

// RecordOnce records an entry that other actors record too: only the first entry of a name is written. A time that is
// already set is kept.
func (writer *Writer) RecordOnce(name string, entry Entry) bool {
	at := entry.At
	entry = writer.stamp(entry)
	if !at.IsZero() {
		entry.At = at.UTC()
	}
	return writer.enqueue(sanitizeName(name), entry, true)
}

func (writer *Writer) enqueue(name string, entry Entry, shared bool) bool {
	object, err := entry.object(name)
	if err != nil || !writer.appendPending(pendingEntry{object: object, shared: shared}) {
		writer.recordLoss(name)
		return false
	}
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return true
}

func (writer *Writer) appendPending(added pendingEntry) bool {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if len(writer.pending) >= writer.capacity {
		return false
	}
	writer.pending = append(writer.pending, added)
	return true
}

func (writer *Writer) recordLoss(name string) {
	writer.lost.Add(1)
	writer.onLost(name)
}

// Write sets time and actor of an entry and writes it synchronously.
func (writer *Writer) Write(ctx context.Context, entry Entry) error {
	entry = writer.stamp(entry)
	object, err := entry.object(entry.uniqueName(writer.sequence.Add(1)))
	if err != nil {
		return err
	}
	_, err = change.Put(ctx, writer.platform, writer.timers, object)
	return err
}

// Run writes queued entries until ctx ends.
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

// Flush writes all queued entries or returns the error of ctx if it ends first; it must not be called while Run runs.
func (writer *Writer) Flush(ctx context.Context) error {
	for {
		oldest, found := writer.oldest()
		if !found {
			return nil
		}
		attempt, cancel := context.WithTimeout(ctx, writer.attemptTimeout)
		_, err := change.Put(attempt, writer.platform, writer.timers, oldest.object)
		expired := attempt.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && expired {
			continue
		}
		if err != nil && !(oldest.shared && errors.Is(err, spool.ErrConflict)) {
			writer.recordLoss(oldest.object.Name)
		}
		writer.removeOldest()
	}
}

// Lost returns how many entries were not written because the queue was full or the platform refused them.
func (writer *Writer) Lost() uint64 { return writer.lost.Load() }

// Pending returns how many entries wait to be written.
func (writer *Writer) Pending() int {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return len(writer.pending)
}

// stamp sets the time and actor of the entry and truncates its detail.
func (writer *Writer) stamp(entry Entry) Entry {
	entry.At = writer.now().UTC()
	entry.Actor = writer.actor
	if len(entry.Detail) > maxDetailBytes {
		entry.Detail = strings.ToValidUTF8(entry.Detail[:maxDetailBytes], "")
	}
	return entry
}

func (writer *Writer) oldest() (pendingEntry, bool) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if len(writer.pending) == 0 {
		return pendingEntry{}, false
	}
	return writer.pending[0], true
}

func (writer *Writer) removeOldest() {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.pending = writer.pending[1:]
}
