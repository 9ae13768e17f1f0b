package fleet

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// applyConfig puts a deployment in force and tells if it did: not if it is as old as the one in force or out of form.
func (proxy *Proxy) applyConfig(object spool.Object) bool {
	if current, known := proxy.configCopy(); known && object.Version <= current.Version {
		return false
	}
	config, err := proxy.adapter.ParseConfig(object)
	if err != nil {
		event.Log(proxy.logger, event.ManifestRejected, event.Cause(err))
		return false
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if config.Revision <= proxy.revision {
		return false
	}
	proxy.revision = config.Revision
	proxy.config = object
	proxy.pool.SetLimits(config.Groups)
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

// currentRevision returns the revision of the deployment in force, or zero.
func (proxy *Proxy) currentRevision() uint64 {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.revision
}

// configCopy returns the configuration in force for a proxy that cannot read the store.
func (proxy *Proxy) configCopy() (spool.Object, bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.config, proxy.revision > 0
}

// operator returns the team that the proxy's own connections to servers name.
func (proxy *Proxy) operator() spool.Team {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.operatorTeam
}

// fit tells if this proxy can look after groups: it reaches the store, stays, and has run for long enough to have heard
// the other live ones.
func (proxy *Proxy) fit() bool {
	if proxy.timers.Now().Sub(proxy.started) < proxy.members.settleTime() {
		return false
	}
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.storeReached && !proxy.draining && proxy.revision > 0
}

func (proxy *Proxy) setStoreReached(reached bool) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.storeReached = reached
}
