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
	Primary     bool // only the primary will do
	Avoid       []spool.Server
	After       spool.LogPosition // that a replica must have
	Priority    int               // zero goes first
	Deadline    time.Time         // of waiting for a connection
	IdleTimeout time.Duration     // longest wait for an answer or the next statement
	refused     []spool.VM        // proxies that lent none
}

// waiter is a session that waits for a connection.
type waiter struct {
	Request
	granted chan grant
}

// grant is a right to use a server: an idle connection or the right to open one.
type grant struct {
	server *server
	conn   *Conn    // nil if one is to be borrowed or opened
	closed *Conn    // idle connection of another team that makes room
	lender spool.VM // to borrow from; empty if one is to be opened
}

// Acquire returns a connection; a *spool.Refusal says that nothing was sent.
func (pool *Pool) Acquire(ctx context.Context, want Request) (*Conn, *spool.Refusal) {
	for {
		granted, refusal := pool.await(ctx, want)
		if refusal != nil {
			return nil, refusal
		}
		if granted.lender != "" {
			if conn := pool.borrow(ctx, want, granted); conn != nil {
				return conn, nil
			}
			want.refused = append(want.refused, granted.lender)
			continue
		}
		if granted.conn != nil {
			if granted.conn.owed > 0 || !granted.conn.Stale() {
				return granted.conn, nil
			}
			granted.conn.MarkBroken()
			pool.Release(granted.conn)
			continue
		}
		conn, err := pool.open(ctx, want, granted)
		if err == nil {
			return conn, nil
		}
		if ctx.Err() != nil || time.Now().After(want.Deadline) {
			return nil, spool.Refuse(spool.CodeNoSlot, "no connection to a server in time").WithRetryAfter(retryPause).WithCause(err)
		}
	}
}

// await returns a grant at once or as soon as there is one.
func (pool *Pool) await(ctx context.Context, want Request) (grant, *spool.Refusal) {
	pool.mutex.Lock()
	group := pool.group(want.Group)
	now := pool.timers.Now()
	granted, possible := pool.try(group, &want, now)
	if possible {
		pool.mutex.Unlock()
		return granted, nil
	}
	if wait := pool.expect(group, &want); wait > time.Until(want.Deadline) {
		pool.mutex.Unlock()
		return grant{}, spool.Refuse(spool.CodeNoSlot, "too many statements wait for the server").WithRetryAfter(max(wait, retryPause))
	}
	waiting := &waiter{Request: want, granted: make(chan grant, 1)}
	group.waiters = append(group.waiters, waiting)
	slices.SortStableFunc(group.waiters, func(left, right *waiter) int { return left.Priority - right.Priority })
	if want.Primary && group.primaryServer() == nil {
		pool.startProbing(group, want.Team)
	}
	pool.startRetrying(group)
	pool.mutex.Unlock()
	timer := time.NewTimer(time.Until(want.Deadline))
	defer timer.Stop()
	select {
	case granted := <-waiting.granted:
		return granted, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return pool.giveUp(group, waiting)
}

// giveUp ends a wait; a grant that came meanwhile is used.
func (pool *Pool) giveUp(group *group, waiting *waiter) (grant, *spool.Refusal) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	select {
	case granted := <-waiting.granted:
		return granted, nil
	default:
	}
	group.waiters = slices.DeleteFunc(group.waiters, func(other *waiter) bool { return other == waiting })
	if waiting.Primary && (group.primaryServer() == nil || !pool.usable(group.primaryServer(), pool.timers.Now())) {
		return grant{}, spool.Refuse(spool.CodeNoPrimary, "no primary").WithRetryAfter(2 * retryPause)
	}
	return grant{}, spool.Refuse(spool.CodeNoSlot, "all connections are in use").WithRetryAfter(retryPause)
}

// try reserves a connection for a want if one is free; the caller holds the mutex.
func (pool *Pool) try(group *group, want *Request, now spool.Instant) (grant, bool) {
	if want.Primary {
		primary := group.primaryServer()
		if primary == nil || !pool.usable(primary, now) || slices.Contains(want.Avoid, primary.spec.Server) {
			return grant{}, false
		}
		return pool.reserve(primary, want)
	}
	var servers []*server
	var candidates []place.Candidate
	for _, server := range group.servers {
		if !pool.usable(server, now) || server.leaving != 0 || slices.Contains(want.Avoid, server.spec.Server) {
			continue
		}
		if server.spec.Server != group.primary && server.lag.LikelyBehind(want.After, now) {
			continue
		}
		servers = append(servers, server)
		candidates = append(candidates, place.Candidate{
			ExpectedLatency: server.distance + server.health.ExpectedLatency(now),
			InFlight:        server.busy + server.borrowed,
			Primary:         server.spec.Server == group.primary,
		})
	}
	for len(servers) > 0 {
		best := place.Best(candidates)
		if granted, possible := pool.reserve(servers[best], want); possible {
			return granted, true
		}
		servers, candidates = slices.Delete(servers, best, best+1), slices.Delete(candidates, best, best+1)
	}
	return grant{}, false
}

// reserve takes an idle connection, the way to a lender, or room for a new connection.
func (pool *Pool) reserve(server *server, want *Request) (grant, bool) {
	if conn := server.takeFitting(want); conn != nil {
		return grant{server: server, conn: conn}, true
	}
	if lender := pool.lender(server, want); lender != "" {
		server.borrowed++
		return grant{server: server, lender: lender}, true
	}
	return server.makeRoom()
}

// reserveOwn is like reserve without lenders.
func (pool *Pool) reserveOwn(server *server, want *Request) (grant, bool) {
	if conn := server.takeFitting(want); conn != nil {
		return grant{server: server, conn: conn}, true
	}
	return server.makeRoom()
}

// takeFitting takes the idle connection of the team that fits best, or returns nil.
func (server *server) takeFitting(want *Request) *Conn {
	if !server.hasTime() {
		return nil
	}
	best, bestFit := -1, fitReset+1
	for i, conn := range server.idle {
		if conn.team != want.Team {
			continue
		}
		if fit := conn.fits(want.Values); fit < bestFit {
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

// makeRoom grants a new connection, in place of the idle one of another team that rested longest if need be.
func (server *server) makeRoom() (grant, bool) {
	if !server.hasTime() || !server.mayOpen() {
		return grant{}, false
	}
	if server.open < server.limit {
		server.open++
		server.busy++
		server.opening++
		return grant{server: server}, true
	}
	if len(server.idle) == 0 {
		return grant{}, false
	}
	closed := server.idle[0] // idle for the longest time
	server.idle = slices.Delete(server.idle, 0, 1)
	server.busy++
	server.opening++
	return grant{server: server, closed: closed}, true
}

// open opens a connection on a grant.
func (pool *Pool) open(ctx context.Context, want Request, granted grant) (*Conn, error) {
	if granted.closed != nil {
		_ = granted.closed.Close() // an idle connection holds nothing
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	spec := granted.server.spec
	target := spool.ServerTarget{Group: spec.Group, Server: spec.Server, Address: spec.Address, Team: want.Team}
	began := pool.timers.Now()
	serverConn, position, err := pool.link(ctx, granted.server, target)
	if err != nil {
		pool.openFailed(granted.server, err, began)
		return nil, err
	}
	pool.opened(granted.server, position)
	return &Conn{
		ServerConn: serverConn, server: granted.server, team: want.Team,
		values: map[string]string{}, prepared: map[string]string{},
	}, nil
}

func (pool *Pool) opened(server *server, position spool.LogPosition) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	server.opening--
	group := pool.group(server.spec.Group)
	group.term = max(group.term, position.Term)
	pool.dispatch(group, pool.timers.Now())
}

func (pool *Pool) openFailed(server *server, cause error, began spool.Instant) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	server.open--
	server.busy--
	server.opening--
	server.health.RecordFailure(now)
	event.Log(pool.logger, event.ServerConnectFailed, zap.String("Group", string(server.spec.Group)),
		zap.String("Server", string(server.spec.Server)), zap.Duration("Took", now.Sub(began)),
		zap.Int("Failures", server.health.ConsecutiveFailures()), event.Cause(cause))
	pool.dispatch(pool.group(server.spec.Group), now)
}

// Release gives a connection back.
func (pool *Pool) Release(conn *Conn) {
	if conn.loan != nil {
		pool.giveBack(conn)
		return
	}
	if conn.late && !conn.broken {
		go pool.settleLate(conn)
		return
	}
	pool.mutex.Lock()
	now := pool.timers.Now()
	server := conn.server
	server.resume(conn)
	server.busy--
	closing := conn.broken || server.gone || server.open > server.keep
	if closing {
		server.open--
	} else {
		server.idle = append(server.idle, conn)
	}
	pool.dispatch(pool.group(server.spec.Group), now)
	pool.mutex.Unlock()
	if closing {
		_ = conn.Close() // broken or of a server that is gone; its transaction is rolled back
	}
}

// RecordFailure notes that a server gave no answer and marks the connection as unusable.
func (pool *Pool) RecordFailure(conn *Conn, cause error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.MarkBroken()
	server := conn.server
	now := pool.timers.Now()
	var closing []*Conn
	if conn.serverFault(cause) {
		server.health.RecordFailure(now)
		closing = server.takeIdle()
	}
	event.Log(pool.logger, event.ServerNotAnswering, zap.String("Group", string(server.spec.Group)),
		zap.String("Server", string(server.spec.Server)), zap.Int("Failures", server.health.ConsecutiveFailures()), event.Cause(cause))
	go closeAll(closing)
}

// dispatch serves waiting sessions in order; the caller holds the mutex.
func (pool *Pool) dispatch(group *group, now spool.Instant) {
	group.waiters = slices.DeleteFunc(group.waiters, func(waiting *waiter) bool {
		granted, possible := pool.try(group, &waiting.Request, now)
		if possible {
			waiting.granted <- granted
		}
		return possible
	})
}

// startRetrying tries again for waiting sessions while there are any, since a block of a server ends without an event.
func (pool *Pool) startRetrying(group *group) {
	if group.retrying {
		return
	}
	group.retrying = true
	var stop func()
	stop = pool.timers.Every(retryPeriod, spool.TimerFunc(func(now spool.Instant) {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.dispatch(group, now)
		if len(group.waiters) == 0 && group.retrying {
			group.retrying = false
			stop()
		}
	}))
}
