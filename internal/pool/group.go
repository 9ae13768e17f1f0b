package pool

import (
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/pkg/spool"
)

// notPrimaryTTL is how long after a refusal to act as primary a server is not presumed to be the primary.
const notPrimaryTTL = 250 * time.Millisecond

// server is a registered backend server and this proxy's connections to it.
type server struct {
	name            spool.Server // name and group never change, so they are read without the pool's mutex
	group           spool.Group
	spec            spool.RegisteredServer // guarded by the pool's mutex
	roundTrip       time.Duration
	idle            []*Conn
	open            int // connections in use, idle or being opened
	busy            int
	idleInTx        int // of busy, connections whose open transaction waits for the caller
	window          place.CongestionWindow
	lag             place.LagTracker
	borrowed        int // connections borrowed from other proxies and in use here
	handshakes      int // of open, connections whose handshake is in progress
	limit           int // upper bound of open
	retainLimit     int // of open, to keep on release: a share of half of the group's connections, so that a fleet that restarts after a power loss can connect
	health          place.Health
	notPrimarySince spool.Instant // when it last refused to act as primary
	leavingSince    spool.Instant // when the registry first showed it as leaving; zero if it is not
	tunnelUntil     spool.Instant // connections go through another proxy before this instant
	reopenedAt      spool.Instant // when its failure domain was opened again after an evacuation
	reopenLimit     int           // statements of this proxy at once while load returns; zero if there is no limit
	coldUntil       spool.Instant // the server warms up before this instant
	warmupReport    warmupReport  // newest one
	removed         bool
}

// group is a database group.
type group struct {
	name                 spool.Group
	limits               spool.GroupLimits
	configured           bool // the configuration has the group; an entry of a server may name another one
	servers              map[spool.Server]*server
	departed             departedServers
	leadership           leadership // of the presumed primary
	term                 spool.Term // newest term seen
	watermarks           fresh.Watermarks
	ackedPosition        spool.LogPosition // newest commit that this proxy acknowledged
	ackedSent            spool.Instant     // when it was sent
	waiters              *queue.Queue[*waiter]
	probing              bool
	refreshDone          chan struct{} // closed when the refresh in progress ends; nil if there is none
	dispatchTimerRunning bool
	closures             elect.Closures
	chosenStatus         map[spool.Server]*chosenStatus // questions to servers that are to be promoted
}

// leadership is what this proxy has seen of the presumed primary, and what follows for the commits that it sends there.
type leadership struct {
	elect.Leadership
	commitBreaker place.CircuitBreaker
}

// Limits of concurrent handshakes of one proxy with a server: each occupies a slot there, so a server that answers them
// slowly would be overloaded by ever more of them.
const (
	maxHandshakes             = 3
	maxHandshakesAfterFailure = 1
)

// mayOpen reports whether a handshake with the server may begin.
func (server *server) mayOpen() bool {
	if server.health.ConsecutiveFailures() > 0 {
		return server.handshakes < maxHandshakesAfterFailure
	}
	return server.handshakes < maxHandshakes
}

// usable reports whether a server may be sent new work.
func (pool *Pool) usable(server *server, now spool.Instant) bool {
	if server.removed || pool.evacuation.Load().Closed(server.spec.Domain) || server.health.InBackoff(now) && now >= server.tunnelUntil {
		return false
	}
	return !pool.retired(server, now)
}

// retired reports whether a server has been leaving for so long that it is sent no new work.
func (pool *Pool) retired(server *server, now spool.Instant) bool {
	return server.leavingSince != 0 && now.Sub(server.leavingSince) >= pool.leavingServeTime
}

// primaryServer returns the presumed primary, or nil.
func (group *group) primaryServer() *server {
	primary := group.servers[group.leadership.Server]
	if primary == nil || primary.removed {
		return nil
	}
	return primary
}

// setPrimary presumes a server to be the primary after it acted as such, unless a newer term is known.
func (group *group) setPrimary(name spool.Server, watermark fresh.Watermark, now spool.Instant) (changed bool) {
	if watermark.Position.Term < group.term {
		return false
	}
	group.term = watermark.Position.Term
	group.watermarks.Add(watermark)
	group.closures.RecordLead(name, group.term, now)
	changed = group.leadership.Server != name
	group.presumePrimary(name, now)
	group.leadership.LastContact = now
	return changed
}

// presumePrimary presumes a server to be the primary, or none if its name is empty. A server that is presumed already keeps its
// leadership.
func (group *group) presumePrimary(name spool.Server, now spool.Instant) {
	if group.leadership.Server != name {
		group.leadership = leadership{Leadership: elect.Leadership{Server: name, Since: now}}
	}
}

// rejectPrimary stops presuming that a server is the primary.
func (group *group) rejectPrimary(name spool.Server, now spool.Instant) {
	if server := group.servers[name]; server != nil {
		server.notPrimarySince = now
	}
	if group.leadership.Server == name {
		group.presumePrimary("", now)
		group.adoptRegisteredPrimary(now)
	}
}

// adoptRegisteredPrimary presumes that the server registered as primary is the primary, unless it refused to act as such
// recently.
func (group *group) adoptRegisteredPrimary(now spool.Instant) {
	for name, server := range group.servers {
		if server.spec.Primary && !server.removed && (server.notPrimarySince == 0 || now.Sub(server.notPrimarySince) > notPrimaryTTL) {
			group.presumePrimary(name, now)
			return
		}
	}
}
