package pool

import (
	"context"
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
	MinPosition spool.LogPosition // that a replica must have applied
	Priority    int               // zero is served first
	Deadline    time.Time         // for obtaining a connection
	IdleTimeout time.Duration     // longest wait for an answer or for the next statement
	refusedBy   []spool.VM        // proxies that did not lend a connection
}

// waiter is a session in the queue for a connection.
type waiter struct {
	Request
	grants chan grant
}

// grant reserves an idle connection, or the right to open or borrow one.
type grant struct {
	server  *server
	conn    *Conn    // nil if one is to be opened or borrowed
	evicted *Conn    // idle connection of another team to close first, so that the limit holds
	lender  spool.VM // proxy to borrow from; empty if one is to be opened
}

// Acquire returns a connection for a session, or a refusal if none is available in time; after a refusal no statement of the
// session was sent to a server.
func (pool *Pool) Acquire(ctx context.Context, request Request) (*Conn, *spool.Refusal) {
	for {
		granted, refusal := pool.waitForGrant(ctx, request)
		if refusal != nil {
			return nil, refusal
		}
		if granted.lender != "" {
			if conn := pool.borrow(ctx, request, granted); conn != nil {
				return conn, nil
			}
			request.refusedBy = append(request.refusedBy, granted.lender)
			continue
		}
		if granted.conn != nil {
			if granted.conn.pending > 0 || !granted.conn.Stale() {
				return granted.conn, nil
			}
			granted.conn.MarkBroken()
			pool.Release(granted.conn)
			continue
		}
		conn, err := pool.open(ctx, request, granted)
		if err == nil {
			return conn, nil
		}
		if ctx.Err() != nil || time.Now().After(request.Deadline) {
			return nil, spool.Refuse(spool.CodeNoSlot, "no connection to a server in time").WithRetryAfter(retryAfter).WithCause(err)
		}
	}
}

// waitForGrant returns a grant, or queues the request until one is available or its deadline passes.
func (pool *Pool) waitForGrant(ctx context.Context, request Request) (grant, *spool.Refusal) {
	pool.mutex.Lock()
	group := pool.group(request.Group)
	now := pool.timers.Now()
	granted, possible := pool.tryReserve(group, &request, now)
	if possible {
		pool.mutex.Unlock()
		return granted, nil
	}
	if wait := pool.expectedWait(group, &request); wait > time.Until(request.Deadline) {
		pool.mutex.Unlock()
		return grant{}, spool.Refuse(spool.CodeNoSlot, "too many statements wait for the server").WithRetryAfter(max(wait, retryAfter))
	}
	waiting := &waiter{Request: request, grants: make(chan grant, 1)}
	group.waiters = append(group.waiters, waiting)
	slices.SortStableFunc(group.waiters, func(left, right *waiter) int { return left.Priority - right.Priority })
	if request.Primary && group.primaryServer() == nil {
		pool.startProbing(group, request.Team)
	}
	pool.startDispatchTimer(group)
	pool.mutex.Unlock()
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case granted := <-waiting.grants:
		return granted, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return pool.cancelWait(group, waiting)
}

// cancelWait removes a waiter from the queue, or returns the grant that it has received meanwhile.
func (pool *Pool) cancelWait(group *group, waiting *waiter) (grant, *spool.Refusal) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	select {
	case granted := <-waiting.grants:
		return granted, nil
	default:
	}
	group.waiters = slices.DeleteFunc(group.waiters, func(other *waiter) bool { return other == waiting })
	if waiting.Primary && (group.primaryServer() == nil || !pool.usable(group.primaryServer(), pool.timers.Now())) {
		return grant{}, spool.Refuse(spool.CodeNoPrimary, "no primary").WithRetryAfter(2 * retryAfter)
	}
	return grant{}, spool.Refuse(spool.CodeNoSlot, "all connections are in use").WithRetryAfter(retryAfter)
}

// tryReserve reserves a connection without waiting; the caller holds the mutex.
func (pool *Pool) tryReserve(group *group, request *Request, now spool.Instant) (grant, bool) {
	if request.Primary {
		primary := group.primaryServer()
		if primary == nil || !pool.usable(primary, now) || slices.Contains(request.Avoid, primary.spec.Server) {
			return grant{}, false
		}
		return pool.reserve(primary, request)
	}
	var servers []*server
	var candidates []place.Candidate
	for _, server := range group.servers {
		if !pool.usable(server, now) || server.leavingSince != 0 || slices.Contains(request.Avoid, server.spec.Server) {
			continue
		}
		if server.spec.Server != group.primary && server.lag.LikelyBehind(request.MinPosition, now) {
			continue
		}
		servers = append(servers, server)
		candidates = append(candidates, place.Candidate{
			ExpectedLatency: server.roundTrip + server.health.ExpectedLatency(now),
			InFlight:        server.busy + server.borrowed,
			Primary:         server.spec.Server == group.primary,
		})
	}
	for len(servers) > 0 {
		best := place.Best(candidates)
		if granted, possible := pool.reserve(servers[best], request); possible {
			return granted, true
		}
		servers, candidates = slices.Delete(servers, best, best+1), slices.Delete(candidates, best, best+1)
	}
	return grant{}, false
}

// reserve reserves an idle connection, a connection of a lender, or the right to open one, in that order.
func (pool *Pool) reserve(server *server, request *Request) (grant, bool) {
	if conn := server.popBestIdle(request); conn != nil {
		return grant{server: server, conn: conn}, true
	}
	if lender := pool.chooseLender(server, request); lender != "" {
		server.borrowed++
		return grant{server: server, lender: lender}, true
	}
	return server.reserveNew()
}

// reserveLocal is like reserve, but does not borrow.
func (pool *Pool) reserveLocal(server *server, request *Request) (grant, bool) {
	if conn := server.popBestIdle(request); conn != nil {
		return grant{server: server, conn: conn}, true
	}
	return server.reserveNew()
}

// popBestIdle removes and returns the team's idle connection whose session values match best, or returns nil.
func (server *server) popBestIdle(request *Request) *Conn {
	if !server.withinWindow() {
		return nil
	}
	best, bestFit := -1, fitReset+1
	for i, conn := range server.idle {
		if conn.team != request.Team {
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

// open opens the connection that a grant allows.
func (pool *Pool) open(ctx context.Context, request Request, granted grant) (*Conn, error) {
	if granted.evicted != nil {
		_ = granted.evicted.Close() // an idle connection has no transaction to lose
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	spec := granted.server.spec
	target := spool.ServerTarget{Group: spec.Group, Server: spec.Server, Address: spec.Address, Team: request.Team}
	began := pool.timers.Now()
	serverConn, position, err := pool.connect(ctx, granted.server, target)
	if err != nil {
		pool.recordOpenFailure(granted.server, err, began)
		return nil, err
	}
	pool.recordOpened(granted.server, position)
	return &Conn{
		ServerConn: serverConn, server: granted.server, team: request.Team,
		values: map[string]string{}, prepared: map[string]string{},
	}, nil
}

func (pool *Pool) recordOpened(server *server, position spool.LogPosition) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	server.handshakes--
	group := pool.group(server.group)
	group.term = max(group.term, position.Term)
	pool.dispatch(group, pool.timers.Now())
}

func (pool *Pool) recordOpenFailure(server *server, cause error, began spool.Instant) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	server.open--
	server.busy--
	server.handshakes--
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
	pool.mutex.Lock()
	now := pool.timers.Now()
	server := conn.server
	server.markActive(conn)
	server.busy--
	closing := conn.broken || server.removed || server.open > server.retainLimit
	if closing {
		server.open--
	} else {
		server.idle = append(server.idle, conn)
	}
	pool.dispatch(pool.group(server.group), now)
	pool.mutex.Unlock()
	if closing {
		_ = conn.Close() // the server rolls back an open transaction
	}
}

// RecordFailure records that a server did not answer, and marks the connection as broken.
func (pool *Pool) RecordFailure(conn *Conn, cause error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.MarkBroken()
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

// dispatch grants connections to waiters in the order of the queue; the caller holds the mutex.
func (pool *Pool) dispatch(group *group, now spool.Instant) {
	group.waiters = slices.DeleteFunc(group.waiters, func(waiting *waiter) bool {
		granted, possible := pool.tryReserve(group, &waiting.Request, now)
		if possible {
			waiting.grants <- granted
		}
		return possible
	})
}

// startDispatchTimer dispatches periodically while there are waiters, since the backoff of a failed server ends without an
// event.
func (pool *Pool) startDispatchTimer(group *group) {
	if group.dispatchTimerRunning {
		return
	}
	group.dispatchTimerRunning = true
	var stop func()
	stop = pool.timers.Every(dispatchPeriod, spool.TimerFunc(func(now spool.Instant) {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.dispatch(group, now)
		if len(group.waiters) == 0 && group.dispatchTimerRunning {
			group.dispatchTimerRunning = false
			stop()
		}
	}))
}
