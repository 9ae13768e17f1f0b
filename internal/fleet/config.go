package fleet

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// applyConfig puts a configuration in force and reports whether it did; it rejects a malformed one and one that is not newer
// than the current one.
func (proxy *Proxy) applyConfig(object spool.Object) bool {
	if current, known := proxy.configCopy(); known && !proxy.eras.mayBeNewer(object.Version, current.Version) {
		return false
	}
	result, _ := proxy.putConfig(object) // putConfig logs the error
	return result == configApplied
}

// putParsed puts a parsed configuration in force unless it is not newer than the current one.
func (proxy *Proxy) putParsed(object spool.Object, config *spool.FleetConfig) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if config.Revision <= proxy.revision {
		proxy.eras.ignoreConfig(object.Version, config.Revision, proxy.revision)
		return false
	}
	proxy.revision = config.Revision
	proxy.config = object
	proxy.offered.unused = nil
	proxy.pool.SetLimits(config.Groups)
	proxy.setPrioritized(config)
	proxy.limiter.setTeams(config.Teams)
	proxy.engine.SetConfig(config)
	event.Log(proxy.logger, event.ManifestAccepted, zap.Uint64("Revision", config.Revision),
		zap.Int("Routes", len(config.Routes)), zap.Int("Teams", len(config.Teams)),
		zap.Int("Keys", len(config.Keys)))
	for team := range config.Teams {
		proxy.operatorTeam = max(proxy.operatorTeam, team)
	}
	return true
}

// currentRevision returns the revision of the configuration in force, or zero.
func (proxy *Proxy) currentRevision() uint64 {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.revision
}

// configCopy returns the configuration in force, which is sent to proxies that cannot read the store.
func (proxy *Proxy) configCopy() (spool.Object, bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.config, proxy.revision > 0
}

// operator returns the team under which the proxy opens its own connections to servers.
func (proxy *Proxy) operator() spool.Team {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.operatorTeam
}

// eligible reports whether this proxy can supervise groups: it reaches the store, has a configuration, is not draining, and
// has run long enough to have received heartbeats from the other live proxies.
func (proxy *Proxy) eligible() bool {
	if proxy.timers.Now().Sub(proxy.started) < proxy.members.settleTime() {
		return false
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.storeReached && !proxy.draining && proxy.revision > 0
}

func (proxy *Proxy) reachesStore() bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.storeReached
}

func (proxy *Proxy) setStoreReached(reached bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.storeReached = reached
}
