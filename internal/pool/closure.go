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

// covers reports whether a commit of a server at a position must not be acknowledged.
func (closure *commitClosure) covers(server spool.Server, term spool.Term, now spool.Instant) bool {
	if now >= closure.until {
		return false
	}
	return server == closure.server || closure.server == "" && term <= closure.term
}

// CloseCommits stops acknowledging commits of a server, or of every server of the terms known so far if none is named, for
// elect.CommitHold. It returns the position of the newest commit that this proxy acknowledged.
func (pool *Pool) CloseCommits(name spool.Group, server spool.Server) spool.LogPosition {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	group.closed = commitClosure{server: server, term: group.term, until: pool.timers.Now().Add(elect.CommitHold)}
	return group.ackedPosition
}
