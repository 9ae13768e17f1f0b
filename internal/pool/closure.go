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

// WithUnknownOrders tells that promotions may have been requested before this process started; no commit is acknowledged until
// ListOrders tells which ones, for elect.OrderTTL at most.
func WithUnknownOrders() Option {
	return func(pool *Pool) { pool.startup = &elect.Startup{Began: pool.started} }
}

// ListOrders records the stored orders of all groups, which were read after this process was registered.
func (pool *Pool) ListOrders(orders map[spool.Group][]elect.Order) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for name, stored := range orders {
		pool.group(name).closures.Learn(stored, pool.timers.Now())
	}
	if pool.startup != nil {
		pool.startup.Listed = true
	}
}

// LearnOrders records stored orders of a group that other proxies may not have told this one.
func (pool *Pool) LearnOrders(name spool.Group, orders []elect.Order) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.group(name).closures.Learn(orders, pool.timers.Now())
}

// PendingOrders returns the orders of a group that may still be carried out, the oldest first.
func (pool *Pool) PendingOrders(name spool.Group) []elect.Order {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.group(name).closures.Pending(pool.timers.Now())
}

// RecordChosen records what a server that was to be promoted said of itself.
func (pool *Pool) RecordChosen(name spool.Group, server spool.Server, status spool.ReplicaStatus) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.group(name).closures.RecordStatus(server, status, pool.timers.Now())
}

// SettleOrders ends the closures of a group up to a token, none of whose promotions is carried out any more.
func (pool *Pool) SettleOrders(name spool.Group, token uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.group(name).closures.Settle(token)
}

// CloseCommits stops acknowledging the commits that a closure covers, for elect.OrderTTL. A term of zero, which older versions ask
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
	closure.Until = now.Add(elect.OrderTTL)
	closed = group.closures.Add(closure, now)
	return pool.acked(group), closed
}
