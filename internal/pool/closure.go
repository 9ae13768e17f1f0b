package pool

import (
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/pkg/spool"
)

// closedRetryAfter is the retry hint to callers whose commit was refused because the primary is being replaced.
const closedRetryAfter = 500 * time.Millisecond

// commitClosure is a primary whose commits are not acknowledged while it is being replaced.
type commitClosure struct {
	server spool.Server // empty means any server of a term up to the one below
	term   spool.Term
	until  spool.Instant
}

// covers reports whether a commit that was sent to a server of a term must not be acknowledged, however late the answer comes.
func (closure *commitClosure) covers(server spool.Server, term spool.Term, sent spool.Instant) bool {
	if sent >= closure.until {
		return false
	}
	return server == closure.server || closure.server == "" && term <= closure.term
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

// CloseCommits stops acknowledging commits of a server, or of every server of the terms known so far if none is named, for
// elect.CommitHold. It returns the newest commit that this proxy has acknowledged.
func (pool *Pool) CloseCommits(name spool.Group, server spool.Server) Acked {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	group.closed = commitClosure{server: server, term: group.term, until: pool.timers.Now().Add(elect.CommitHold)}
	return pool.acked(group)
}
