package pool

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// departedTTL is how long a server that is not registered any more is remembered. Its entry is back within seconds after an
// outage of the store or a restart.
const departedTTL = 10 * time.Minute

// departedServers holds since when servers were leaving whose entries are gone. An entry may lapse while its server is silent or
// restarts; when it is back, the server has still been leaving since then.
type departedServers map[spool.Server]spool.Instant

// add records a server that was leaving when its entry went.
func (departed *departedServers) add(server spool.Server, leavingSince spool.Instant) {
	if leavingSince == 0 {
		return
	}
	if *departed == nil {
		*departed = departedServers{}
	}
	(*departed)[server] = leavingSince
}

// leavingSince returns since when a server that is registered again has been leaving, or zero, and forgets old ones.
func (departed departedServers) leavingSince(server spool.Server, now spool.Instant) spool.Instant {
	for name, since := range departed {
		if now.Sub(since) > departedTTL {
			delete(departed, name)
		}
	}
	return departed[server]
}
