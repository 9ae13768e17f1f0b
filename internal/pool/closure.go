package pool

import (
	"slices"
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/pkg/spool"
)

// closureTTL is how long after its end a closure is kept, for the late answers of commits that were sent before. Requests between
// proxies and servers end sooner.
const closureTTL = time.Minute

// closedRetryAfter is the retry hint to callers whose commit was refused because the primary is being replaced.
const closedRetryAfter = 500 * time.Millisecond

// commitClosure is a primary whose commits are not acknowledged while it is being replaced. A primary that starts again has
// another ID but leads the same term.
type commitClosure struct {
	server  spool.Server // empty if it is not known
	address string       // where it starts again; empty if it is not known
	term    spool.Term   // newest term that is covered
	until   spool.Instant
}

// covers reports whether a commit that was sent to a server of a term must not be acknowledged, however late the answer comes.
func (closure *commitClosure) covers(server spool.Server, term spool.Term, sent spool.Instant) bool {
	return sent < closure.until && (server == closure.server || term <= closure.term)
}

// refuses reports whether no statement may be sent to a primary that a commit would follow. Its term does not tell: the position of a
// server that was just promoted is of the term before until its first commit.
func (closure *commitClosure) refuses(primary *server, now spool.Instant) bool {
	if now >= closure.until {
		return false
	}
	return primary.name == closure.server || closure.address != "" && primary.spec.Address == closure.address
}

// commitClosures are the closures that supervisors asked for. Another one may be asked for before the first has ended.
type commitClosures []commitClosure

// add adds a closure, which replaces an earlier one of the same server and term, and forgets those that cover nothing any more.
func (closures *commitClosures) add(closure commitClosure, now spool.Instant) {
	*closures = slices.DeleteFunc(*closures, func(other commitClosure) bool {
		return now.Sub(other.until) > closureTTL || other.server == closure.server && other.term == closure.term
	})
	*closures = append(*closures, closure)
}

// covers reports whether any closure covers a commit.
func (closures commitClosures) covers(server spool.Server, term spool.Term, sent spool.Instant) bool {
	return slices.ContainsFunc(closures, func(closure commitClosure) bool { return closure.covers(server, term, sent) })
}

// closedUntil returns when the last closure of the presumed primary ends, or zero if its commits are acknowledged.
func (group *group) closedUntil(now spool.Instant) (until spool.Instant) {
	primary := group.primaryServer()
	if primary == nil {
		return 0
	}
	for _, closure := range group.closures {
		if closure.refuses(primary, now) {
			until = max(until, closure.until)
		}
	}
	return until
}

// Acked is the newest commit of a group that a proxy has acknowledged.
type Acked struct {
	Position  spool.LogPosition
	Knowledge elect.AckedKnowledge
}

// Acked returns the newest commit of a group that this proxy has acknowledged since its start.
func (pool *Pool) Acked(name spool.Group) Acked {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.acked(pool.group(name))
}

func (pool *Pool) acked(group *group) Acked {
	now, acked := pool.timers.Now(), Acked{Position: group.ackedPosition}
	if !pool.firstStart {
		acked.Knowledge.Restarted = max(1, now.Sub(pool.started))
	}
	if group.ackedSent != 0 {
		acked.Knowledge.AckedAge = max(1, now.Sub(group.ackedSent))
	}
	return acked
}

// WithFirstStart tells that no earlier process of this proxy has acknowledged commits.
func WithFirstStart(firstStart bool) Option { return func(pool *Pool) { pool.firstStart = firstStart } }

// CloseCommits stops acknowledging commits of a server, and of all servers in terms up to the given one, for elect.CommitHold. A
// term of zero, which older versions ask for, stands for the newest one that this proxy knows. It returns the newest commit
// that this proxy has acknowledged.
func (pool *Pool) CloseCommits(name spool.Group, server spool.Server, term spool.Term) Acked {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	if term == 0 {
		term = group.term
	}
	now := pool.timers.Now()
	closure := commitClosure{server: server, term: term, until: now.Add(elect.CommitHold)}
	if closed := group.servers[server]; closed != nil {
		closure.address = closed.spec.Address
	}
	group.closures.add(closure, now)
	return pool.acked(group)
}
