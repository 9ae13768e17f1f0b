package pool

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// Request describes the connection that a session needs.
type Request struct {
	Group       spool.Group
	Team        spool.Team
	Values      map[string]string
	Primary     bool // only the primary is acceptable
	Avoid       []spool.Server
	MinPosition spool.LogPosition              // that a replica must have applied
	Priority    int                            // zero is served first
	Deadline    time.Time                      // for obtaining a connection
	IdleTimeout time.Duration                  // longest wait for an answer or for the next statement
	Allowed     func(domain spool.Domain) bool // reports whether a failure domain is in the home regions; nil allows all
	work        place.Work
	refusedBy   []spool.VM   // proxies that did not lend a connection
	server      spool.Server // the only acceptable server, whose connection is lent to another proxy; empty for a session
}

// grant reserves an idle connection, or the right to open or borrow one.
type grant struct {
	server       *server
	conn         *Conn         // nil if one is to be opened or borrowed
	evicted      *Conn         // idle connection of another team to close first, so that the limit holds
	lender       spool.VM      // proxy to borrow from; empty if one is to be opened
	warmupExpiry spool.Instant // of the token for a server that warms up; zero if there is none
	refusal      *spool.Refusal
}

// Acquire returns a connection for a session, or a refusal if none is available in time; after a refusal no statement of the
// session was sent to a server.
func (pool *Pool) Acquire(ctx context.Context, request Request) (*Conn, *spool.Refusal) {
	for {
		if ctx.Err() != nil {
			return nil, refuseCanceled(ctx)
		}
		granted, refusal := pool.waitForGrant(ctx, request)
		if refusal != nil {
			return nil, refusal
		}
		if granted.lender != "" {
			conn, loanRefusal := pool.borrow(ctx, request, granted)
			if conn != nil {
				conn.warmupExpiry = granted.warmupExpiry
				return conn, nil
			}
			if loanRefusal != nil && loanRefusal.RetryAfter > 0 && time.Now().After(request.Deadline) {
				return nil, loanRefusal.toCaller()
			}
			request.refusedBy = append(request.refusedBy, granted.lender)
			continue
		}
		if granted.conn != nil {
			if granted.conn.pending > 0 || !granted.conn.Stale() {
				granted.conn.warmupExpiry = granted.warmupExpiry
				return granted.conn, nil
			}
			granted.conn.MarkBroken()
			pool.Release(granted.conn)
			continue
		}
		conn, err := pool.open(ctx, request, granted)
		if err == nil && ctx.Err() != nil {
			pool.Release(conn)
			return nil, refuseCanceled(ctx)
		}
		if err == nil {
			conn.warmupExpiry = granted.warmupExpiry
			return conn, nil
		}
		if ctx.Err() != nil || time.Now().After(request.Deadline) {
			return nil, spool.Refuse(spool.CodeNoSlot, "no connection to a server in time").WithRetryAfter(retryAfter).WithCause(err)
		}
	}
}

// tryReserve reserves a connection without waiting; the caller holds the mutex.
func (pool *Pool) tryReserve(group *group, request *Request, now spool.Instant) (grant, bool) {
	if request.server != "" {
		server := group.servers[request.server]
		if server == nil || !pool.usable(server, now) {
			return grant{}, false
		}
		return pool.reserveLocal(server, request)
	}
	if request.Primary {
		primary := group.primaryServer()
		if primary == nil || !pool.usable(primary, now) || slices.Contains(request.Avoid, primary.spec.Server) || !request.allows(primary.spec.Domain) {
			return grant{}, false
		}
		if group.cold(primary, now) {
			return pool.reserveCold(group, primary, request, now)
		}
		return pool.reserve(primary, request)
	}
	var servers, coldServers []*server
	var candidates []place.Candidate
	for _, server := range group.servers {
		if !pool.usable(server, now) || server.leavingSince != 0 || slices.Contains(request.Avoid, server.spec.Server) || !request.allows(server.spec.Domain) {
			continue
		}
		if server.spec.Server != group.leadership.Server && server.lag.LikelyBehind(request.MinPosition, now) {
			continue
		}
		if group.cold(server, now) {
			coldServers = append(coldServers, server)
			continue
		}
		servers = append(servers, server)
		candidates = append(candidates, place.Candidate{
			ExpectedLatency: server.roundTrip + server.expectedLatency(now),
			InFlight:        server.busy + server.borrowed,
			Primary:         server.spec.Server == group.leadership.Server,
		})
	}
	for len(servers) > 0 {
		best := place.Best(candidates)
		if granted, possible := pool.reserve(servers[best], request); possible {
			return granted, true
		}
		servers, candidates = slices.Delete(servers, best, best+1), slices.Delete(candidates, best, best+1)
	}
	for _, server := range coldServers {
		if granted, possible := pool.reserveCold(group, server, request, now); possible {
			return granted, true
		}
	}
	return grant{}, false
}

// reserve reserves an idle connection, a connection of a lender, or the right to open one, in that order.
func (pool *Pool) reserve(server *server, request *Request) (grant, bool) {
	if conn := pool.reserveIdle(server, request); conn != nil {
		return grant{server: server, conn: conn}, true
	}
	if lender := pool.chooseLender(server, request); lender != "" {
		server.borrowed++
		return grant{server: server, lender: lender}, true
	}
	return pool.reserveOpening(server, request)
}

// reserveLocal is like reserve, but does not borrow.
func (pool *Pool) reserveLocal(server *server, request *Request) (grant, bool) {
	if conn := pool.reserveIdle(server, request); conn != nil {
		return grant{server: server, conn: conn}, true
	}
	return pool.reserveOpening(server, request)
}

// reserveIdle reserves the team's idle connection whose session values match best, or returns nil.
func (pool *Pool) reserveIdle(server *server, request *Request) *Conn {
	conn := server.popBestIdle(request)
	if conn != nil {
		conn.heldSince = pool.timers.Now()
		pool.startUse(server, request.Team)
	}
	return conn
}

// reserveOpening reserves the right to open a connection.
func (pool *Pool) reserveOpening(server *server, request *Request) (grant, bool) {
	granted, possible := server.reserveNew()
	if possible {
		pool.startUse(server, request.Team)
	}
	return granted, possible
}

// popBestIdle removes and returns the team's idle connection whose session values match best, or returns nil.
func (server *server) popBestIdle(request *Request) *Conn {
	if !server.withinWindow() {
		return nil
	}
	best, bestFit := -1, fitReset+1
	for i, conn := range server.idle {
		if conn.team != request.Team || conn.Strays() {
			continue
		}
		if fit := conn.valueFit(request.Values); fit < bestFit {
			best, bestFit = i, fit
		}
	}
	if best < 0 {
		return nil
	}
	conn := server.idle[best]
	server.idle = slices.Delete(server.idle, best, best+1)
	server.busy++
	return conn
}

// reserveNew grants the right to open a connection; at the limit it evicts the connection that was idle longest, which is
// one of another team.
func (server *server) reserveNew() (grant, bool) {
	if !server.withinWindow() || !server.mayOpen() {
		return grant{}, false
	}
	if server.open < server.limit {
		server.open++
		server.busy++
		server.handshakes++
		return grant{server: server}, true
	}
	if len(server.idle) == 0 {
		return grant{}, false
	}
	evicted := server.idle[0] // idle for the longest time
	server.idle = slices.Delete(server.idle, 0, 1)
	server.busy++
	server.handshakes++
	return grant{server: server, evicted: evicted}, true
}

// errOpenEnded reports that opening a connection ended without a result.
var errOpenEnded = errors.New("opening the connection ended without a result")

// open opens the connection that a grant allows. It completes the handshake also if the caller leaves meanwhile: the server has
// begun it, the connection serves the next request, and a broken handshake would count as a failure of the server.
func (pool *Pool) open(ctx context.Context, request Request, granted grant) (*Conn, error) {
	if granted.evicted != nil {
		_ = granted.evicted.Close() // an idle connection has no transaction to lose
	}
	timeout := openTimeout
	if deadline, bounded := ctx.Deadline(); bounded {
		timeout = min(timeout, time.Until(deadline))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	target, domain := pool.target(granted.server, request.Team)
	began, restricted := pool.timers.Now(), pool.restricted.Load()
	err := errOpenEnded // of a panic that is recovered further up
	defer func() {
		if err != nil {
			pool.recordOpenFailure(granted.server, request.Team, err, began)
		}
	}()
	serverConn, tunneled, position, err := pool.connect(ctx, granted.server, target, request.work)
	if err != nil {
		return nil, err
	}
	pool.recordOpened(granted.server, position)
	return &Conn{
		ServerConn: serverConn, pool: pool, server: granted.server, domain: domain, team: request.Team, heldSince: began, farTunnel: tunneled && !restricted,
		values: map[string]string{}, prepared: map[string]string{},
	}, nil
}

// target returns what a new connection to a server is opened with, and the server's failure domain.
func (pool *Pool) target(server *server, team spool.Team) (spool.ServerTarget, spool.Domain) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target := spool.ServerTarget{Group: server.group, Server: server.name, Address: server.spec.Address, Team: team}
	return target, server.spec.Domain
}

func (pool *Pool) recordOpened(server *server, position spool.LogPosition) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	server.handshakes--
	group := pool.group(server.group)
	group.term = max(group.term, position.Term)
	pool.dispatch(group, pool.timers.Now())
}

func (pool *Pool) recordOpenFailure(server *server, team spool.Team, cause error, began spool.Instant) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	server.open--
	server.busy--
	server.handshakes--
	pool.stopUse(server, team)
	if unsent(cause) {
		pool.dispatch(pool.group(server.spec.Group), now)
		return
	}
	server.health.RecordFailure(now)
	event.Log(pool.logger, event.ServerConnectFailed, zap.String("Group", string(server.group)),
		zap.String("Server", string(server.name)), zap.Duration("Took", now.Sub(began)),
		zap.Int("Failures", server.health.ConsecutiveFailures()), event.Cause(cause))
	pool.dispatch(pool.group(server.group), now)
}

// Release returns a connection to the pool or its lender, and closes it if it is broken or surplus.
func (pool *Pool) Release(conn *Conn) {
	if conn.loan != nil {
		pool.returnLoan(conn)
		return
	}
	if conn.pendingLate && !conn.broken {
		go pool.awaitLateAnswers(conn)
		return
	}
	if !pool.putBack(conn) {
		_ = conn.Close() // the server rolls back an open transaction
	}
}

// putBack ends the use of a connection, which becomes idle or serves the next request; false means that the caller is to close it.
func (pool *Pool) putBack(conn *Conn) (kept bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	server := conn.server
	pool.endUse(conn)
	server.busy--
	conn.supervising = false
	surplus := server.open > server.retainLimit
	kept = pool.reusable(conn) && (!surplus || pool.prioritized)
	if kept {
		server.idle = append(server.idle, conn)
	} else {
		server.open--
	}
	pool.dispatch(pool.group(server.spec.Group), now)
	return kept && !(surplus && server.removeSurplus(conn))
}

// removeSurplus removes a connection that is still idle after a dispatch, and reports whether it did. Where requests wait, a
// surplus connection serves the next one of its team without another handshake.
func (server *server) removeSurplus(conn *Conn) bool {
	index := slices.Index(server.idle, conn)
	if index < 0 || server.open <= server.retainLimit {
		return false
	}
	server.idle = slices.Delete(server.idle, index, index+1)
	server.open--
	return true
}

// RecordFailure records that a server did not answer, and marks the connection as broken.
func (pool *Pool) RecordFailure(conn *Conn, cause error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.MarkBroken()
	if unsent(cause) {
		return
	}
	server := conn.server
	now := pool.timers.Now()
	var closing []*Conn
	if conn.serverFault(cause) {
		server.health.RecordFailure(now)
		closing = server.removeIdle()
	}
	event.Log(pool.logger, event.ServerNotAnswering, zap.String("Group", string(server.group)),
		zap.String("Server", string(server.name)), zap.Int("Failures", server.health.ConsecutiveFailures()), event.Cause(cause))
	go closeAll(closing)
}
