package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	registrationCheckSpread   = 800 * time.Millisecond // over which the proxies' checks of their entries are spread after a new era
	maxRegistrationRetryDelay = 4 * time.Second        // between attempts to restore an entry while the store fails
	memberRetention           = 3 * time.Second        // after a new era, in which proxies write their entries again
	listSpread                = 10 * time.Second       // over which the proxies list the registry after that; 2,800 lists then are 280 a second
	// peerConfigWait is how long a starting proxy waits for heartbeats before it trusts the store's configuration. The first
	// rounds are due after 250 ms; 700 ms was too short on a busy VM. If the whole fleet starts, heartbeats without a
	// configuration from all of it end the wait.
	peerConfigWait     = 2 * time.Second
	newerConfigWait    = 3 * time.Second // the same once another proxy announced a newer configuration, which has to arrive
	peerConfigInterval = 20 * time.Millisecond
)

// Sources from which a proxy learns of an era.
const (
	sourceStore     = "store"
	sourceHeartbeat = "heartbeat"
)

// eras reacts to new eras of the store: it has the servers' entries listed again, restores this VM's registration, and keeps
// what the store lost from taking effect.
type eras struct {
	proxy   *Proxy
	changed chan struct{} // holds one signal to check this VM's registration

	mutex         sync.Mutex
	newest        spool.Era
	learnedAt     spool.Instant // of the newest era; zero if there is none
	announced     uint64        // newest revision of the configuration that other proxies announced
	ignoredConfig spool.Version // of a configuration that is not newer than the one in force
}

func newEras(proxy *Proxy) *eras { return &eras{proxy: proxy, changed: make(chan struct{}, 1)} }

// run checks this VM's registration after each new era until the context ends.
func (eras *eras) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-eras.changed:
		}
		if !sleep(ctx, rand.N(registrationCheckSpread)) {
			return
		}
		go eras.listMembersAgain(ctx)
		pause := registerRetryDelay
		for eras.proxy.members.restore(ctx) != nil {
			if !sleep(ctx, pause/2+rand.N(pause)) {
				return
			}
			pause = min(2*pause, maxRegistrationRetryDelay)
		}
	}
}

// listMembersAgain lists the registry once the other proxies had time to restore their entries, so that those that came back
// for dead proxies are known and removed after the usual silence.
func (eras *eras) listMembersAgain(ctx context.Context) {
	if !sleep(ctx, memberRetention+rand.N(listSpread)) {
		return
	}
	if err := eras.proxy.members.listRegistry(ctx); err != nil {
		event.Log(eras.proxy.logger, event.MembersListFailed, event.Cause(err))
	}
}

// checkAnswer handles the result of a call to the store, which may have announced a new era.
func (eras *eras) checkAnswer(err error) {
	var eraError *spool.EraError
	if errors.As(err, &eraError) {
		event.Log(eras.proxy.logger, event.StoreAnswerRejected, zap.String("Received", eraError.Header),
			zap.Uint64("Known", uint64(eraError.Known)), zap.Bool("Malformed", eraError.Malformed))
	}
	eras.update(sourceStore, eras.proxy.settings.VM)
}

// observeHeartbeat handles the era and the revision of the configuration that another proxy announces.
func (eras *eras) observeHeartbeat(from spool.VM, heartbeat *wire.Pulse) {
	eras.mutex.Lock()
	eras.announced = max(eras.announced, heartbeat.Revision)
	eras.mutex.Unlock()
	if heartbeat.StoreEra == 0 {
		return
	}
	eras.proxy.adapter.ObserveEra(spool.Era(heartbeat.StoreEra))
	eras.update(sourceHeartbeat, from)
}

// update reacts to an era that is newer than the last one handled.
func (eras *eras) update(source string, from spool.VM) {
	proxy := eras.proxy
	newest := proxy.adapter.Era()
	eras.mutex.Lock()
	previous := eras.newest
	if newest <= previous {
		eras.mutex.Unlock()
		return
	}
	eras.newest, eras.learnedAt = newest, proxy.timers.Now()
	eras.mutex.Unlock()
	number := event.StoreEraFirstSeen
	if previous > 0 {
		number = event.StoreFellBack
	}
	event.Log(proxy.logger, number, zap.Uint64("Era", uint64(newest)), zap.Uint64("Previous", uint64(previous)),
		zap.String("Source", source), zap.String("From", string(from)))
	proxy.servers.EraChanged()
	proxy.reader.eraChanged()
	proxy.fencingTokens.EraChanged(newest)
	if source == sourceStore {
		proxy.peers.notifyRegion()
	} else {
		proxy.peers.forwardUpdate()
	}
	select {
	case eras.changed <- struct{}{}:
	default: // a check is due already
	}
}

// retainsMembers reports whether proxies may be missing in the registry or shown with an older address because the store fell
// back recently.
func (eras *eras) retainsMembers(now spool.Instant) bool {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	return eras.learnedAt != 0 && now.Sub(eras.learnedAt) < memberRetention
}

// mayBeNewer reports whether a configuration of one version may replace that of another. Between eras only the revision in
// the configuration tells.
func (eras *eras) mayBeNewer(version, current spool.Version) bool {
	if eras.proxy.adapter.Era() == 0 {
		return version > current
	}
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	return version != eras.ignoredConfig && (version > current || version.Era() != current.Era())
}

// ignoreConfig records that a configuration is not newer than the one in force, so that it is not parsed again, and logs it
// if it is older.
func (eras *eras) ignoreConfig(version spool.Version, revision, inForce uint64) {
	if eras.proxy.adapter.Era() == 0 {
		return
	}
	eras.mutex.Lock()
	eras.ignoredConfig = version
	eras.mutex.Unlock()
	if revision < inForce {
		event.Log(eras.proxy.logger, event.OlderConfigIgnored, zap.Uint64("Revision", revision), zap.Uint64("InForce", inForce))
	}
}

// awaitPeerConfig delays the first configuration of a starting proxy until another proxy announced its own, which is newer if
// the store fell back. It does not wait if the store announces no era, or at the first start of the whole fleet.
func (eras *eras) awaitPeerConfig(ctx context.Context, object spool.Object) {
	proxy := eras.proxy
	if proxy.adapter.Era() == 0 || proxy.settings.Bootstrap || proxy.currentRevision() > 0 {
		return
	}
	config, err := proxy.adapter.ParseConfig(object)
	if err != nil {
		return
	}
	for proxy.currentRevision() == 0 && eras.awaitsConfig(config.Revision) {
		if !sleep(ctx, peerConfigInterval) {
			return
		}
	}
}

// awaitsConfig reports whether another proxy may announce or send a configuration that is newer than a revision.
func (eras *eras) awaitsConfig(revision uint64) bool {
	running := eras.proxy.timers.Now().Sub(eras.proxy.started)
	allHeard := eras.proxy.members.allHeard()
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	if eras.announced == 0 {
		return running < peerConfigWait && !allHeard
	}
	return eras.announced > revision && running < newerConfigWait
}

// allHeard reports whether the registry is known and all other proxies are live; it shows none only if there are no seeds.
func (members *members) allHeard() bool {
	now := members.proxy.timers.Now()
	members.mutex.Lock()
	defer members.mutex.Unlock()
	others := members.roster.Size() - 1
	complete := others > 0 || len(members.proxy.settings.Seeds) == 0
	return members.registryKnown && complete && len(members.roster.Live(now)) == others
}

// restore writes this VM's entry if the store does not show it as it is.
func (members *members) restore(ctx context.Context) error {
	object, err := members.ownEntry()
	if err != nil {
		return err
	}
	stored, err := members.proxy.adapter.Get(ctx, kindMember, object.Name)
	missing := errors.Is(err, spool.ErrNotFound)
	if err != nil && !missing || !missing && sameMember(stored.Body, object.Body) {
		return err
	}
	if missing {
		_, err = members.proxy.adapter.Create(ctx, object)
	} else {
		object.Version = stored.Version
		_, err = members.proxy.adapter.Put(ctx, object)
	}
	if err != nil {
		event.Log(members.proxy.logger, event.RegistrationNotRestored, zap.Bool("Missing", missing), event.Cause(err))
		return err
	}
	event.Log(members.proxy.logger, event.RegistrationRestored, zap.Bool("Missing", missing))
	return nil
}

// ownEntry returns the entry of this VM.
func (members *members) ownEntry() (spool.Object, error) {
	settings := &members.proxy.settings
	body, err := json.Marshal(memberBody{Address: settings.Peers, Domain: settings.Domain, Capacity: capacity(*settings)})
	return spool.Object{Kind: kindMember, Name: string(settings.VM), Body: body}, err
}
