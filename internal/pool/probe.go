package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/core/place"
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
	group.probing = group.primaryServer() == nil && group.awaitsPrimary()
	return group.probing
}

func (pool *Pool) probeTargets(group *group) []*server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var servers []*server
	now := pool.timers.Now()
	for _, server := range group.servers {
		if !server.removed && !pool.evacuation.Load().Closed(server.spec.Domain) && !server.health.InBackoff(now) {
			servers = append(servers, server)
		}
	}
	return servers
}

// probeServer begins and rolls back a transaction on a server, which only the primary allows, and records its position.
func (pool *Pool) probeServer(server *server, team spool.Team, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	conn, err := pool.connTo(server, team, timeout, place.NewWork)
	if err != nil {
		return err
	}
	defer pool.Release(conn)
	return pool.beginAndRollBack(conn, deadline)
}

// connTo returns a connection to one server without waiting; it may exceed this proxy's share.
func (pool *Pool) connTo(server *server, team spool.Team, timeout time.Duration, work place.Work) (*Conn, error) {
	request := Request{Group: server.group, Team: team, work: work}
	granted, err := pool.reserveUnshared(server, &request)
	if err != nil {
		return nil, err
	}
	supervising := work == place.SupervisorWork
	if granted.conn != nil {
		granted.conn.supervising = supervising
		return granted.conn, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := pool.open(ctx, request, granted)
	if err == nil {
		conn.supervising = supervising
	}
	return conn, err
}

// reserveUnshared reserves a connection to one server; where this proxy's share is in use, it is the one that no share includes.
func (pool *Pool) reserveUnshared(server *server, request *Request) (grant, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if !pool.evacuation.Load().Permits(server.spec.Domain, request.work, pool.timers.Now()) {
		return grant{}, ErrEvacuated
	}
	granted, possible := pool.reserveLocal(server, request)
	if !possible {
		server.open++
		server.busy++
		server.handshakes++
		pool.startUse(server, request.Team)
		granted = grant{server: server}
	}
	return granted, nil
}

func (pool *Pool) beginAndRollBack(conn *Conn, deadline time.Time) error {
	sent := pool.timers.Now()
	pool.AwaitEvacuation(sent)
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
