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
	readPeriod  = time.Second             // between reads of the proxy that reads for its region
	confirmLife = 1800 * time.Millisecond // a confirmation that is older makes a proxy read itself: a read, its jitter and a heartbeat
	relayedLife = 3 * time.Second         // the same where two relays pass confirmations on, each with its heartbeat
	readTimeout = 600 * time.Millisecond  // a store 50 times slower than usual answers in 200 ms; a silent one is noticed by two reads
	lookPeriod  = 150 * time.Millisecond  // between looks if a read is due, so that reads and heartbeats fit into confirmLife; jittered
	turnSpacing = 150 * time.Millisecond  // between reads of a region while nobody reads for it: about a tenth of confirmLife
	pingPeriod  = 4 * time.Second         // between cheap calls that show if a proxy reaches the store: lost ones show within ten seconds
	retryPing   = time.Second             // after a first failed one
	lostPings   = 2                       // failed ones in a row after which the store counts as out of reach
	readerDuty  = "reader"                // of one proxy in each region
)

// reader keeps the configuration and the newest version of the store known. One proxy reads and watches for each region;
// heartbeats tell the others of what is newer. Where no read is heard of for a while, the region's proxies read in turn.
type reader struct {
	proxy     *Proxy
	reach     reach
	mutex     sync.Mutex
	read      spool.Version // newest version that this proxy read itself
	confirmed spool.Instant // when the store was last read, here or elsewhere
	resumed   spool.Instant // when reads were last known again after a gap
	failures  int           // of calls in a row
}

func newReader(proxy *Proxy) *reader {
	kind, _ := proxy.adapter.ConfigObject()
	return &reader{proxy: proxy, reach: reach{proxy, kind}}
}

// run reads until the context ends, first of all the configuration.
func (reader *reader) run(ctx context.Context) {
	go reader.ping(ctx)
	pause := lookPeriod
	for reader.proxy.currentRevision() == 0 && reader.fetch(ctx) != nil {
		if !sleep(ctx, pause/2+rand.N(pause)) {
			return
		}
		pause = min(2*pause, readPeriod)
	}
	var last, turn spool.Instant // of the last read, and when this proxy's turn comes; zero while others read
	for sleep(ctx, lookPeriod/2+rand.N(lookPeriod)) {
		now := reader.proxy.timers.Now()
		switch {
		case reader.leads():
			turn = last.Add(readPeriod)
		case now.Sub(reader.lastConfirmed()) <= reader.life():
			turn = 0
			continue
		case turn == 0:
			turn = now.Add(rand.N(reader.round()))
		}
		if now < turn {
			continue
		}
		last, turn = now, now.Add(reader.round())
		_ = reader.fetch(ctx) // logged there; the next read is due soon
	}
}

// life returns how long a confirmation is new.
func (reader *reader) life() time.Duration {
	if reader.proxy.members.relayed() {
		return relayedLife
	}
	return confirmLife
}

// leads tells if this proxy reads and watches the store for its region.
func (reader *reader) leads() bool {
	return reader.proxy.members.supervises(readerDuty, reader.proxy.near)
}

// round returns the time in which each proxy of the region reads once while none reads for it: together they see soon that
// the store is back, and do not flood a store that is down.
func (reader *reader) round() time.Duration {
	return max(readPeriod, time.Duration(reader.proxy.members.nearby())*turnSpacing)
}

func (reader *reader) fetch(ctx context.Context) error {
	began := reader.proxy.timers.Now()
	kind, name := reader.proxy.adapter.ConfigObject()
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	objects, version, err := reader.proxy.adapter.List(bounded, kind)
	reader.called(err)
	if err != nil {
		event.Log(reader.proxy.logger, event.StoreReadFailed,
			zap.Duration("SinceConfirmed", began.Sub(reader.lastConfirmed())), event.Cause(err))
		return err
	}
	byConfig, news := false, false
	for _, object := range objects {
		if object.Name != name {
			continue
		}
		byConfig = object.Version == version
		news = reader.proxy.applyConfig(object)
	}
	if reader.concerns(version, byConfig) {
		reader.proxy.servers.NotifyVersion(version)
	}
	if reader.confirm(began) || news {
		reader.proxy.peers.tellRegion()
	}
	return nil
}

// concerns tells if a version may concern backend servers: a single change that the configuration made does not.
func (reader *reader) concerns(version spool.Version, byConfig bool) bool {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	single := byConfig && version == reader.read+1
	reader.read = version
	return !single
}

// lastConfirmed returns when the store was last read, here or elsewhere.
func (reader *reader) lastConfirmed() spool.Instant {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.confirmed
}

// confirm notes a read of this or another proxy and tells if it ends a gap, in which the store may have been away and
// entries may have lapsed.
func (reader *reader) confirm(confirmed spool.Instant) (gap bool) {
	life := reader.life()
	reader.mutex.Lock()
	gap = confirmed.Sub(reader.confirmed) > life
	if gap {
		reader.resumed = reader.proxy.timers.Now()
	}
	reader.confirmed = max(reader.confirmed, confirmed)
	reader.mutex.Unlock()
	if gap {
		reader.proxy.servers.RecordOutage()
	}
	return gap
}

// steady tells if reads of the store have been known for long enough for lapsed entries to be back.
func (reader *reader) steady() bool {
	life := reader.life()
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	now := reader.proxy.timers.Now()
	return now.Sub(reader.confirmed) < life && now.Sub(reader.resumed) > mirror.ExpiryGracePeriod
}

// ping calls the store from time to time, so that a proxy that others read for knows if it reaches the store itself.
func (reader *reader) ping(ctx context.Context) {
	pause := pingPeriod/2 + rand.N(pingPeriod)
	for sleep(ctx, pause) {
		failures := reader.called(reader.proxy.adapter.Ping(ctx, kindMember, string(reader.proxy.settings.VM)))
		pause = pingPeriod/2 + rand.N(pingPeriod)
		if failures > 0 && failures < lostPings {
			pause = retryPing/2 + rand.N(retryPing)
		}
	}
}

// called notes the outcome of a call, tells when the store is lost or back, and returns how many failed in a row.
func (reader *reader) called(err error) int {
	lost := err != nil && !errors.Is(err, spool.ErrNotFound)
	reader.mutex.Lock()
	before := reader.failures
	reader.failures++
	if !lost {
		reader.failures = 0
	}
	after := reader.failures
	reader.mutex.Unlock()
	if after == lostPings {
		reader.reach.StoreReachable(false, err)
	}
	if after == 0 && before >= lostPings {
		reader.reach.StoreReachable(true, nil)
	}
	return after
}
