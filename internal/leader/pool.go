package leader

import (
	"context"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	dialTimeout  = 1 * time.Second
	resetTimeout = 500 * time.Millisecond
)

// pool is a stack of the idle connections to one server, the most recently used on top.
type pool struct {
	idle []*pooledConn
}

// pooledConn is a connection to a server and the last token that the server reported on it.
type pooledConn struct {
	Conn
	server    int
	lastToken spool.SessionToken
}

func (pool *pool) popIdle() *pooledConn {
	for len(pool.idle) > 0 {
		pooledConn := pool.idle[len(pool.idle)-1]
		pool.idle = pool.idle[:len(pool.idle)-1]
		return pooledConn
	}
	return nil
}

func (pool *pool) closeIdle(closed func()) {
	for _, pooledConn := range pool.idle {
		pooledConn.Close()
		closed()
	}
	pool.idle = nil
}

// connect returns an idle connection to a server or opens a new one. It returns errServersChanged if the server was marked down
// or is leaving since the slot was granted, so that the request gets a slot on another server.
func (group *Group) connect(ctx context.Context, server int) (*pooledConn, error) {
	group.mutex.Lock()
	if pooledConn := group.pools[server].popIdle(); pooledConn != nil {
		group.mutex.Unlock()
		return pooledConn, nil
	}
	spec := group.specs[server]
	available := group.queue.AcceptsWork(server)
	allowed := group.queue.ReserveConnection(server)
	group.mutex.Unlock()
	if !available {
		return nil, errServersChanged
	}
	if !allowed {
		return nil, noSlotRefusal(dialTimeout)
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := group.dial(dialCtx, spec)
	if err != nil {
		group.mutex.Lock()
		group.queue.ReleaseConnection(server)
		group.mutex.Unlock()
		if ctx.Err() != nil { // the caller ended the attempt, which says nothing about the server
			return nil, canceledRefusal()
		}
		return nil, &spool.Refusal{
			Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: noPrimaryRetryAfter, Cause: err,
			Message: "server " + string(spec.Name) + " cannot be reached",
		}
	}
	return &pooledConn{Conn: conn, server: server}, nil
}

// trackPrimaryConn has the connection closed when a later term than the given one opens.
func (group *Group) trackPrimaryConn(pooledConn *pooledConn, term spool.Term) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.primaryConns[pooledConn] = term
	if group.shutDown || group.table.Current.Term > term {
		pooledConn.Close()
	}
}

func (group *Group) untrackPrimaryConn(pooledConn *pooledConn) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	delete(group.primaryConns, pooledConn)
}

// returnConn returns a connection to its pool, or closes it if it is broken or cannot be reset, if its server is down or
// after Shutdown.
func (group *Group) returnConn(pooledConn *pooledConn, clean bool) {
	if !clean && !pooledConn.Broken() {
		ctx, cancel := context.WithTimeout(context.Background(), resetTimeout)
		defer cancel()
		if pooledConn.Reset(ctx) != nil {
			pooledConn.Close()
		}
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if pooledConn.Broken() || group.shutDown || !group.table.Servers[pooledConn.server].Up {
		pooledConn.Close()
		group.queue.ReleaseConnection(pooledConn.server)
		return
	}
	group.pools[pooledConn.server].idle = append(group.pools[pooledConn.server].idle, pooledConn)
}

// warmUp opens connections to a server in advance, one for each slot.
func (group *Group) warmUp(server int) {
	group.mutex.Lock()
	missing := group.specs[server].Slots - len(group.pools[server].idle)
	group.mutex.Unlock()
	pooledConns := []*pooledConn{}
	for range missing {
		pooledConn, err := group.connect(context.Background(), server)
		if err != nil {
			break
		}
		pooledConns = append(pooledConns, pooledConn)
	}
	for _, pooledConn := range pooledConns {
		group.returnConn(pooledConn, true)
	}
}
