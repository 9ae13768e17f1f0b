package pool

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// withinWindow reports whether this proxy may send the server one more concurrent statement.
func (server *server) withinWindow() bool { return server.window.Allows(server.busy - server.idleInTx) }

// markActive counts a connection as active again if it was idle in a transaction.
func (server *server) markActive(conn *Conn) {
	if conn.idleInTx {
		conn.idleInTx = false
		server.idleInTx--
	}
}

// MarkIdleInTx records that a connection's open transaction waits for its caller and so does not load the server.
func (pool *Pool) MarkIdleInTx(conn *Conn) {
	if conn.loan != nil || conn.idleInTx {
		return // the lender counts a borrowed connection
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.idleInTx = true
	conn.server.idleInTx++
	pool.dispatch(pool.group(conn.server.group), pool.timers.Now())
}

// MarkActive records that a transaction that waited for its caller continues.
func (pool *Pool) MarkActive(conn *Conn) {
	if !conn.idleInTx {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.server.markActive(conn)
}

// RecordAnswer records a server's answer to a statement and its response time.
func (pool *Pool) RecordAnswer(conn *Conn, answer spool.Answer, took time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	server, now := conn.server, pool.timers.Now()
	switch {
	case answer.Refusal == nil || answer.Refusal.Verdict != spool.VerdictNotRun:
		server.health.RecordSuccess(max(0, took-server.roundTrip), now)
	case answer.Refusal.Code == spool.CodeNoSlot:
		pool.shrinkWindow(conn, now)
		return
	default:
		return // the refusal says nothing about the server's load
	}
	if server.health.Congested() {
		pool.shrinkWindow(conn, now)
	} else if conn.loan == nil {
		server.window.RecordAnswer(server.busy-server.idleInTx, server.limit)
	}
}

// RecordLagging records that a replica had not applied a position.
func (pool *Pool) RecordLagging(conn *Conn, position spool.LogPosition) {
	if position.IsZero() {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.server.lag.RecordMissing(position, pool.timers.Now())
}

// shrinkWindow shrinks the window of an overloaded server; for a borrowed connection the lender does so.
func (pool *Pool) shrinkWindow(conn *Conn, now spool.Instant) {
	if conn.loan == nil {
		conn.server.window.Shrink(conn.server.busy-conn.server.idleInTx, now)
	}
}

// expectedWait estimates from the load how long a statement waits for a connection if none is free.
func (pool *Pool) expectedWait(group *group, request *Request) time.Duration {
	ahead := 0
	for _, waiting := range group.waiters {
		if waiting.Priority <= request.Priority && waiting.Primary == request.Primary {
			ahead++
		}
	}
	shortest := time.Duration(-1)
	now := pool.timers.Now()
	for name, server := range group.servers {
		if request.Primary && name != group.primary || !pool.usable(server, now) {
			continue
		}
		wait := server.window.ExpectedWait(ahead, server.limit, server.health.ExpectedLatency(now))
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}
