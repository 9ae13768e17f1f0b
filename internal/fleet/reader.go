package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/pkg/spool"
)

const (
	readInterval           = time.Second             // between reads by the proxy that reads for its region
	confirmationTTL        = 1800 * time.Millisecond // after which a proxy reads itself: a read interval, its jitter and a heartbeat
	relayedConfirmationTTL = 3 * time.Second         // the same if confirmations pass through two relays, each with its heartbeat
	readTimeout            = 600 * time.Millisecond  // a store 50 times slower than usual answers in 200 ms; two reads detect a silent one
	checkInterval          = 150 * time.Millisecond  // between checks for a due read, jittered; a read and a heartbeat must fit into confirmationTTL
	turnSpacing            = 150 * time.Millisecond  // between reads in a region while no proxy reads for it: about a tenth of confirmationTTL
	pingInterval           = 4 * time.Second         // between cheap calls that test the store; they detect an outage within ten seconds
	pingRetryDelay         = time.Second             // after a first failed ping
	maxFailedCalls         = 2                       // consecutive failed reads and pings after which the store counts as unreachable
	readerSubject          = "reader"                // supervised by one proxy in each region, which reads for it
)

// reader tracks the configuration and the newest version of the store. One proxy in each region reads and watches the store;
// heartbeats announce newer versions to the others. If no read is confirmed for a while, the region's proxies read in turn.
type reader struct {
	proxy     *Proxy
	observer  reachabilityObserver
	mutex     sync.Mutex
	lastRead  spool.Version // newest version read by this proxy
	confirmed spool.Instant // when the store was last read by any proxy
	resumed   spool.Instant // when confirmations last resumed after a gap
	failures  int           // consecutive failed calls
}

func newReader(proxy *Proxy) *reader {
	kind, _ := proxy.adapter.ConfigObject()
	return &reader{proxy: proxy, observer: reachabilityObserver{proxy, kind}}
}

// run reads until the context ends; it first retries until a configuration is in force.
func (reader *reader) run(ctx context.Context) {
	go reader.ping(ctx)
	pause := checkInterval
	for reader.proxy.currentRevision() == 0 && reader.fetch(ctx) != nil {
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return
		}
		pause = min(2*pause, readInterval)
	}
	var last, turn spool.Instant // of the last read, and when the next one is due; turn is zero while other proxies read
	for sleep(ctx, checkInterval/2+rand.N(checkInterval)) {
		now := reader.proxy.timers.Now()
		switch {
		case reader.readsForRegion():
			turn = last.Add(readInterval)
		case now.Sub(reader.lastConfirmed()) <= reader.ttl():
			turn = 0
			continue
		case turn == 0:
			turn = now.Add(rand.N(reader.turnInterval()))
		}
		if now < turn {
			continue
		}
		last, turn = now, now.Add(reader.turnInterval())
		_ = reader.fetch(ctx) // fetch logs the error; the next read is due soon
	}
}

// ttl returns how long a confirmation is valid.
func (reader *reader) ttl() time.Duration {
	if reader.proxy.members.relayed() {
		return relayedConfirmationTTL
	}
	return confirmationTTL
}

// readsForRegion reports whether this proxy reads and watches the store for its region.
func (reader *reader) readsForRegion() bool {
	return reader.proxy.members.supervises(readerSubject, reader.proxy.domainInRegion)
}

// turnInterval returns the time in which each proxy of the region reads once while none reads for it: together they soon
// detect that the store is back, without overloading a store that is down.
func (reader *reader) turnInterval() time.Duration {
	return max(readInterval, time.Duration(reader.proxy.members.liveInRegion())*turnSpacing)
}

func (reader *reader) fetch(ctx context.Context) error {
	began := reader.proxy.timers.Now()
	kind, name := reader.proxy.adapter.ConfigObject()
	bounded, cancel := context.WithTimeout(ctx, reader.timeout())
	defer cancel()
	objects, version, err := reader.proxy.adapter.List(bounded, kind)
	reader.recordCall(err)
	if err != nil {
		event.Log(reader.proxy.logger, event.StoreReadFailed,
			zap.Duration("SinceConfirmed", began.Sub(reader.lastConfirmed())), event.Cause(err))
		return err
	}
	first := reader.proxy.currentRevision() == 0
	if first {
		reader.proxy.evacuations.listIfChanged(ctx, version) // before the configuration, with which requests are served
	}
	newestIsConfig, changed := false, false
	for _, object := range objects {
		if object.Name != name {
			continue
		}
		newestIsConfig = object.Version == version
		reader.proxy.eras.awaitPeerConfig(ctx, object)
		changed = reader.proxy.applyConfig(object)
	}
	if reader.mayAffectServers(version, newestIsConfig) {
		reader.proxy.servers.NotifyVersion(version)
	}
	gap := reader.confirm(began)
	switch {
	case changed:
		reader.proxy.peers.announceConfig()
	case gap:
		reader.proxy.peers.notifyRegion()
	}
	if !first {
		reader.proxy.evacuations.listIfChanged(ctx, version)
	}
	return nil
}

// mayAffectServers reports whether server entries may have changed since the last read; a single change to the configuration
// changed none. newestIsConfig reports that the version is that of the configuration.
func (reader *reader) mayAffectServers(version spool.Version, newestIsConfig bool) bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	single := newestIsConfig && version == reader.lastRead+1
	reader.lastRead = version
	return !single
}

// lastConfirmed returns when the store was last read by any proxy.
func (reader *reader) lastConfirmed() spool.Instant {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.confirmed
}

// confirm records a read by this or another proxy and reports whether it ends a gap, in which the store may have been
// unreachable and entries may have expired.
func (reader *reader) confirm(readAt spool.Instant) (gap bool) {
	ttl := reader.ttl()
	reader.mutex.Lock()
	gap = readAt.Sub(reader.confirmed) > ttl
	if gap {
		reader.resumed = reader.proxy.timers.Now()
	}
	reader.confirmed = max(reader.confirmed, readAt)
	reader.mutex.Unlock()
	if gap {
		reader.proxy.servers.RecordOutage()
	}
	return gap
}

// eraChanged counts a new era of the store as the end of a gap, after which entries have to be registered again.
func (reader *reader) eraChanged() {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.resumed = reader.proxy.timers.Now()
}

// stable reports whether reads have been confirmed for long enough for expired entries to be registered again.
func (reader *reader) stable() bool {
	ttl := reader.ttl()
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	now := reader.proxy.timers.Now()
	return now.Sub(reader.confirmed) < ttl && now.Sub(reader.resumed) > mirror.ExpiryGracePeriod
}

// ping calls the store periodically, so that a proxy that does not read itself knows whether it reaches the store.
func (reader *reader) ping(ctx context.Context) {
	pause := pingInterval/2 + rand.N(pingInterval)
	for sleep(ctx, pause) {
		failures := reader.recordCall(reader.proxy.adapter.Ping(ctx, kindMember, string(reader.proxy.settings.VM)))
		pause = pingInterval/2 + rand.N(pingInterval)
		if failures > 0 && failures < maxFailedCalls {
			pause = pingRetryDelay/2 + rand.N(pingRetryDelay)
		}
	}
}

// recordCall records the result of a call, reports when the store becomes unreachable or reachable, and returns the number
// of consecutive failures. A successful call shows that the store is reached, whichever calls failed before: a proxy that counts
// as not reaching it watches nothing and would not find out otherwise.
func (reader *reader) recordCall(err error) int {
	failed := err != nil && !errors.Is(err, spool.ErrNotFound)
	reader.mutex.Lock()
	before := reader.failures
	reader.failures++
	if !failed {
		reader.failures = 0
	}
	after := reader.failures
	reader.mutex.Unlock()
	if after == maxFailedCalls {
		reader.observer.StoreReachable(false, err)
	}
	if after == 0 && (before >= maxFailedCalls || !reader.proxy.reachesStore()) {
		reader.observer.StoreReachable(true, nil)
	}
	return after
}
