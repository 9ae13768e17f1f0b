package pool

import (
	"context"
	"errors"
	"net"
	"slices"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/pkg/spool"
)

// ErrEvacuated reports that nothing was sent because the server's failure domain is evacuated.
var ErrEvacuated = eris.New("the server's failure domain is evacuated")

// Guard delays what is sent to servers until the evacuated failure domains are known again.
type Guard interface {
	// Await returns at once unless the VM was suspended and the evacuated failure domains have not been learned since.
	Await(now spool.Instant)
}

// WithGuard sets the guard; the default delays nothing.
func WithGuard(guard Guard) Option { return func(pool *Pool) { pool.guard = guard } }

// SetEvacuation replaces the evacuated failure domains; nil means none. It closes idle connections to them, and returns load
// in steps to the servers of those that are open again.
func (pool *Pool) SetEvacuation(evacuation *place.Evacuation, reopened []spool.Domain) {
	pool.evacuation.Store(evacuation)
	closeAll(pool.applyEvacuation(evacuation, reopened))
}

// applyEvacuation applies the evacuated failure domains to the servers, and returns the connections to close.
func (pool *Pool) applyEvacuation(evacuation *place.Evacuation, reopened []spool.Domain) (closing []*Conn) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.timers.Now()
	for _, group := range pool.groups {
		for _, server := range group.servers {
			if evacuation.Closed(server.spec.Domain) {
				closing = append(closing, server.removeIdle()...)
			}
			if slices.Contains(reopened, server.spec.Domain) {
				pool.reopen(server, now)
			}
		}
		pool.refuseLoans(group, evacuation, now)
		pool.dispatch(group, now)
	}
	return closing
}

// refuseLoans refuses the loans that wait for a server of an evacuated failure domain, so that the borrowers choose another one.
func (pool *Pool) refuseLoans(group *group, evacuation *place.Evacuation, now spool.Instant) {
	var refused []*queue.Item[*waiter]
	group.waiters.Each(func(item *queue.Item[*waiter]) bool {
		server := group.servers[item.Target.Server]
		if server != nil && evacuation.Closed(server.spec.Domain) {
			refused = append(refused, item)
		}
		return true
	})
	for _, item := range refused {
		group.waiters.Remove(item)
		pool.observe(item, WaitRefused, now)
		item.Value.grants <- grant{refusal: spool.Refuse(spool.CodeNoSlot, "the server's failure domain is evacuated")}
	}
}

// Evacuation returns the evacuated failure domains, or nil if there are none.
func (pool *Pool) Evacuation() *place.Evacuation { return pool.evacuation.Load() }

// CheckSend returns ErrEvacuated if work of a kind must not be sent to the servers of a failure domain now. It waits if the VM
// was suspended.
func (pool *Pool) CheckSend(domain spool.Domain, work place.Work) error {
	pool.AwaitEvacuation(pool.timers.Now())
	return pool.checkSend(domain, work)
}

// AwaitEvacuation waits if the VM was suspended and the evacuated failure domains have not been learned since. The caller passes
// the current instant, since reading the clock costs more than the rest of the check.
func (pool *Pool) AwaitEvacuation(now spool.Instant) {
	if pool.guard != nil {
		pool.guard.Await(now)
	}
}

// checkSend is like CheckSend without the wait. It reads the clock only for servers of evacuated failure domains.
func (pool *Pool) checkSend(domain spool.Domain, work place.Work) error {
	evacuation := pool.evacuation.Load()
	if !evacuation.Closed(domain) || evacuation.Permits(domain, work, pool.timers.Now()) {
		return nil
	}
	return ErrEvacuated
}

// CommandsAllowed reports whether the supervisor's commands may be sent to the servers of a failure domain now.
func (pool *Pool) CommandsAllowed(domain spool.Domain) bool {
	return pool.evacuation.Load().Permits(domain, place.SupervisorWork, pool.timers.Now())
}

// checkedDial returns a dialer that sends no handshake to a server of an evacuated failure domain.
func (pool *Pool) checkedDial(domain spool.Domain, work place.Work, dial spool.DialFunc) spool.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if err := pool.CheckSend(domain, work); err != nil {
			return nil, err
		}
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		if err := pool.CheckSend(domain, work); err != nil {
			_ = conn.Close() // nothing was sent
			return nil, err
		}
		return conn, nil
	}
}

// SendableAsNew returns ErrEvacuated if no new work must be sent on the connection.
func (conn *Conn) SendableAsNew() error { return conn.pool.checkSend(conn.domain, place.NewWork) }

// TransactionEnded reports whether an open transaction on the connection must end because of an evacuation.
func (conn *Conn) TransactionEnded() bool {
	evacuation := conn.pool.evacuation.Load()
	return evacuation != nil && !evacuation.Permits(conn.domain, place.OpenTransaction, conn.pool.timers.Now())
}

// Domain returns the failure domain of the connection's server.
func (conn *Conn) Domain() spool.Domain { return conn.domain }

// Send sends commands to the server or lender unless the server's failure domain is evacuated. After a pause the caller calls
// AwaitEvacuation before.
func (conn *Conn) Send(commands ...spool.Command) error {
	if err := conn.checkSend(); err != nil {
		return err
	}
	for _, command := range commands {
		switch command.Verb {
		case spool.VerbBegin, spool.VerbBeginRead:
			conn.inTx = true
		case spool.VerbCommit, spool.VerbRollback:
			conn.inTx = false
		}
	}
	return conn.ServerConn.Send(commands...)
}

// checkSend returns ErrEvacuated if the connection's next commands must not be sent.
func (conn *Conn) checkSend() error { return conn.pool.checkSend(conn.domain, conn.work()) }

// work returns the kind of work of the connection's next commands.
func (conn *Conn) work() place.Work {
	switch {
	case conn.supervising:
		return place.SupervisorWork
	case conn.inTx:
		return place.OpenTransaction
	}
	return place.NewWork
}

// reopen starts the steps in which load returns to a server.
func (pool *Pool) reopen(server *server, now spool.Instant) {
	server.window.Restart()
	server.reopenedAt = now
	server.reopenLimit = place.ReopenLimit(server.limit, 0)
	pool.scheduleReopenStep(server, now)
}

// scheduleReopenStep raises the limit of a server that was opened again after a step, until it has none.
func (pool *Pool) scheduleReopenStep(server *server, reopenedAt spool.Instant) {
	pool.timers.After(place.ReopenStep, spool.TimerFunc(func(now spool.Instant) {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		if server.reopenedAt != reopenedAt {
			return // it was evacuated and opened again
		}
		server.reopenLimit = place.ReopenLimit(server.limit, now.Sub(reopenedAt))
		if server.reopenLimit > 0 {
			pool.scheduleReopenStep(server, reopenedAt)
		}
		pool.dispatch(pool.group(server.spec.Group), now)
	}))
}

// withinReopenLimit reports whether one more statement may be sent to a server whose load returns in steps.
func (server *server) withinReopenLimit() bool {
	return server.reopenLimit == 0 || server.busy-server.idleInTx < server.reopenLimit
}

// Remaining returns the connections of this proxy to the servers of a failure domain, borrowed ones included, and how many of
// them a statement or transaction uses.
func (pool *Pool) Remaining(domain spool.Domain) (connections, statements int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, group := range pool.groups {
		for _, server := range group.servers {
			if server.spec.Domain == domain {
				connections += server.open + server.borrowed
				statements += server.busy + server.borrowed
			}
		}
	}
	return connections, statements
}

// AddressDomain returns the failure domain of the registered server with an address, or an empty name.
func (pool *Pool) AddressDomain(address string) spool.Domain {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if server := pool.serverAt(address); server != nil {
		return server.spec.Domain
	}
	return ""
}

// refuseWithoutServer refuses a request for which no server can become available soon, because of the evacuated failure domains
// or its home regions. A request for an evacuated primary waits for the switchover. The caller holds the mutex.
func (pool *Pool) refuseWithoutServer(group *group, request *Request) *spool.Refusal {
	evacuation := pool.evacuation.Load()
	if evacuation == nil && request.Allowed == nil || len(group.servers) == 0 {
		return nil
	}
	primary := group.primaryServer()
	if request.Primary && primary != nil && !request.allows(primary.spec.Domain) {
		return spool.Refuse(spool.CodeNoPrimary, "the primary is outside the home regions").WithRetryAfter(place.EvacuationRetry)
	}
	for _, server := range group.servers {
		if !server.removed && !evacuation.Closed(server.spec.Domain) && request.allows(server.spec.Domain) {
			return nil
		}
	}
	code := spool.CodeNoSlot
	if request.Primary {
		code = spool.CodeNoPrimary
	}
	return spool.Refuse(code, "all servers are in evacuated failure domains or outside the home regions").WithRetryAfter(place.EvacuationRetry)
}

// unsent reports whether an error means that this proxy held a statement back, which says nothing about the server.
func unsent(err error) bool { return errors.Is(err, ErrEvacuated) || errors.Is(err, ErrWarmingUp) }
