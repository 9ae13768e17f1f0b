package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	readPeriod  = time.Second             // between reads of the proxy that reads for its region
	confirmLife = 1800 * time.Millisecond // a confirmation that is older makes a proxy read itself: two reads and a heartbeat
	readJitter  = 400 * time.Millisecond  // so that proxies without a confirmation do not read in step
	readerDuty  = "reader"                // of one proxy in each region
)

// reader keeps the newest version of the store known, since a watch may hear nothing for seconds. One proxy reads for each
// region; heartbeats carry what it saw, and a proxy that hears of no read for a while reads itself.
type reader struct {
	proxy     *Proxy
	mutex     sync.Mutex
	version   spool.Version
	confirmed spool.Instant // when the store was last read, here or elsewhere
}

func newReader(proxy *Proxy) *reader { return &reader{proxy: proxy} }

// run reads until the context ends.
func (reader *reader) run(ctx context.Context) {
	for sleep(ctx, readPeriod-readJitter/2+rand.N(readJitter)) {
		_, confirmed := reader.state()
		lapsed := reader.proxy.timers.Now().Sub(confirmed) > confirmLife
		if !lapsed && !reader.proxy.members.supervises(readerDuty, reader.proxy.near) {
			continue
		}
		if err := reader.read(ctx); err != nil {
			event.Log(reader.proxy.logger, event.StoreUnread, zap.Duration("SinceConfirmed",
				reader.proxy.timers.Now().Sub(confirmed)), event.Cause(err))
		}
	}
}

func (reader *reader) read(ctx context.Context) error {
	began := reader.proxy.timers.Now()
	kind, name := reader.proxy.adapter.ConfigObject()
	objects, version, err := reader.proxy.adapter.List(ctx, kind)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if object.Name == name {
			reader.proxy.applyConfig(object)
		}
	}
	reader.learn(version, began)
	return nil
}

// state returns the newest version known and when the store was last read.
func (reader *reader) state() (spool.Version, spool.Instant) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.version, reader.confirmed
}

// learn takes over a read of this or another proxy and tells the copies of the store.
func (reader *reader) learn(version spool.Version, confirmed spool.Instant) {
	reader.mutex.Lock()
	reader.version = max(reader.version, version)
	reader.confirmed = max(reader.confirmed, confirmed)
	version = reader.version
	reader.mutex.Unlock()
	reader.proxy.configs.Hint(version)
	reader.proxy.servers.Hint(version)
}
