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

// pool holds the idle connections to one server, the last one used on top.
type pool struct {
	idle []*link
}

// link is a pooled connection and the last position that its server reported on it.
type link struct {
	Conn
	server int
	last   spool.SessionToken
}

func (pool *pool) take() *link {
	for len(pool.idle) > 0 {
		link := pool.idle[len(pool.idle)-1]
		pool.idle = pool.idle[:len(pool.idle)-1]
		return link
	}
	return nil
}

func (pool *pool) closeIdle(closed func()) {
	for _, link := range pool.idle {
		link.Close()
		closed()
	}
	pool.idle = nil
}

// connect returns an idle connection to a server or opens one.
func (group *Group) connect(ctx context.Context, server int) (*link, *spool.Refusal) {
	group.mutex.Lock()
	if link := group.pools[server].take(); link != nil {
		group.mutex.Unlock()
		return link, nil
	}
	spec := group.specs[server]
	allowed := group.queue.ReserveConnection(server)
	group.mutex.Unlock()
	if !allowed {
		return nil, noSlot(dialTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := group.dial(ctx, spec)
	if err != nil {
		group.mutex.Lock()
		group.queue.ReleaseConnection(server)
		group.mutex.Unlock()
		return nil, &spool.Refusal{
			Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: gapRetryAfter, Cause: err,
			Message: "server " + string(spec.Name) + " cannot be reached",
		}
	}
	return &link{Conn: conn, server: server}, nil
}

// watch has the connection cut when a term after the given one opens.
func (group *Group) watch(link *link, term spool.Term) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.links[link] = term
	if group.dropped || group.table.Current.Term > term {
		link.Close()
	}
}

func (group *Group) unwatch(link *link) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	delete(group.links, link)
}

// put gives a connection back; one that cannot be reset is closed.
func (group *Group) put(link *link, clean bool) {
	if !clean && !link.Broken() {
		ctx, cancel := context.WithTimeout(context.Background(), resetTimeout)
		defer cancel()
		if link.Reset(ctx) != nil {
			link.Close()
		}
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if link.Broken() || group.dropped || !group.table.Servers[link.server].Up {
		link.Close()
		group.queue.ReleaseConnection(link.server)
		return
	}
	group.pools[link.server].idle = append(group.pools[link.server].idle, link)
}

// warm opens connections to a server ahead of need, one for each slot.
func (group *Group) warm(server int) {
	group.mutex.Lock()
	missing := group.specs[server].Slots - len(group.pools[server].idle)
	group.mutex.Unlock()
	links := []*link{}
	for range missing {
		link, refusal := group.connect(context.Background(), server)
		if refusal != nil {
			break
		}
		links = append(links, link)
	}
	for _, link := range links {
		group.put(link, true)
	}
}
