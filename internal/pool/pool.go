package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// ProbeTimeout bounds a probe of whether a server acts as primary: a round trip, and the handshake behind a short
	// queue. A lost packet makes one proxy's probe fail; the answers of the other proxies compensate for that.
	ProbeTimeout = 400 * time.Millisecond
	openTimeout  = time.Second // a round trip, its retransmission, and the handshake behind a full queue
	// drainMargin is the last part of a leaving server's drain time, in which it gets no new work: the time until another
	// proxy reads the registry for a region whose reader is unreachable.
	drainMargin    = 3 * time.Second
	unsharedConns  = 1                      // connections of each server that no proxy's share includes, kept for the proxies' own commands
	retryAfter     = 200 * time.Millisecond // retry hint to callers when no server is available
	dispatchPeriod = 50 * time.Millisecond  // between periodic dispatches to waiters
	probePeriod    = 100 * time.Millisecond // between rounds of probes for the primary
)

// Pool holds this proxy's connections to all backend servers.
type Pool struct {
	dialer           spool.ServerDialer
	dial             spool.DialFunc
	timers           spool.Timers
	logger           *zap.Logger
	roundTrip        func(domain spool.Domain) time.Duration
	sameRegion       func(left, right spool.Domain) bool
	leavingServeTime time.Duration // how long a leaving server is sent new work
	dialTunnel       TunnelDialer
	lenders          Lenders
	watermarkSource  WatermarkSource
	guard            Guard                            // nil if nothing is delayed
	evacuation       atomic.Pointer[place.Evacuation] // nil if no failure domain is evacuated
	restricted       atomic.Bool                      // home regions are set
	observer         Observer
	warmupTokens     WarmupTokens
	coldUntil        atomic.Int64   // latest instant at which any server warms up
	started          spool.Instant  // when this process began
	firstStart       bool           // no earlier process of this proxy has acknowledged commits
	startup          *elect.Startup // guarded by the mutex; nil if all orders are known

	mutex        sync.Mutex
	groups       map[spool.Group]*group
	prioritized  bool           // the routes differ in priority
	proxyDomains []spool.Domain // failure domain of each proxy that shares the servers' connections
	selfIndex    int            // index of this proxy in proxyDomains
	homeRoutes   map[spool.Group]map[spool.Domain]int
}

// Option configures a pool.
type Option func(*Pool)

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option { return func(pool *Pool) { pool.logger = logger } }

// WithRoundTrip sets the function that returns the round-trip time to a failure domain.
func WithRoundTrip(roundTrip func(domain spool.Domain) time.Duration) Option {
	return func(pool *Pool) { pool.roundTrip = roundTrip }
}

// WithWatermarkSource sets the source of watermarks.
func WithWatermarkSource(watermarkSource WatermarkSource) Option {
	return func(pool *Pool) { pool.watermarkSource = watermarkSource }
}

// WithSameRegion sets the function that reports whether two failure domains are in one region.
func WithSameRegion(sameRegion func(left, right spool.Domain) bool) Option {
	return func(pool *Pool) { pool.sameRegion = sameRegion }
}

// WithDrain sets the drain time of leaving servers.
func WithDrain(drain time.Duration) Option {
	return func(pool *Pool) { pool.SetDrain(drain) }
}

// WithTunnelDialer sets the dialer that reaches a primary through another proxy if a direct connection fails.
func WithTunnelDialer(dialTunnel TunnelDialer) Option {
	return func(pool *Pool) { pool.dialTunnel = dialTunnel }
}

// WithLenders sets the access to proxies that lend connections.
func WithLenders(lenders Lenders) Option { return func(pool *Pool) { pool.lenders = lenders } }

// New returns a pool without servers.
func New(dialer spool.ServerDialer, dial spool.DialFunc, timers spool.Timers, options ...Option) *Pool {
	pool := &Pool{
		dialer: dialer, dial: dial, timers: timers, logger: zap.NewNop(),
		roundTrip:  func(spool.Domain) time.Duration { return 0 },
		sameRegion: func(left, right spool.Domain) bool { return left == right }, dialTunnel: noTunnel, lenders: disabled{}, watermarkSource: disabled{}, warmupTokens: disabled{}, observer: disabled{},
		groups: map[spool.Group]*group{}, proxyDomains: []spool.Domain{""},
	}
	pool.started = timers.Now()
	for _, option := range options {
		option(pool)
	}
	return pool
}

// SetFleet sets the failure domains of the proxies that share the servers' connections, and the index of this proxy.
func (pool *Pool) SetFleet(domains []spool.Domain, self int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.proxyDomains, pool.selfIndex = domains, self
	for _, group := range pool.groups {
		pool.divideConnections(group)
	}
}

// SetDrain changes the drain time of leaving servers.
func (pool *Pool) SetDrain(drain time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.leavingServeTime = max(0, drain-drainMargin)
}

// SetLimits applies the limits of all groups of the configuration.
func (pool *Pool) SetLimits(limits map[spool.Group]spool.GroupLimits) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, group := range pool.groups {
		group.configured = false
	}
	for name, limit := range limits {
		group := pool.group(name)
		group.limits, group.configured = limit, true
		for _, server := range group.servers {
			pool.recordWarmup(group, server, pool.timers.Now())
		}
		pool.divideConnections(group)
	}
}

// SetServer adds or updates a registered server.
func (pool *Pool) SetServer(spec spool.RegisteredServer) { closeAll(pool.applyServer(spec)) }

// applyServer adds or updates a registered server, and returns the connections to close.
func (pool *Pool) applyServer(spec spool.RegisteredServer) (closing []*Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	group := pool.group(spec.Group)
	registered := group.servers[spec.Server]
	if registered == nil {
		registered = &server{
			name: spec.Server, group: spec.Group, roundTrip: pool.roundTrip(spec.Domain), leavingSince: group.departed.leavingSince(spec.Server, now),
		}
		group.servers[spec.Server] = registered
	}
	if registered.spec.StartMillis != 0 && registered.spec.StartMillis != spec.StartMillis {
		closing = registered.removeIdle()
		registered.health = place.Health{}
	}
	becamePrimary := spec.Primary && !registered.spec.Primary
	registered.spec = spec
	pool.recordWarmup(group, registered, now)
	if spec.Mode == spool.ServerReady {
		registered.leavingSince = 0
	} else if registered.leavingSince == 0 {
		registered.leavingSince = now
	}
	if becamePrimary {
		registered.notPrimarySince = 0
		group.presumePrimary(spec.Server, now)
	}
	if group.leadership.Server == "" {
		group.adoptRegisteredPrimary(now)
	}
	pool.divideConnections(group)
	event.Log(pool.logger, event.ServerRegistered, zap.String("Group", string(spec.Group)),
		zap.String("Server", string(spec.Server)), zap.Bool("Leaving", registered.leavingSince != 0),
		zap.Bool("Primary", spec.Primary), zap.String("Address", spec.Address))
	pool.dispatchAll(group, now)
	return closing
}

// RemoveServer removes a server that is no longer registered.
func (pool *Pool) RemoveServer(name spool.Server) { closeAll(pool.unregister(name)) }

// unregister removes a server, and returns the connections to close.
func (pool *Pool) unregister(name spool.Server) (closing []*Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	for _, group := range pool.groups {
		server := group.servers[name]
		if server == nil {
			continue
		}
		server.removed = true
		closing = append(closing, server.removeIdle()...)
		delete(group.servers, name)
		group.departed.add(name, server.leavingSince)
		if group.leadership.Server == name {
			group.presumePrimary("", now)
			group.adoptRegisteredPrimary(now)
		}
		event.Log(pool.logger, event.ServerRemoved, zap.String("Group", string(group.name)),
			zap.String("Server", string(name)))
	}
	return closing
}

// RecordPrimary records that a server acted as primary, with its log position and the time of the request.
func (pool *Pool) RecordPrimary(name spool.Group, server spool.Server, watermark fresh.Watermark) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	group := pool.group(name)
	if group.setPrimary(server, watermark, now) {
		pool.divideConnections(group)
		event.Log(pool.logger, event.PrimaryFound, zap.String("Group", string(name)),
			zap.String("Server", string(server)), zap.Uint64("Term", uint64(group.term)))
		pool.dispatchAll(group, now)
	}
}

// RecordNotPrimary records that a server refused to act as primary.
func (pool *Pool) RecordNotPrimary(name spool.Group, server spool.Server) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	group.rejectPrimary(server, pool.timers.Now())
	event.Log(pool.logger, event.PrimaryRoleRefused, zap.String("Group", string(name)),
		zap.String("Server", string(server)), zap.String("Next", string(group.leadership.Server)))
}

// RecordCommit records the position of a commit that a server completed and when it was sent. It returns false if the commit must
// not be acknowledged unless ConfirmCommit records it, since another server may be promoted without it.
func (pool *Pool) RecordCommit(name spool.Group, server spool.Server, position spool.LogPosition, sent spool.Instant) bool {
	step, _ := pool.recordConfirmed(name, server, position, sent)
	return step == elect.Acknowledge
}

// recordCommit records a commit that may be acknowledged; the caller holds the mutex.
func (pool *Pool) recordCommit(group *group, server spool.Server, position spool.LogPosition, sent spool.Instant) {
	group.ackedPosition, group.ackedSent = group.ackedPosition.Max(position), max(group.ackedSent, sent)
	if group.leadership.RecordAnswer(server, sent, pool.timers.Now()) {
		group.leadership.commitBreaker.RecordSuccess()
	}
}

// MayCommit reports whether a commit, or a statement that a commit will follow, may be sent to the primary of a group, or how
// long to wait before the next attempt: a primary that does not answer commits gets few of them, one that is being replaced none
// while its commits are closed.
func (pool *Pool) MayCommit(name spool.Group, isCommit bool) (wait time.Duration, allowed bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(name), pool.timers.Now()
	if closed := group.closures.Refuse(group.leadership.Server, now); closed > 0 {
		return min(closedRetryAfter, closed), false
	}
	if isCommit {
		return group.leadership.commitBreaker.Allow(now)
	}
	return group.leadership.commitBreaker.Check(now)
}

// RecordCommitTimeout records that a server did not answer a commit in time, which counts if it is still the presumed primary.
func (pool *Pool) RecordCommitTimeout(name spool.Group, server spool.Server, sent spool.Instant) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	if group.leadership.RecordTimeout(server, sent) {
		group.leadership.commitBreaker.RecordFailure(pool.timers.Now())
	}
}

// CommitStats returns the outcomes of the recent commits that this proxy sent to a server as the group's primary; there are none if
// it takes another server for the primary.
func (pool *Pool) CommitStats(name spool.Group, server spool.Server) elect.CommitStats {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).leadership.CommitStats(server, pool.timers.Now())
}

// KnownReadPosition is like ReadPosition, but never fetches a watermark.
func (pool *Pool) KnownReadPosition(name spool.Group, since spool.Instant) (spool.LogPosition, bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).watermarks.Covering(since)
}

// group returns the group with a name and creates it if needed; the caller holds the mutex.
func (pool *Pool) group(name spool.Group) *group {
	existing := pool.groups[name]
	if existing == nil {
		existing = &group{
			name: name, servers: map[spool.Server]*server{}, waiters: queue.New[*waiter](),
			closures: elect.Closures{Startup: pool.startup}, chosenStatus: map[spool.Server]*chosenStatus{},
		}
		existing.waiters.SetPrioritized(pool.prioritized)
		pool.groups[name] = existing
	}
	return existing
}

// divideConnections sets how many connections this proxy may have to each server of a group. Most go to the proxies near
// the server, which lend them; the others get a few for when no lender is reachable.
func (pool *Pool) divideConnections(group *group) {
	weights := make([]float64, len(pool.proxyDomains))
	for _, server := range group.servers {
		for i, domain := range pool.proxyDomains {
			weights[i] = place.FarWeight
			if pool.sameRegion(domain, server.spec.Domain) {
				weights[i] = place.NearWeight
			}
		}
		shared := group.limits.Connections - unsharedConns
		server.limit = max(1, place.ConnectionShare(shared, weights, pool.selfIndex))
		server.retainLimit = place.ConnectionShare(shared/2, weights, pool.selfIndex)
	}
}

// removeIdle removes and returns the idle connections to the server; the caller closes them.
func (server *server) removeIdle() []*Conn {
	idle := server.idle
	server.idle = nil
	server.open -= len(idle)
	return idle
}

func closeAll(conns []*Conn) {
	for _, conn := range conns {
		_ = conn.Close() // an idle connection has no transaction to lose
	}
}

// Close closes the idle connections.
func (pool *Pool) Close(context.Context) { closeAll(pool.removeAllIdle()) }

// removeAllIdle removes and returns the idle connections to all servers; the caller closes them.
func (pool *Pool) removeAllIdle() (idle []*Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, group := range pool.groups {
		for _, server := range group.servers {
			idle = append(idle, server.removeIdle()...)
		}
	}
	return idle
}
