package soak

import (
	"math/rand/v2"
	"time"
)

const (
	memberKind     = "corianderspool-members"
	rewriteDelay   = 700 * time.Millisecond // until operators and servers write their entries again after a fall-back
	restoreTimeout = 4 * time.Second        // until proxies have written their entries again
)

// fallBack lets the store come back from a copy that is as old as the fault lasts; operators and servers then write their
// entries again.
func fallBack(cluster *cluster, _ *rand.Rand, _ time.Duration) func() {
	snapshot := cluster.store.Snapshot()
	return func() {
		cluster.store.FallBack(snapshot)
		time.Sleep(rewriteDelay)
		cluster.registerServers()
		cluster.publishConfig()
	}
}

// verifyEras checks that no fencing token was used by two proxies and that all proxies are registered.
func (cluster *cluster) verifyEras(history *history) {
	if shared := cluster.store.SharedTokens(); shared > 0 {
		history.addViolation("%d promotions with a fencing token of another proxy", shared)
	}
	deadline := time.Now().Add(restoreTimeout)
	for len(cluster.store.Names(memberKind)) < len(cluster.vms) {
		if time.Now().After(deadline) {
			history.addViolation("registered after era %d: %v", cluster.store.Era(), cluster.store.Names(memberKind))
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
