package pool

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// ProbeTimeout bounds the question whether a server acts as primary: a round trip and the handshake behind a short
	// queue. A lost packet makes one proxy's probe fail, which the other proxies' word makes up for.
	ProbeTimeout  = 400 * time.Millisecond
	openTimeout   = time.Second            // a round trip, its retransmission, and the handshake behind a full queue
	leavingMargin = 3 * time.Second        // between the last new work for a leaving server and its bound: until another proxy reads for a region whose reader is cut off
	spareConns    = 1                      // connections of each server that no proxy counts on, for orders to it
	retryPause    = 200 * time.Millisecond // time to come back that a caller is told when no server is known
	retryPeriod   = 50 * time.Millisecond  // between attempts to serve sessions that wait
	probePeriod   = 100 * time.Millisecond // between rounds of asking servers for the primary
)

// Pool holds the connections to all backend servers.
type Pool struct {
	dialer     spool.ServerDialer
	dial       spool.DialFunc
	timers     spool.Timers
	logger     *zap.Logger
	distance   func(domain spool.Domain) time.Duration
	near       func(left, right spool.Domain) bool
	leavingUse time.Duration
	detour     TunnelDialer
	lenders    Lenders
	marker     WatermarkSource

	mutex  sync.Mutex
	groups map[spool.Group]*group
	fleet  []spool.Domain // of each proxy that shares the servers' connections
	self   int            // index of this proxy in fleet
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(pool *Pool) { pool.logger = logger } }

// WithRoundTrip sets the round trip to a failure domain.
func WithRoundTrip(distance func(domain spool.Domain) time.Duration) Option {
	return func(pool *Pool) { pool.distance = distance }
}

// WithWatermarkSource sets where dated positions come from.
func WithWatermarkSource(marker WatermarkSource) Option {
	return func(pool *Pool) { pool.marker = marker }
}

// WithSameRegion tells which failure domains lie in one region.
func WithSameRegion(near func(left, right spool.Domain) bool) Option {
	return func(pool *Pool) { pool.near = near }
}

// WithDrain sets how long a leaving server may be sent work.
func WithDrain(drain time.Duration) Option {
	return func(pool *Pool) { pool.SetDrain(drain) }
}

// WithTunnelDialer sets the way round a cut to a primary.
func WithTunnelDialer(detour TunnelDialer) Option { return func(pool *Pool) { pool.detour = detour } }

// WithLenders sets the proxies that lend connections.
func WithLenders(lenders Lenders) Option { return func(pool *Pool) { pool.lenders = lenders } }

// New returns a pool without servers.
func New(dialer spool.ServerDialer, dial spool.DialFunc, timers spool.Timers, options ...Option) *Pool {
	pool := &Pool{
		dialer: dialer, dial: dial, timers: timers, logger: zap.NewNop(),
		distance: func(spool.Domain) time.Duration { return 0 },
		near:     func(left, right spool.Domain) bool { return left == right }, detour: noDetour, lenders: nobody{}, marker: nobody{},
		groups: map[spool.Group]*group{}, fleet: []spool.Domain{""},
	}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// SetFleet sets the failure domains of the proxies that share the servers' connections, and this one's place among them.
func (pool *Pool) SetFleet(domains []spool.Domain, self int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.fleet, pool.self = domains, self
	for _, group := range pool.groups {
		pool.allot(group)
	}
}

// SetDrain changes how long a leaving server may be sent work.
func (pool *Pool) SetDrain(drain time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.leavingUse = max(0, drain-leavingMargin)
}

// SetLimits puts the limits of the groups in force.
func (pool *Pool) SetLimits(limits map[spool.Group]spool.GroupLimits) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for name, limit := range limits {
		group := pool.group(name)
		group.limits = limit
		pool.allot(group)
	}
}

// SetServer adds or changes a registered server.
func (pool *Pool) SetServer(spec spool.RegisteredServer) {
	pool.mutex.Lock()
	now := pool.timers.Now()
	group := pool.group(spec.Group)
	known := group.servers[spec.Server]
	var closing []*Conn
	if known == nil {
		known = &server{distance: pool.distance(spec.Domain)}
		group.servers[spec.Server] = known
	}
	if known.spec.StartMillis != 0 && known.spec.StartMillis != spec.StartMillis {
		closing = known.takeIdle()
		known.health = place.Health{}
	}
	becamePrimary := spec.Primary && !known.spec.Primary
	known.spec = spec
	if spec.Mode == spool.ServerReady {
		known.leaving = 0
	} else if known.leaving == 0 {
		known.leaving = now
	}
	if becamePrimary {
		known.denied = 0
		group.primary = spec.Server
	}
	if group.primary == "" {
		group.guess(now)
	}
	pool.allot(group)
	event.Log(pool.logger, event.ServerRegistered, zap.String("Group", string(spec.Group)),
		zap.String("Server", string(spec.Server)), zap.Bool("Leaving", known.leaving != 0),
		zap.Bool("Primary", spec.Primary), zap.String("Address", spec.Address))
	pool.dispatch(group, now)
	pool.mutex.Unlock()
	closeAll(closing)
}

// RemoveServer drops a server that is gone.
func (pool *Pool) RemoveServer(name spool.Server) {
	pool.mutex.Lock()
	var closing []*Conn
	for _, group := range pool.groups {
		known := group.servers[name]
		if known == nil {
			continue
		}
		known.gone = true
		closing = append(closing, known.takeIdle()...)
		delete(group.servers, name)
		if group.primary == name {
			group.primary = ""
			group.guess(pool.timers.Now())
		}
		event.Log(pool.logger, event.ServerRemoved, zap.String("Group", string(group.name)),
			zap.String("Server", string(name)))
	}
	pool.mutex.Unlock()
	closeAll(closing)
}

// RecordPrimary notes that a server answered as primary, with a position, to a request sent at an instant.
func (pool *Pool) RecordPrimary(name spool.Group, server spool.Server, watermark fresh.Watermark) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	group := pool.group(name)
	if group.notePrimary(server, watermark, now) {
		pool.allot(group)
		event.Log(pool.logger, event.PrimaryFound, zap.String("Group", string(name)),
			zap.String("Server", string(server)), zap.Uint64("Term", uint64(group.term)))
		pool.dispatch(group, now)
	}
}

// RecordNotPrimary notes that a server refused to act as primary.
func (pool *Pool) RecordNotPrimary(name spool.Group, server spool.Server) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	group.noteDenied(server, pool.timers.Now())
	event.Log(pool.logger, event.PrimaryRoleRefused, zap.String("Group", string(name)),
		zap.String("Server", string(server)), zap.String("Next", string(group.primary)))
}

// RecordCommit notes a position that a caller's commit was acknowledged at.
func (pool *Pool) RecordCommit(name spool.Group, position spool.LogPosition) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	group.acked = group.acked.Max(position)
	group.unanswered, group.answered = 0, pool.timers.Now()
	group.commits.RecordSuccess()
}

// MayCommit tells if a commit, or a statement that one will follow, may be sent to the primary of a group now, or when to try
// again: a primary that answers no commits gets few.
func (pool *Pool) MayCommit(name spool.Group, last bool) (wait time.Duration, allowed bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(name), pool.timers.Now()
	if last {
		return group.commits.Allow(now)
	}
	return group.commits.Check(now)
}

// RecordCommitTimeout notes that the primary did not answer a commit in time.
func (pool *Pool) RecordCommitTimeout(name spool.Group, server spool.Server, sent spool.Instant) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	if group.primary != server || sent < group.answered {
		return
	}
	if group.unanswered == 0 || sent.Sub(group.last) > elect.UnansweredTTL {
		group.unanswered, group.stalled = 0, sent
	}
	group.commits.RecordFailure(pool.timers.Now())
	group.last = max(group.last, sent)
	group.unanswered++
}

// CommitStats returns what became of the commits that were sent to a group's primary from here.
func (pool *Pool) CommitStats(name spool.Group) elect.CommitStats {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(name), pool.timers.Now()
	var commits elect.CommitStats
	if group.unanswered > 0 && now.Sub(group.last) < elect.UnansweredTTL {
		commits = elect.CommitStats{
			Unanswered: group.unanswered, SinceFirst: now.Sub(group.stalled), SinceLast: max(1, now.Sub(group.last)),
		}
	}
	if group.answered != 0 {
		commits.SinceAnswer = max(1, now.Sub(group.answered))
	}
	return commits
}

// KnownReadPosition returns a position at or above every commit acknowledged before an instant.
func (pool *Pool) KnownReadPosition(name spool.Group, since spool.Instant) (spool.LogPosition, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).watermarks.Covering(since)
}

// group returns the group of a name; the caller holds the mutex.
func (pool *Pool) group(name spool.Group) *group {
	known := pool.groups[name]
	if known == nil {
		known = &group{name: name, servers: map[spool.Server]*server{}}
		pool.groups[name] = known
	}
	return known
}

// allot sets how many connections this proxy may have to each server of a group: most go to the proxies near the server,
// which lend them; the others have some for when no lender is in reach.
func (pool *Pool) allot(group *group) {
	weights := make([]float64, len(pool.fleet))
	for _, server := range group.servers {
		for i, domain := range pool.fleet {
			weights[i] = place.FarWeight
			if pool.near(domain, server.spec.Domain) {
				weights[i] = place.NearWeight
			}
		}
		shared := group.limits.Connections - spareConns
		server.limit = max(1, place.ConnectionShare(shared, weights, pool.self))
		server.keep = place.ConnectionShare(shared/2, weights, pool.self)
	}
}

// takeIdle empties the server's idle connections; the caller closes them.
func (server *server) takeIdle() []*Conn {
	idle := server.idle
	server.idle = nil
	server.open -= len(idle)
	return idle
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.Close() // idle connections hold nothing
	}
}

// Close ends the idle connections.
func (pool *Pool) Close(context.Context) {
	pool.mutex.Lock()
	var closing []*Conn
	for _, group := range pool.groups {
		for _, server := range group.servers {
			closing = append(closing, server.takeIdle()...)
		}
	}
	pool.mutex.Unlock()
	closeAll(closing)
}
