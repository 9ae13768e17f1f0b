package pool

import (
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/pkg/spool"
)

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

// commitsClosed reports whether the presumed primary is the one whose commits are not acknowledged. Its term does not tell: the
// position of a server that was just promoted is of the term before until its first commit.
func (group *group) commitsClosed(now spool.Instant) bool {
	primary := group.primaryServer()
	if primary == nil || now >= group.closed.until {
		return false
	}
	return primary.name == group.closed.server || group.closed.address != "" && primary.spec.Address == group.closed.address
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
	group.closed = commitClosure{server: server, term: term, until: pool.timers.Now().Add(elect.CommitHold)}
	if closed := group.servers[server]; closed != nil {
		group.closed.address = closed.spec.Address
	}
	return pool.acked(group)
}
