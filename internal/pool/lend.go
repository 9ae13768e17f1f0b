package pool

import (
	"context"
	"fmt"
	"slices"
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
	granted, term, item, err := pool.reserveOrQueueAt(&request)
	if item == nil {
		return granted, term, err
	}
	granted, refusal := pool.awaitGrant(ctx, item)
	if refusal != nil {
		return grant{}, 0, toLoanRefusal(refusal)
	}
	return granted, pool.newestTerm(request.Group), nil
}

// reserveOrQueueAt is like reserveOrQueue for the server of a request, and returns the group's newest term with a grant.
func (pool *Pool) reserveOrQueueAt(request *Request) (grant, spool.Term, *queue.Item[*waiter], error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(request.Group), pool.timers.Now()
	server := group.servers[request.server]
	if server == nil || !pool.usable(server, now) {
		return grant{}, 0, nil, &LoanRefusal{Reason: fmt.Sprintf("server %s is not usable here", request.server)}
	}
	if granted, possible := pool.tryReserve(group, request, now); possible {
		return granted, group.term, nil, nil
	}
	if !time.Now().Before(request.Deadline) {
		return grant{}, 0, nil, &LoanRefusal{
			Reason: fmt.Sprintf("all connections to server %s are in use", request.server), InUse: true,
		}
	}
	item, refusal := pool.enqueue(group, request, now)
	if refusal != nil {
		return grant{}, 0, nil, toLoanRefusal(refusal)
	}
	return grant{}, 0, item, nil
}

func toLoanRefusal(refusal *spool.Refusal) *LoanRefusal {
	return &LoanRefusal{Reason: refusal.Message, RetryAfter: refusal.RetryAfter}
}

// newestTerm returns the newest term of a group that this proxy knows.
func (pool *Pool) newestTerm(name spool.Group) spool.Term {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).term
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
	if target.Server != "" && server.spec.Server != target.Server || target.Primary && server.spec.Server != capacity.group.leadership.Server {
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
	return slices.ContainsFunc(server.idle, func(conn *Conn) bool { return conn.team == team })
}
