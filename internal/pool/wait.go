package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// Wait describes how the wait of a request for a connection ended.
type Wait struct {
	Priority int
	Borrower bool // another proxy asked for the connection
	Outcome  WaitOutcome
	Took     time.Duration
}

// WaitOutcome is how a wait ended.
type WaitOutcome string

// Outcomes of a wait.
const (
	WaitGranted   WaitOutcome = "granted"
	WaitRefused   WaitOutcome = "refused"   // it could not be served in time
	WaitExpired   WaitOutcome = "expired"   // its deadline passed
	WaitWithdrawn WaitOutcome = "withdrawn" // the caller left, or the proxy stops
)

// Observer receives the end of each wait for a connection.
type Observer interface {
	Waited(wait Wait)
}

// Waited does nothing.
func (disabled) Waited(Wait) {}

// WithObserver sets the observer of waits.
func WithObserver(observer Observer) Option { return func(pool *Pool) { pool.observer = observer } }

// waiter is a request in the queue for a connection.
type waiter struct {
	Request
	grants chan grant
}

// SetPrioritized sets whether the routes differ in priority. If they do, waiting requests are served in an order that is fair
// between teams, and lenders queue requests.
func (pool *Pool) SetPrioritized(prioritized bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.prioritized = prioritized
	for _, group := range pool.groups {
		group.waiters.SetPrioritized(prioritized)
	}
}

// WaitingByPriority returns the number of requests that wait for a connection, by priority.
func (pool *Pool) WaitingByPriority() map[int]int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	counts := map[int]int{}
	for _, group := range pool.groups {
		group.waiters.Each(func(item *queue.Item[*waiter]) bool {
			counts[item.Priority]++
			return true
		})
	}
	return counts
}

// waitForGrant returns a grant, or queues the request until one is available or its deadline passes.
func (pool *Pool) waitForGrant(ctx context.Context, request Request) (grant, *spool.Refusal) {
	granted, item, refusal := pool.reserveOrQueue(&request)
	if item != nil {
		return pool.awaitGrant(ctx, item)
	}
	return granted, refusal
}

// reserveOrQueue reserves a connection without waiting, queues the request, or refuses it; the item is nil unless it is queued.
func (pool *Pool) reserveOrQueue(request *Request) (grant, *queue.Item[*waiter], *spool.Refusal) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(request.Group), pool.timers.Now()
	if granted, possible := pool.tryReserve(group, request, now); possible {
		return granted, nil, nil
	}
	item, refusal := pool.enqueue(group, request, now)
	return grant{}, item, refusal
}

// enqueue queues a request for a connection, or refuses it; the caller holds the mutex.
func (pool *Pool) enqueue(group *group, request *Request, now spool.Instant) (*queue.Item[*waiter], *spool.Refusal) {
	if refusal := pool.refuseWithoutServer(group, request); refusal != nil {
		return nil, refusal
	}
	left := time.Until(request.Deadline)
	item := &queue.Item[*waiter]{
		Team: request.Team, Target: request.target(), Priority: request.Priority, Arrived: now, Deadline: now.Add(left),
		Value: &waiter{Request: *request, grants: make(chan grant, 1)},
	}
	ahead := group.waiters.Ahead(item.Team, item.Target, item.Priority, group.leadership.Server, now)
	if expected := pool.expectedWait(group, item.Target, ahead); expected > left {
		return nil, pool.refuseWait(group, item, expected, now)
	}
	if displaced := group.waiters.Push(item, now); displaced != nil {
		refusal := pool.refuseWait(group, displaced, displaced.Deadline.Sub(now), now)
		if displaced == item {
			return nil, refusal
		}
		displaced.Value.grants <- grant{refusal: refusal}
	}
	if request.Primary && group.primaryServer() == nil {
		pool.startProbing(group, request.Team)
	}
	pool.startDispatchTimer(group)
	return item, nil
}

// awaitGrant waits until a queued request is granted or refused, its deadline passes, or the context ends.
func (pool *Pool) awaitGrant(ctx context.Context, item *queue.Item[*waiter]) (grant, *spool.Refusal) {
	timer := time.NewTimer(time.Until(item.Value.Deadline))
	defer timer.Stop()
	select {
	case granted := <-item.Value.grants:
		return granted, granted.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	return pool.cancelWait(ctx, item)
}

// target describes the servers that a request accepts.
func (request *Request) target() queue.Target {
	return queue.Target{
		Server: request.server, Primary: request.Primary, Retry: len(request.Avoid) > 0, Local: len(request.refusedBy) > 0,
	}
}

// cancelWait removes a request from the queue, or returns the grant that it has received meanwhile; a grant to a caller that
// has left goes to the next request.
func (pool *Pool) cancelWait(ctx context.Context, item *queue.Item[*waiter]) (grant, *spool.Refusal) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(item.Value.Group), pool.timers.Now()
	select {
	case granted := <-item.Value.grants:
		if granted.refusal == nil && ctx.Err() != nil {
			pool.returnGrant(granted, item.Team)
			return grant{}, refuseCanceled(ctx)
		}
		return granted, granted.refusal
	default:
	}
	group.waiters.Remove(item)
	if ctx.Err() != nil {
		pool.observe(item, WaitWithdrawn, now)
		return grant{}, refuseCanceled(ctx)
	}
	pool.observe(item, WaitExpired, now)
	if item.Target.Primary && (group.primaryServer() == nil || !pool.usable(group.primaryServer(), now)) {
		return grant{}, spool.Refuse(spool.CodeNoPrimary, "no primary").WithRetryAfter(2 * retryAfter)
	}
	pool.logRefusal(group, item, pool.expectedWait(group, item.Target, group.waiters.Len()), now)
	return grant{}, spool.Refuse(spool.CodeNoSlot, "all connections are in use").WithRetryAfter(retryAfter)
}

func refuseCanceled(ctx context.Context) *spool.Refusal {
	return spool.Refuse(spool.CodeNoSlot, "the caller left or the proxy stops").WithRetryAfter(retryAfter).WithCause(context.Cause(ctx))
}

// returnGrant gives a grant back that nobody uses; the caller holds the mutex.
func (pool *Pool) returnGrant(granted grant, team spool.Team) {
	server, now := granted.server, pool.timers.Now()
	switch {
	case granted.lender != "":
		server.borrowed--
		return
	case granted.conn != nil:
		pool.keepIdle(granted.conn)
	case granted.evicted != nil:
		pool.keepIdle(granted.evicted)
		server.handshakes--
	default:
		server.open--
		server.handshakes--
	}
	server.busy--
	pool.stopUse(server, team)
	pool.dispatch(pool.group(server.spec.Group), now)
}

// keepIdle returns an unused connection to the idle ones, or closes it if it must not be reused. The caller holds the mutex.
func (pool *Pool) keepIdle(conn *Conn) {
	server := conn.server
	if !pool.reusable(conn) {
		server.open--
		go closeAll([]*Conn{conn})
		return
	}
	server.idle = append(server.idle, conn)
}

// reusable reports whether a connection may serve another request: it is not broken, its server was neither removed nor evacuated,
// and it does not stray. The caller holds the mutex.
func (pool *Pool) reusable(conn *Conn) bool {
	server := conn.server
	return !conn.broken && !server.removed && !conn.Strays() && !pool.evacuation.Load().Closed(server.spec.Domain)
}

// refuseWait refuses a request that cannot be served in time; the caller holds the mutex.
func (pool *Pool) refuseWait(group *group, item *queue.Item[*waiter], expected time.Duration, now spool.Instant) *spool.Refusal {
	pool.observe(item, WaitRefused, now)
	pool.logRefusal(group, item, expected, now)
	return spool.Refuse(spool.CodeNoSlot, "too many statements wait for the server").WithRetryAfter(max(expected, retryAfter))
}

// logRefusal logs the inputs of a refusal, so that it can be explained afterwards.
func (pool *Pool) logRefusal(group *group, item *queue.Item[*waiter], expected time.Duration, now spool.Instant) {
	event.Log(pool.logger, event.WaitRefused, zap.String("Group", string(group.name)),
		zap.String("Server", string(item.Target.Server)), zap.Bool("Primary", item.Target.Primary), zap.String("Team", string(item.Team)),
		zap.Int("Priority", item.Priority), zap.Int("Queued", group.waiters.Len()), zap.Duration("ExpectedWait", expected),
		zap.Duration("Waited", now.Sub(item.Arrived)), zap.Duration("Left", item.Deadline.Sub(now)),
		zap.Duration("MeanHold", group.waiters.MeanHold()))
}

// observe reports the end of a wait.
func (pool *Pool) observe(item *queue.Item[*waiter], outcome WaitOutcome, now spool.Instant) {
	pool.observer.Waited(Wait{
		Priority: item.Priority, Borrower: item.Target.Server != "", Outcome: outcome, Took: now.Sub(item.Arrived),
	})
}

// dispatch grants connections to waiting requests in the order of the queue, after something was freed here; the caller holds
// the mutex.
func (pool *Pool) dispatch(group *group, now spool.Instant) {
	pool.dispatchTo(group, capacity{pool: pool, group: group, now: now})
}

// dispatchAll is like dispatch, but also for requests that another proxy may now serve. It ranks the fleet for each waiting team,
// so that it is not done at each release.
func (pool *Pool) dispatchAll(group *group, now spool.Instant) {
	pool.dispatchTo(group, capacity{pool: pool, group: group, now: now, lenders: true})
}

func (pool *Pool) dispatchTo(group *group, capacity capacity) {
	now := capacity.now
	group.waiters.Dispatch(now, capacity, func(item *queue.Item[*waiter]) bool {
		granted, possible := pool.tryReserve(group, &item.Value.Request, now)
		if possible {
			pool.observe(item, WaitGranted, now)
			item.Value.grants <- granted
		}
		return possible
	})
}

// refuseHopeless refuses queued requests that are no longer expected to be served in time, as after the arrival of more urgent
// ones; the caller holds the mutex.
func (pool *Pool) refuseHopeless(group *group, now spool.Instant) {
	expected := func(target queue.Target, ahead int) time.Duration { return pool.expectedWait(group, target, ahead) }
	group.waiters.RefuseHopeless(group.leadership.Server, now, expected, func(item *queue.Item[*waiter], wait time.Duration) {
		item.Value.grants <- grant{refusal: pool.refuseWait(group, item, wait, now)}
	})
}

// startDispatchTimer dispatches periodically while there are waiting requests, since the backoff of a failed server ends
// without an event.
func (pool *Pool) startDispatchTimer(group *group) {
	if group.dispatchTimerRunning {
		return
	}
	group.dispatchTimerRunning = true
	var stop func()
	stop = pool.timers.Every(dispatchPeriod, spool.TimerFunc(func(now spool.Instant) {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.dispatchAll(group, now)
		pool.refuseHopeless(group, now)
		if group.waiters.Len() == 0 && group.dispatchTimerRunning {
			group.dispatchTimerRunning = false
			stop()
		}
	}))
}

// awaitsPrimary reports whether a request waits for the primary.
func (group *group) awaitsPrimary() bool {
	found := false
	group.waiters.Each(func(item *queue.Item[*waiter]) bool {
		found = item.Target.Primary
		return !found
	})
	return found
}

// expectedWait estimates from the load how long a request with a target waits behind others.
func (pool *Pool) expectedWait(group *group, target queue.Target, ahead int) time.Duration {
	shortest := time.Duration(-1)
	now := pool.timers.Now()
	capacity := capacity{pool: pool, group: group, now: now}
	for _, server := range group.servers {
		if !capacity.accepts(server, target) {
			continue
		}
		wait := server.window.ExpectedWait(ahead, server.limit, server.health.ExpectedLatency(now))
		if group.waiters.Prioritized() {
			// The connections in use have been held for half of their time on average.
			wait = server.window.ExpectedWait(2*ahead, server.limit, group.waiters.MeanHold()/2)
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// startUse charges a team for a connection to a server; the caller holds the mutex.
func (pool *Pool) startUse(server *server, team spool.Team) {
	pool.group(server.spec.Group).waiters.Start(team, pool.timers.Now())
}

// stopUse ends the charge of a team for a connection; the caller holds the mutex.
func (pool *Pool) stopUse(server *server, team spool.Team) {
	pool.group(server.spec.Group).waiters.Stop(team, pool.timers.Now())
}

// endUse ends the use of a connection by its session; the caller holds the mutex.
func (pool *Pool) endUse(conn *Conn) {
	now := pool.timers.Now()
	waiters := pool.group(conn.server.spec.Group).waiters
	if conn.idleInTx {
		conn.idleInTx = false
		conn.server.idleInTx--
	} else {
		waiters.Stop(conn.team, now)
	}
	waiters.Held(now.Sub(conn.heldSince))
}
