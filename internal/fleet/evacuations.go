package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	evacuationRetryDelay = time.Second // after a failed watch; the reads of the configuration notice a change as well
	fromStore            = "store"     // source of a set that this proxy read itself
)

// evacuations tracks the evacuated failure domains and ends what is still open at their servers. The region's reader lists them
// when the store's version has changed or a watch reports a change; heartbeats carry the set. It implements pool.Guard.
type evacuations struct {
	proxy     *Proxy
	lastTick  atomic.Int64                  // instant of the newest tick
	suspended atomic.Pointer[chan struct{}] // closed when the set is known again after a suspension; nil if it is known

	mutex     sync.Mutex
	record    place.EvacuationRecord
	listedAt  spool.Version             // version of the newest list by this proxy
	resumedAt spool.Instant             // when the newest suspension was noticed
	remaining map[spool.Domain]bool     // evacuated failure domains that this proxy still has connections to
	tunnels   map[net.Conn]spool.Domain // connections to servers that other proxies use
}

func newEvacuations(proxy *Proxy) *evacuations {
	evacuations := &evacuations{proxy: proxy, remaining: map[spool.Domain]bool{}, tunnels: map[net.Conn]spool.Domain{}}
	evacuations.record.Bound = proxy.settings.Bounds.Evacuate
	evacuations.lastTick.Store(int64(proxy.timers.Now()))
	return evacuations
}

// enabled reports whether operators evacuate failure domains in this deployment.
func (evacuations *evacuations) enabled() bool { return evacuations.proxy.settings.Bounds.Evacuate > 0 }

// run watches the store and ends what is open at evacuated servers until the context ends.
func (evacuations *evacuations) run(ctx context.Context) {
	if !evacuations.enabled() {
		return
	}
	go evacuations.watch(ctx)
	stop := evacuations.proxy.timers.Every(place.TickInterval, spool.TimerFunc(evacuations.tick))
	<-ctx.Done()
	stop()
}

// watch lists the evacuations at each change that a watch reports while this proxy reads for its region.
func (evacuations *evacuations) watch(ctx context.Context) {
	adapter := evacuations.proxy.adapter
	for ctx.Err() == nil {
		after := evacuations.listedVersion()
		sleep(ctx, checkInterval/2+rand.N(checkInterval)) // also between watches that the store answers at once
		if after == 0 || !evacuations.proxy.reader.readsForRegion() {
			continue
		}
		began := evacuations.proxy.timers.Now()
		changes, _, err := adapter.Watch(ctx, adapter.EvacuationKind(), after, mirror.WatchTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil && !errors.Is(err, spool.ErrCompacted) {
			event.Log(evacuations.proxy.logger, event.EvacuationReadFailed, event.Cause(err))
			sleep(ctx, evacuationRetryDelay)
		}
		early := evacuations.proxy.timers.Now().Sub(began) < mirror.WatchTimeout
		if err != nil || len(changes) > 0 || early {
			err = evacuations.list(ctx) // a watch that fails or ends early may have missed changes
			if err != nil {
				sleep(ctx, evacuationRetryDelay)
			}
		}
	}
}

func (evacuations *evacuations) listedVersion() spool.Version {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	return evacuations.listedAt
}

// listIfChanged lists the evacuations if the store has another version than at the last list.
func (evacuations *evacuations) listIfChanged(ctx context.Context, version spool.Version) {
	if evacuations.enabled() && version != evacuations.listedVersion() {
		_ = evacuations.list(ctx) // list logs the error; the next read is due soon
	}
}

func (evacuations *evacuations) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	adapter, began := evacuations.proxy.adapter, evacuations.proxy.timers.Now()
	objects, version, err := adapter.List(ctx, adapter.EvacuationKind())
	if err != nil {
		event.Log(evacuations.proxy.logger, event.EvacuationReadFailed, event.Cause(err))
		return err
	}
	domains := make([]spool.Domain, 0, len(objects))
	for _, object := range objects {
		domains = append(domains, spool.Domain(object.Name))
	}
	evacuations.mutex.Lock()
	evacuations.listedAt = version
	fresh := began >= evacuations.resumedAt // an older answer was received while the VM was suspended
	evacuations.mutex.Unlock()
	evacuations.apply(version, domains, fromStore)
	if fresh {
		evacuations.settle()
	}
	return nil
}

// apply puts a set in force if it is newer than the known one, and forwards a change at once.
func (evacuations *evacuations) apply(version spool.Version, domains []spool.Domain, from string) {
	now := evacuations.proxy.timers.Now()
	evacuations.mutex.Lock()
	added, removed := evacuations.record.Apply(version, domains, now)
	for _, domain := range added {
		evacuations.remaining[domain] = true
	}
	for _, domain := range removed {
		delete(evacuations.remaining, domain)
	}
	changed := len(added)+len(removed) > 0
	if changed {
		evacuations.proxy.pool.SetEvacuation(evacuations.record.Current, removed)
	}
	evacuations.mutex.Unlock()
	for _, domain := range added {
		evacuations.log(event.EvacuationStarted, domain, version, from)
	}
	for _, domain := range removed {
		evacuations.log(event.EvacuationWithdrawn, domain, version, from)
	}
	if changed && (from == fromStore || evacuations.proxy.members.relayed()) {
		evacuations.proxy.peers.notifyAll()
	}
}

func (evacuations *evacuations) log(number event.Number, domain spool.Domain, version spool.Version, from string) {
	event.Log(evacuations.proxy.logger, number, zap.String("Domain", string(domain)),
		zap.Uint64("Version", uint64(version)), zap.String("From", from))
}

// addTo adds the known set to a heartbeat.
func (evacuations *evacuations) addTo(heartbeat *wire.Pulse) {
	if !evacuations.enabled() {
		return
	}
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	heartbeat.EvacuatedVersion = uint64(evacuations.record.Version)
	for _, domain := range evacuations.record.Current.Domains() {
		heartbeat.Evacuated = append(heartbeat.Evacuated, string(domain))
	}
}

// receive applies the set in a heartbeat, which was sent at an instant by this VM's clock, or zero if that is not known.
func (evacuations *evacuations) receive(from spool.VM, heartbeat *wire.Pulse, sent spool.Instant) {
	if !evacuations.enabled() || heartbeat.EvacuatedVersion == 0 {
		return
	}
	domains := make([]spool.Domain, 0, len(heartbeat.Evacuated))
	for _, domain := range heartbeat.Evacuated {
		domains = append(domains, spool.Domain(domain))
	}
	evacuations.apply(spool.Version(heartbeat.EvacuatedVersion), domains, string(from))
	evacuations.mutex.Lock()
	fresh := sent >= evacuations.resumedAt // older heartbeats were received while the VM was suspended
	evacuations.mutex.Unlock()
	if fresh {
		evacuations.settle()
	}
}

// tick notices suspensions and ends what is still open at evacuated servers.
func (evacuations *evacuations) tick(now spool.Instant) {
	evacuations.noticeSuspension(now)
	evacuations.lastTick.Store(int64(now))
	current := evacuations.proxy.pool.Evacuation()
	if current == nil {
		return
	}
	evacuations.proxy.engine.EndEvacuatedTransactions()
	evacuations.proxy.lender.EndEvacuatedTransactions()
	evacuations.closeTunnels(current, now)
	evacuations.reportEmpty(current, now)
}

// reportEmpty logs which evacuated failure domains this proxy has no connection to any more.
func (evacuations *evacuations) reportEmpty(current *place.Evacuation, now spool.Instant) {
	for _, domain := range current.Domains() {
		connections, _ := evacuations.counts(domain)
		evacuations.mutex.Lock()
		report := connections == 0 && evacuations.remaining[domain]
		if report {
			delete(evacuations.remaining, domain)
		}
		evacuations.mutex.Unlock()
		if report {
			event.Log(evacuations.proxy.logger, event.EvacuationComplete, zap.String("Domain", string(domain)),
				zap.Duration("Took", now.Sub(current.Since(domain))))
		}
	}
}

// counts returns the connections of this proxy to the servers of a failure domain, and how many of them are in use.
func (evacuations *evacuations) counts(domain spool.Domain) (connections, statements int) {
	connections, statements = evacuations.proxy.pool.Remaining(domain)
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	for _, other := range evacuations.tunnels {
		if other == domain {
			connections++
			statements++
		}
	}
	return connections, statements
}

// sample returns the counts of each evacuated failure domain.
func (evacuations *evacuations) sample() map[spool.Domain]metric.Remaining {
	counts := map[spool.Domain]metric.Remaining{}
	for _, domain := range evacuations.proxy.pool.Evacuation().Domains() {
		connections, statements := evacuations.counts(domain)
		counts[domain] = metric.Remaining{Connections: connections, Statements: statements}
	}
	return counts
}
