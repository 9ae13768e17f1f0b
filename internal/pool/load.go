package pool

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// hasTime tells if the server may get one more statement on a connection of this proxy.
func (server *server) hasTime() bool { return server.window.Allows(server.busy - server.resting) }

// resume ends the rest of a connection.
func (server *server) resume(conn *Conn) {
	if conn.resting {
		conn.resting = false
		server.resting--
	}
}

// MarkIdleInTx notes that a connection's transaction waits for its caller, so that the server works for others meanwhile.
func (pool *Pool) MarkIdleInTx(conn *Conn) {
	if conn.loan != nil || conn.resting {
		return // the lender counts it
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.resting = true
	conn.server.resting++
	pool.dispatch(pool.group(conn.server.spec.Group), pool.timers.Now())
}

// MarkActive notes that a resting transaction goes on.
func (pool *Pool) MarkActive(conn *Conn) {
	if !conn.resting {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.server.resume(conn)
}

// RecordAnswer notes a server's answer to a statement and how long it took.
func (pool *Pool) RecordAnswer(conn *Conn, answer spool.Answer, took time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	server, now := conn.server, pool.timers.Now()
	switch {
	case answer.Refusal == nil || answer.Refusal.Verdict != spool.VerdictNotRun:
		server.health.RecordSuccess(max(0, took-server.distance), now)
	case answer.Refusal.Code == spool.CodeNoSlot:
		pool.cut(conn, now)
		return
	default:
		return // it says nothing of the server's load
	}
	if server.health.Congested() {
		pool.cut(conn, now)
	} else if conn.loan == nil {
		server.window.RecordAnswer(server.busy-server.resting, server.limit)
	}
}

// RecordLagging notes that a replica lacked a position.
func (pool *Pool) RecordLagging(conn *Conn, position spool.LogPosition) {
	if position.IsZero() {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.server.lag.RecordMissing(position, pool.timers.Now())
}

// cut shrinks the window of an overloaded server; for a lent connection the lender does it.
func (pool *Pool) cut(conn *Conn, now spool.Instant) {
	if conn.loan == nil {
		conn.server.window.Shrink(conn.server.busy-conn.server.resting, now)
	}
}

// expect returns how long a statement that finds no free connection will wait for its turn, as far as load decides that.
func (pool *Pool) expect(group *group, want *Request) time.Duration {
	ahead := 0
	for _, waiting := range group.waiters {
		if waiting.Priority <= want.Priority && waiting.Primary == want.Primary {
			ahead++
		}
	}
	least := time.Duration(-1)
	now := pool.timers.Now()
	for name, server := range group.servers {
		if want.Primary && name != group.primary || !pool.usable(server, now) {
			continue
		}
		wait := server.window.ExpectedWait(ahead, server.limit, server.health.ExpectedLatency(now))
		if least < 0 || wait < least {
			least = wait
		}
	}
	return max(0, least)
}
