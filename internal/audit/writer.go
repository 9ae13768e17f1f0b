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
	onLost   func(name string)

	number  atomic.Uint64
	lost    atomic.Uint64
	mutex   sync.Mutex
	pending []pending
	wake    chan struct{}
}

// pending is an entry that waits to be written.
type pending struct {
	object spool.Object
	shared bool // others may write an entry of the same name, which is as good
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

// WithLostHandler sets what is told the name of each entry that is lost; it must not call the writer.
func WithLostHandler(onLost func(name string)) Option {
	return func(writer *Writer) { writer.onLost = onLost }
}

// NewWriter returns a writer whose entries name the actor, an operator or VM.
func NewWriter(platform spool.Platform, actor string, options ...Option) *Writer {
	writer := &Writer{
		platform: platform,
		timers:   clock.Real{},
		actor:    actor,
		now:      time.Now,
		capacity: defaultCapacity,
		patience: defaultPatience,
		onLost:   func(string) {},
		wake:     make(chan struct{}, 1),
	}
	for _, option := range options {
		option(writer)
	}
	return writer
}

// Record queues an entry, stamps it with time and actor, and never waits; it tells whether there was room.
func (writer *Writer) Record(entry Entry) bool {
	entry = writer.stamp(entry)
	return writer.queue(entry.uniqueName(writer.number.Add(1)), entry, false)
}

// RecordOnce is Record for an entry that others record too: of those of one name only the first is written, and an
// entry that has a time keeps it.
func (writer *Writer) RecordOnce(name string, entry Entry) bool {
	at := entry.At
	entry = writer.stamp(entry)
	if !at.IsZero() {
		entry.At = at.UTC()
	}
	return writer.queue(nameSafe(name), entry, true)
}

func (writer *Writer) queue(name string, entry Entry, shared bool) bool {
	object, err := entry.object(name)
	if err != nil || !writer.push(pending{object: object, shared: shared}) {
		writer.lose(name)
		return false
	}
	select {
	case writer.wake <- struct{}{}:
	default:
	}
	return true
}

func (writer *Writer) push(added pending) bool {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if len(writer.pending) >= writer.capacity {
		return false
	}
	writer.pending = append(writer.pending, added)
	return true
}

func (writer *Writer) lose(name string) {
	writer.lost.Add(1)
	writer.onLost(name)
}

// Write stamps an entry and writes it before it returns.
func (writer *Writer) Write(ctx context.Context, entry Entry) error {
	entry = writer.stamp(entry)
	object, err := entry.object(entry.uniqueName(writer.number.Add(1)))
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
		first, found := writer.first()
		if !found {
			return nil
		}
		attempt, cancel := context.WithTimeout(ctx, writer.patience)
		_, err := change.Put(attempt, writer.platform, writer.timers, first.object)
		expired := attempt.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && expired {
			continue
		}
		if err != nil && !(first.shared && errors.Is(err, spool.ErrConflict)) {
			writer.lose(first.object.Name)
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

// stamp gives the entry the time and the actor.
func (writer *Writer) stamp(entry Entry) Entry {
	entry.At = writer.now().UTC()
	entry.Actor = writer.actor
	if len(entry.Detail) > maxDetailBytes {
		entry.Detail = strings.ToValidUTF8(entry.Detail[:maxDetailBytes], "")
	}
	return entry
}

func (writer *Writer) first() (pending, bool) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if len(writer.pending) == 0 {
		return pending{}, false
	}
	return writer.pending[0], true
}

func (writer *Writer) drop() {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	writer.pending = writer.pending[1:]
}
