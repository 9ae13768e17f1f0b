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
	read      spool.Version // newest version that this proxy read itself
	version   spool.Version // newest version that may have changed a backend server's entry
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
		if err := reader.fetch(ctx); err != nil {
			event.Log(reader.proxy.logger, event.StoreUnread, zap.Duration("SinceConfirmed",
				reader.proxy.timers.Now().Sub(confirmed)), event.Cause(err))
		}
	}
}

func (reader *reader) fetch(ctx context.Context) error {
	began := reader.proxy.timers.Now()
	kind, name := reader.proxy.adapter.ConfigObject()
	objects, version, err := reader.proxy.adapter.List(ctx, kind)
	if err != nil {
		return err
	}
	byConfig := false
	for _, object := range objects {
		if object.Name == name {
			reader.proxy.applyConfig(object)
			byConfig = object.Version == version
		}
	}
	reader.learn(reader.concerning(version, byConfig), began)
	return nil
}

// concerning returns the newest version that may concern backend servers: a single change that the configuration made
// does not, and spares all proxies a list.
func (reader *reader) concerning(version spool.Version, byConfig bool) spool.Version {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	single := byConfig && version == reader.read+1
	reader.read = version
	if single {
		return reader.version
	}
	return version
}

// state returns the newest version that may concern backend servers, and when the store was last read.
func (reader *reader) state() (spool.Version, spool.Instant) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.version, reader.confirmed
}

// learn takes over a read of this or another proxy and tells the copy of the servers' entries. The configuration needs no
// hint: the read itself and the heartbeats bring it.
func (reader *reader) learn(version spool.Version, confirmed spool.Instant) {
	reader.mutex.Lock()
	reader.version = max(reader.version, version)
	reader.confirmed = max(reader.confirmed, confirmed)
	version = reader.version
	reader.mutex.Unlock()
	reader.proxy.servers.Hint(version)
}
