package pool

import (
	"time"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/pkg/spool"
)

// denialLife is how long a server that refused to act as primary is not asked again.
const denialLife = 250 * time.Millisecond

// server is a registered backend server and this proxy's connections to it.
type server struct {
	spec     spool.RegisteredServer
	distance time.Duration // of a round trip
	idle     []*Conn
	open     int // connections in use, idle or being opened
	busy     int
	resting  int // of busy, connections whose transaction waits for its caller
	window   place.CongestionWindow
	lag      place.LagTracker
	borrowed int // connections of other proxies in use here
	opening  int // of open, connections whose handshake goes on
	limit    int // of open
	keep     int // of open that rest: half of the limit over all proxies, so that a fleet that lost power finds room
	health   place.Health
	denied   spool.Instant // when it last refused to act as primary
	leaving  spool.Instant // when it was first seen leaving; zero if it is not
	detoured spool.Instant // until when connections go through another proxy
	gone     bool
}

// group is a database group.
type group struct {
	name       spool.Group
	limits     spool.GroupLimits
	servers    map[spool.Server]*server
	primary    spool.Server // empty if not known
	term       spool.Term   // newest term seen
	watermarks fresh.Watermarks
	acked      spool.LogPosition // newest position that this proxy acknowledged
	waiters    []*waiter
	probing    bool
	refreshed  chan struct{} // closed when the dated position that was asked for is known; nil if none was
	retrying   bool
	contact    spool.Instant // when the primary last answered as such

	commits    place.CircuitBreaker
	unanswered int           // commits in a row that the primary did not answer in time
	stalled    spool.Instant // when the first of these was sent
	last       spool.Instant // when the last of these was sent
	answered   spool.Instant // when the primary last answered a commit; zero if it has not
}

// Limits of handshakes that one proxy has under way with a server: each takes a slot there, and a server that is slow to
// answer them must not get ever more.
const (
	maxOpening       = 3
	maxOpeningFailed = 1 // after a failure
)

// mayOpen tells if a handshake with the server may begin.
func (server *server) mayOpen() bool {
	if server.health.ConsecutiveFailures() > 0 {
		return server.opening < maxOpeningFailed
	}
	return server.opening < maxOpening
}

// usable tells if a server takes new work.
func (pool *Pool) usable(server *server, now spool.Instant) bool {
	if server.gone || server.health.InBackoff(now) && now >= server.detoured {
		return false
	}
	return server.leaving == 0 || now.Sub(server.leaving) < pool.leavingUse
}

// primaryServer returns the server believed to be the primary, or nil.
func (group *group) primaryServer() *server {
	known := group.servers[group.primary]
	if known == nil || known.gone {
		return nil
	}
	return known
}

// notePrimary believes a server that acted as primary in a term.
func (group *group) notePrimary(name spool.Server, watermark fresh.Watermark, now spool.Instant) (changed bool) {
	if watermark.Position.Term < group.term {
		return false
	}
	group.term = watermark.Position.Term
	group.watermarks.Add(watermark)
	group.contact = now
	changed = group.primary != name
	if changed {
		group.commits, group.unanswered, group.answered = place.CircuitBreaker{}, 0, 0
	}
	group.primary = name
	return changed
}

// noteDenied stops believing that a server is the primary.
func (group *group) noteDenied(name spool.Server, now spool.Instant) {
	if server := group.servers[name]; server != nil {
		server.denied = now
	}
	if group.primary == name {
		group.primary = ""
		group.guess(now)
	}
}

// guess believes the server that registered itself as primary and did not deny it lately.
func (group *group) guess(now spool.Instant) {
	for name, server := range group.servers {
		if server.spec.Primary && !server.gone && (server.denied == 0 || now.Sub(server.denied) > denialLife) {
			group.primary = name
			return
		}
	}
}
