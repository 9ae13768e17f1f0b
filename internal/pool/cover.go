package pool

import (
	"context"
	"time"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// coverPatience is how long a read waits for a dated position before it goes to the primary: a round trip between
	// regions, the question to the primary there, and half as much again.
	coverPatience = 100 * time.Millisecond
	// coverAhead is how long before the newest dated position gets too old the next one is asked for: twice the patience.
	coverAhead = 2 * coverPatience
)

// WatermarkSource gets dated positions of groups.
type WatermarkSource interface {
	// Refresh gets a newer position of a group and notes it in the pool; it returns when that is done or has failed.
	Refresh(ctx context.Context, group spool.Group)
}

// Refresh asks for nothing.
func (nobody) Refresh(context.Context, spool.Group) {}

// ReadPosition returns a position at or above every commit acknowledged before an instant, and asks for one if none is known or
// the newest is about to get too old.
func (pool *Pool) ReadPosition(ctx context.Context, name spool.Group, since spool.Instant) (spool.LogPosition, bool) {
	pool.mutex.Lock()
	group := pool.group(name)
	position, known := group.watermarks.Covering(since)
	var refreshed chan struct{}
	if !known || group.watermarks.Newest().SentAt.Sub(since) < coverAhead {
		refreshed = pool.refresh(group)
	}
	pool.mutex.Unlock()
	if known {
		return position, true
	}
	timer := time.NewTimer(coverPatience)
	defer timer.Stop()
	select {
	case <-refreshed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return pool.KnownReadPosition(name, since)
}

// refresh begins to ask for a newer position of a group, once at a time; the caller holds the mutex.
func (pool *Pool) refresh(group *group) chan struct{} {
	if group.refreshed != nil {
		return group.refreshed
	}
	refreshed := make(chan struct{})
	group.refreshed = refreshed
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
		defer cancel()
		pool.marker.Refresh(ctx, group.name)
		pool.mutex.Lock()
		group.refreshed = nil
		pool.mutex.Unlock()
		close(refreshed)
	}()
	return refreshed
}

// LatestPosition returns the newest dated position of a group's primary, or the zero Mark.
func (pool *Pool) LatestPosition(name spool.Group) fresh.Watermark {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).watermarks.Newest()
}

// RecordWatermark notes a dated position that another proxy told.
func (pool *Pool) RecordWatermark(name spool.Group, watermark fresh.Watermark) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.group(name).watermarks.Add(watermark)
}

// Primary returns the server believed to be a group's primary and its failure domain, or none.
func (pool *Pool) Primary(name spool.Group) (spool.Server, spool.Domain) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	primary := pool.group(name).primaryServer()
	if primary == nil {
		return "", ""
	}
	return primary.spec.Server, primary.spec.Domain
}
