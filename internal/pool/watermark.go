package pool

import (
	"context"
	"time"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// refreshTimeout is how long a read waits for a watermark before it goes to the primary: a round trip between regions,
	// the request to the primary there, and a margin of half of both.
	refreshTimeout = 100 * time.Millisecond
	// refreshAhead is how early a refresh starts, before the newest watermark becomes too old.
	refreshAhead = 2 * refreshTimeout
)

// WatermarkSource fetches the watermarks of groups: log positions of the primary with the time of the request.
type WatermarkSource interface {
	// Refresh fetches a newer watermark of a group and records it in the pool; it returns on success or failure.
	Refresh(ctx context.Context, group spool.Group)
}

// Refresh does nothing.
func (disabled) Refresh(context.Context, spool.Group) {}

// ReadPosition returns a position at or above every commit acknowledged before an instant. It fetches a watermark and waits
// for it if none is recent enough, and fetches one in the background if the newest is about to become too old.
func (pool *Pool) ReadPosition(ctx context.Context, name spool.Group, since spool.Instant) (spool.LogPosition, bool) {
	position, known, refreshDone := pool.coveringPosition(name, since)
	if known {
		return position, true
	}
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-refreshDone:
	case <-timer.C:
	case <-ctx.Done():
	}
	return pool.KnownReadPosition(name, since)
}

// coveringPosition returns a known position at or above every commit acknowledged before an instant. It starts a refresh if there
// is none, or if the newest watermark is about to become too old; done is closed when that refresh ends.
func (pool *Pool) coveringPosition(name spool.Group, since spool.Instant) (position spool.LogPosition, known bool, done chan struct{}) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	position, known = group.watermarks.Covering(since)
	if !known || group.watermarks.Newest().SentAt.Sub(since) < refreshAhead {
		done = pool.startRefresh(group)
	}
	return position, known, done
}

// startRefresh fetches a newer watermark of a group in the background, one at a time; the caller holds the mutex.
func (pool *Pool) startRefresh(group *group) chan struct{} {
	if group.refreshDone != nil {
		return group.refreshDone
	}
	done := make(chan struct{})
	group.refreshDone = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
		defer cancel()
		pool.watermarkSource.Refresh(ctx, group.name)
		pool.mutex.Lock()
		group.refreshDone = nil
		pool.mutex.Unlock()
		close(done)
	}()
	return done
}

// NewestWatermark returns the newest watermark of a group, or the zero value.
func (pool *Pool) NewestWatermark(name spool.Group) fresh.Watermark {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).watermarks.Newest()
}

// RecordWatermark records a watermark that another proxy reported.
func (pool *Pool) RecordWatermark(name spool.Group, watermark fresh.Watermark) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.group(name).watermarks.Add(watermark)
}

// Primary returns the presumed primary of a group and its failure domain, or empty names.
func (pool *Pool) Primary(name spool.Group) (spool.Server, spool.Domain) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	primary := pool.group(name).primaryServer()
	if primary == nil {
		return "", ""
	}
	return primary.spec.Server, primary.spec.Domain
}
