package pool

import (
	"time"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/pkg/spool"
)

// closedRetryAfter is the retry hint to callers whose commit was refused because the primary is being replaced.
const closedRetryAfter = 500 * time.Millisecond

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

// CloseCommits stops acknowledging the commits that a closure covers, for elect.CommitHold. A term of zero, which older versions ask
// for, stands for the newest one that this proxy knows. It returns the newest commit that this proxy has acknowledged, and false if
// a closure with a newer token is in force instead.
func (pool *Pool) CloseCommits(name spool.Group, closure elect.Closure) (acked Acked, closed bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	if closure.Term == 0 {
		closure.Term = group.term
	}
	now := pool.timers.Now()
	closure.Until = now.Add(elect.CommitHold)
	closed = group.closures.Add(closure, now)
	return pool.acked(group), closed
}
