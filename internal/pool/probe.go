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

// startProbing asks the servers of a group which is the primary until one is found or nobody waits for it.
func (pool *Pool) startProbing(group *group, team spool.Team) {
	if group.probing {
		return
	}
	group.probing = true
	event.Log(pool.logger, event.PrimaryUnknown, zap.String("Group", string(group.name)))
	go pool.probe(group, team)
}

func (pool *Pool) probe(group *group, team spool.Team) {
	for pool.needsProbe(group) {
		pool.probeOnce(group, team)
		time.Sleep(probePeriod)
	}
}

func (pool *Pool) probeOnce(group *group, team spool.Team) {
	for _, server := range pool.probeable(group) {
		if pool.ask(server, team, ProbeTimeout) == nil {
			return
		}
	}
}

func (pool *Pool) needsProbe(group *group) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group.probing = group.primaryServer() == nil &&
		slices.ContainsFunc(group.waiters, func(waiting *waiter) bool { return waiting.Primary })
	return group.probing
}

func (pool *Pool) probeable(group *group) []*server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var servers []*server
	now := pool.timers.Now()
	for _, server := range group.servers {
		if !server.gone && !server.health.InBackoff(now) {
			servers = append(servers, server)
		}
	}
	return servers
}

// ask begins and rolls back a transaction on a server, which only the primary allows, and notes its position.
func (pool *Pool) ask(server *server, team spool.Team, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	conn, err := pool.claim(server, team, timeout)
	if err != nil {
		return err
	}
	defer pool.Release(conn)
	return pool.askPrimary(conn, deadline)
}

// claim returns a connection to one server without waiting for a free one.
func (pool *Pool) claim(server *server, team spool.Team, timeout time.Duration) (*Conn, error) {
	pool.mutex.Lock()
	group := pool.group(server.spec.Group)
	want := Request{Group: group.name, Team: team}
	granted, possible := pool.reserveOwn(server, &want)
	if !possible {
		server.open++
		server.busy++
		server.opening++
		granted = grant{server: server} // the spare connection of the server
	}
	pool.mutex.Unlock()
	if granted.conn != nil {
		return granted.conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return pool.open(ctx, want, granted)
}

func (pool *Pool) askPrimary(conn *Conn, deadline time.Time) error {
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
		pool.RecordNotPrimary(conn.server.spec.Group, conn.Server())
		return answer.Refusal
	}
	pool.RecordPrimary(conn.server.spec.Group, conn.Server(), fresh.Watermark{Position: answer.Position, SentAt: sent})
	return pool.RollBack(conn)
}

// RollBack ends a transaction without waiting for the answer.
func (pool *Pool) RollBack(conn *Conn) error {
	if conn.broken {
		return nil // closing it rolls back
	}
	if err := conn.Send(spool.Command{Verb: spool.VerbRollback}); err != nil {
		pool.RecordFailure(conn, err)
		return err
	}
	conn.AddPending(1)
	return nil
}
