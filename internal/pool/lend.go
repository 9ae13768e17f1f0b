package pool

import (
	"context"
	"fmt"
	"time"

	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/pkg/spool"
)

// LoanRefusal is a lender's answer that it does not lend a connection.
type LoanRefusal struct {
	Reason     string
	RetryAfter time.Duration // expected time until a connection is free; zero if it is not known
	InUse      bool          // all connections were in use, so that waiting may help; not sent to borrowers
}

// Error returns the reason.
func (loanRefusal *LoanRefusal) Error() string {
	return "lender refused the loan: " + loanRefusal.Reason
}

// toCaller returns the refusal of a statement whose time is over.
func (loanRefusal *LoanRefusal) toCaller() *spool.Refusal {
	refusal := spool.Refuse(spool.CodeNoSlot, "all connections of the lender are in use")
	return refusal.WithRetryAfter(max(retryAfter, loanRefusal.RetryAfter)).WithCause(loanRefusal)
}

// loanWait returns how long a lender may queue a request, which is what is left until its deadline. It is zero if all routes
// have one priority, so that the lender answers at once.
func (pool *Pool) loanWait(deadline time.Time) time.Duration {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !pool.prioritized {
		return 0
	}
	return max(0, time.Until(deadline))
}

// Lend returns a connection for another proxy and the newest term of its group. If none is available it waits for one within
// the request's wait; it fails at once if that is expected to be too short, and when the context ends.
func (pool *Pool) Lend(ctx context.Context, loanRequest LoanRequest) (*Conn, spool.Term, error) {
	request := Request{
		Group: loanRequest.Group, Team: loanRequest.Team, Values: loanRequest.Values, Priority: loanRequest.Priority,
		Deadline: time.Now().Add(loanRequest.Wait), server: loanRequest.Server,
	}
	for {
		granted, term, err := pool.reserveAt(ctx, request)
		if err != nil {
			return nil, 0, err
		}
		if granted.conn == nil {
			conn, err := pool.open(ctx, request, granted)
			return conn, term, err
		}
		if granted.conn.pending > 0 || !granted.conn.Stale() {
			return granted.conn, term, nil
		}
		granted.conn.MarkBroken()
		pool.Release(granted.conn)
	}
}

// reserveAt reserves a connection to the server of a request, and waits for one until the request's deadline.
func (pool *Pool) reserveAt(ctx context.Context, request Request) (grant, spool.Term, error) {
	pool.mutex.Lock()
	group := pool.group(request.Group)
	now := pool.timers.Now()
	server := group.servers[request.server]
	if server == nil || !pool.usable(server, now) {
		pool.mutex.Unlock()
		return grant{}, 0, &LoanRefusal{Reason: fmt.Sprintf("server %s is not usable here", request.server)}
	}
	granted, possible := pool.tryReserve(group, &request, now)
	if possible {
		term := group.term
		pool.mutex.Unlock()
		return granted, term, nil
	}
	if !time.Now().Before(request.Deadline) {
		pool.mutex.Unlock()
		return grant{}, 0, &LoanRefusal{
			Reason: fmt.Sprintf("all connections to server %s are in use", request.server), InUse: true,
		}
	}
	granted, refusal := pool.wait(ctx, group, request, now)
	if refusal != nil {
		return grant{}, 0, &LoanRefusal{Reason: refusal.Message, RetryAfter: refusal.RetryAfter}
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return granted, group.term, nil
}

// capacity reports what is free at the servers of a group; it implements queue.Capacity.
type capacity struct {
	pool  *Pool
	group *group
	now   spool.Instant
	// lenders is whether connections of other proxies count.
	lenders bool
}

// Free reports whether a request of a team can be served.
func (capacity capacity) Free(team spool.Team, target queue.Target) (possible, reuse bool) {
	for _, server := range capacity.group.servers {
		if !capacity.accepts(server, target) {
			continue
		}
		if server.withinWindow() {
			if server.hasIdle(team) {
				return true, true
			}
			possible = possible || server.mayOpen() && (server.open < server.limit || len(server.idle) > 0)
		}
		if !possible && capacity.lenders && target.Server == "" && !target.Local {
			possible = len(capacity.pool.lenders.PreferredLenders(server.spec.Server, server.spec.Domain, team)) > 0
		}
	}
	return possible, false
}

// accepts reports whether a server is usable for a target.
func (capacity capacity) accepts(server *server, target queue.Target) bool {
	if target.Server != "" && server.spec.Server != target.Server || target.Primary && server.spec.Server != capacity.group.primary {
		return false
	}
	if !capacity.pool.usable(server, capacity.now) {
		return false
	}
	return target.Server != "" || !capacity.group.cold(server, capacity.now) ||
		capacity.pool.warmupTokens.Available(capacity.group.warmupServer(server), capacity.now)
}

// hasIdle reports whether a connection of a team is idle.
func (server *server) hasIdle(team spool.Team) bool {
	for _, conn := range server.idle {
		if conn.team == team {
			return true
		}
	}
	return false
}
