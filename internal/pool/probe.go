package pool

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// startProbing probes the servers of a group until the primary is found or no session waits for it.
func (pool *Pool) startProbing(group *group, team spool.Team) {
	if group.probing {
		return
	}
	group.probing = true
	event.Log(pool.logger, event.PrimaryUnknown, zap.String("Group", string(group.name)))
	go pool.probeUntilFound(group, team)
}

func (pool *Pool) probeUntilFound(group *group, team spool.Team) {
	for pool.keepProbing(group) {
		pool.probeEach(group, team)
		time.Sleep(probePeriod)
	}
}

func (pool *Pool) probeEach(group *group, team spool.Team) {
	for _, server := range pool.probeTargets(group) {
		if pool.probeServer(server, team, ProbeTimeout) == nil {
			return
		}
	}
}

func (pool *Pool) keepProbing(group *group) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group.probing = group.primaryServer() == nil &&
		slices.ContainsFunc(group.waiters, func(waiting *waiter) bool { return waiting.Primary })
	return group.probing
}

func (pool *Pool) probeTargets(group *group) []*server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var servers []*server
	now := pool.timers.Now()
	for _, server := range group.servers {
		if !server.removed && !server.health.InBackoff(now) {
			servers = append(servers, server)
		}
	}
	return servers
}

// probeServer begins and rolls back a transaction on a server, which only the primary allows, and records its position.
func (pool *Pool) probeServer(server *server, team spool.Team, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	conn, err := pool.connTo(server, team, timeout)
	if err != nil {
		return err
	}
	defer pool.Release(conn)
	return pool.beginAndRollBack(conn, deadline)
}

// connTo returns a connection to one server without waiting; it may exceed this proxy's share.
func (pool *Pool) connTo(server *server, team spool.Team, timeout time.Duration) (*Conn, error) {
	pool.mutex.Lock()
	group := pool.group(server.group)
	request := Request{Group: group.name, Team: team}
	granted, possible := pool.reserveLocal(server, &request)
	if !possible {
		server.open++
		server.busy++
		server.handshakes++
		granted = grant{server: server} // uses the connection that no proxy's share includes
	}
	pool.mutex.Unlock()
	if granted.conn != nil {
		return granted.conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return pool.open(ctx, request, granted)
}

func (pool *Pool) beginAndRollBack(conn *Conn, deadline time.Time) error {
	sent := pool.timers.Now()
	if err := conn.DiscardPending(deadline); err != nil {
		pool.RecordFailure(conn, err)
		return err
	}
	if err := conn.Send(spool.Command{Verb: spool.VerbBegin}); err != nil {
		pool.RecordFailure(conn, err)
		return err
	}
	answer, err := conn.Receive(deadline)
	if err != nil {
		pool.RecordFailure(conn, err)
		return err
	}
	if answer.Refusal != nil {
		pool.RecordNotPrimary(conn.server.group, conn.Server())
		return answer.Refusal
	}
	pool.RecordPrimary(conn.server.group, conn.Server(), fresh.Watermark{Position: answer.Position, SentAt: sent})
	return pool.RollBack(conn)
}

// RollBack sends a rollback without waiting for the answer.
func (pool *Pool) RollBack(conn *Conn) error {
	if conn.broken {
		return nil // closing the connection rolls back
	}
	if err := conn.Send(spool.Command{Verb: spool.VerbRollback}); err != nil {
		pool.RecordFailure(conn, err)
		return err
	}
	conn.AddPending(1)
	return nil
}
