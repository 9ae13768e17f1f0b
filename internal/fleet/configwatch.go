package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/pkg/spool"
)

const (
	configWatchPause = time.Second // after a watch that failed; reads go on meanwhile
)

// watchConfig watches the configuration while this proxy reads for its region, so that a change does not wait for the next
// read. Watches may return nothing; the reads reveal what they miss.
func (reader *reader) watchConfig(ctx context.Context) {
	kind, name := reader.proxy.adapter.ConfigObject()
	var seen spool.Version
	for sleep(ctx, checkInterval/2+rand.N(checkInterval)) {
		after := max(seen, reader.lastReadVersion())
		if after == 0 || !reader.readsForRegion() {
			continue
		}
		changes, version, err := reader.proxy.adapter.Watch(ctx, kind, after, mirror.WatchTimeout)
		if err != nil {
			seen = 0
			reader.logWatchFailure(ctx, err)
			sleep(ctx, configWatchPause/2+rand.N(configWatchPause))
			continue
		}
		seen = max(after, version)
		for _, change := range changes {
			if change.Name == name && !change.Deleted && reader.proxy.applyConfig(change.Object) {
				reader.proxy.peers.announceConfig()
			}
		}
	}
}

// logWatchFailure logs an error of a watch, unless the context ended or the store has only discarded the history since the version.
func (reader *reader) logWatchFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, spool.ErrCompacted) {
		return
	}
	event.Log(reader.proxy.logger, event.StoreReadFailed,
		zap.Duration("SinceConfirmed", reader.proxy.timers.Now().Sub(reader.lastConfirmed())), event.Cause(err))
}

// lastReadVersion returns the newest version of the store that this proxy read.
func (reader *reader) lastReadVersion() spool.Version {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.lastRead
}

// unknownConfigBytes is assumed of a configuration before the first one is known: 5,000 routes.
const unknownConfigBytes = 1e6

// timeout bounds a read of the configuration. Beyond readTimeout it allows twice the time that the link needs for the body.
func (reader *reader) timeout() time.Duration {
	settings := &reader.proxy.settings
	size := float64(unknownConfigBytes)
	if object, known := reader.proxy.configCopy(); known {
		size = float64(len(object.Body))
	}
	if settings.LinkBandwidth <= 0 {
		return readTimeout
	}
	return readTimeout + time.Duration(2*size/settings.LinkBandwidth*float64(time.Second))
}
