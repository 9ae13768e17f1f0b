package leader

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/internal/core/slots"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/pkg/spool"
)

const (
	expireInterval     = 10 * time.Millisecond
	defaultPrimaryWait = 5 * time.Second
	maxServers         = 64
)

// ErrNotLeader means that this proxy does not hold the group's lease or is releasing it; nothing was run.
var ErrNotLeader = eris.New("another proxy holds the group's lease")

// Conn is a connection to a backend server.
type Conn interface {
	Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error)
	Reset(ctx context.Context) error
	Broken() bool
	Close()
}

// Dialer opens connections to backend servers.
type Dialer func(ctx context.Context, server spool.ServerSpec) (Conn, error)

// Observer receives measurements of requests.
type Observer interface {
	// ObserveSlotWait records how long a request waited for a slot.
	ObserveSlotWait(wait time.Duration)
	// CountRead counts an answered read and records whether a replica answered it.
	CountRead(replica bool)
}

// Group serves one database group.
type Group struct {
	name        spool.Group
	timers      spool.Timers
	dial        Dialer
	observer    Observer
	primaryWait time.Duration
	fence       atomic.Pointer[terms.Fence]
	unfenced    bool // fault for tests: the acknowledgement rule is not enforced

	mutex          sync.Mutex
	specs          []spool.ServerSpec // indices never change; a removed server stays as leaving
	table          *route.Table
	queue          *slots.Queue
	pools          []pool
	waiters        map[uint64]chan slotResult
	tableChanged   chan struct{} // closed and replaced when the table changes
	serversChanged chan struct{} // closed and replaced when the set of eligible servers changes
	sequence       uint64
	running        int
	primaryConns   map[*pooledConn]spool.Term // connections to a primary with a running request, and the term it relies on
	termClosedAt   spool.Instant
	draining       bool
	shutDown       bool
	idle           chan struct{} // closed when a draining or shut-down group has no running request
	stopTimer      func()
}

// slotResult is the result of a request's wait for a slot.
type slotResult struct {
	server  int
	refusal *spool.Refusal
}

// Option changes a group under construction.
type Option func(*Group)

// WithObserver sets the observer of requests.
func WithObserver(observer Observer) Option {
	return func(group *Group) { group.observer = observer }
}

// WithPrimaryWait sets how long after the end of a term requests still wait for the next one; later they are refused at
// once.
func WithPrimaryWait(wait time.Duration) Option {
	return func(group *Group) { group.primaryWait = wait }
}

// New returns a group without an open term.
func New(spec spool.GroupSpec, timers spool.Timers, dial Dialer, options ...Option) *Group {
	group := &Group{
		name: spec.Name, timers: timers, dial: dial, observer: noopObserver{}, primaryWait: defaultPrimaryWait,
		table: route.New(nil), queue: slots.New(),
		waiters: map[uint64]chan slotResult{}, primaryConns: map[*pooledConn]spool.Term{}, tableChanged: make(chan struct{}), serversChanged: make(chan struct{}), idle: make(chan struct{}),
		termClosedAt: timers.Now(),
	}
	for _, option := range options {
		option(group)
	}
	group.fence.Store(&terms.Fence{})
	group.SetServers(spec.Servers)
	group.stopTimer = timers.Every(expireInterval, spool.TimerFunc(group.expireWaits))
	return group
}

// SetServers applies a changed list of servers.
func (group *Group) SetServers(servers []spool.ServerSpec) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	listed := map[spool.Server]bool{}
	for _, server := range servers {
		listed[server.Name] = true
		group.setServer(server)
	}
	for i := range group.specs {
		if !listed[group.specs[i].Name] {
			group.specs[i].Leaving = true
		}
	}
	group.table.SetServers(group.specs)
	group.updateLimits()
}

func (group *Group) setServer(server spool.ServerSpec) {
	for i := range group.specs {
		if group.specs[i].Name != server.Name {
			continue
		}
		if group.specs[i].Address != server.Address {
			group.pools[i].closeIdle(func() { group.queue.ReleaseConnection(i) })
		}
		group.specs[i] = server
		return
	}
	if len(group.specs) < maxServers {
		group.specs = append(group.specs, server)
		group.pools = append(group.pools, pool{})
	}
}

// updateLimits passes the servers' limits to the queue.
func (group *Group) updateLimits() {
	limits := make([]slots.Limit, len(group.specs))
	for i, spec := range group.specs {
		limits[i] = slots.Limit{
			Slots: spec.Slots, Connections: spec.Connections,
			Leaving: spec.Leaving, Up: group.table.Servers[i].Up,
		}
	}
	group.resolveGrants(group.queue.SetServers(limits, group.timers.Now()))
	group.notifyServersChanged()
}

// RecordStatus records a server's status that was requested at sentAt.
func (group *Group) RecordStatus(status spool.ServerStatus, sentAt spool.Instant) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	index := group.table.Index(status.Server)
	if index < 0 {
		return
	}
	wasUp := group.table.Servers[index].Up
	group.table.RecordStatus(status, sentAt)
	if !wasUp {
		group.updateLimits()
		go group.warmUp(index)
	}
	group.notifyTableChanged()
}

// MarkDown records that a server did not answer.
func (group *Group) MarkDown(server spool.Server) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.markDown(group.table.Index(server))
}

func (group *Group) markDown(index int) {
	if index < 0 || !group.table.Servers[index].Up {
		return
	}
	group.table.MarkDown(group.specs[index].Name)
	group.pools[index].closeIdle(func() { group.queue.ReleaseConnection(index) })
	group.updateLimits()
}

// OpenTerm lets requests run on the primary of a term.
func (group *Group) OpenTerm(open terms.Open) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	history := make([]route.TermStart, 0, len(open.History))
	for _, start := range open.History {
		history = append(history, route.TermStart{Term: spool.Term(start.Term), Start: spool.Position(start.Start)})
	}
	group.table.History = history
	group.table.OpenTerm(open.Primary, route.TermStart{Term: open.Term, Start: open.Start})
	group.termClosedAt = 0
	group.closeStale(open.Term)
	group.notifyServersChanged()
}

// closeStale closes the connections of requests to the primary of an earlier term, whose answers may not be forwarded.
func (group *Group) closeStale(term spool.Term) {
	for pooledConn, connTerm := range group.primaryConns {
		if connTerm < term {
			pooledConn.Close()
		}
	}
}

// CloseTerm lets no request run on the primary until the next OpenTerm.
func (group *Group) CloseTerm() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.table.CloseTerm()
	group.termClosedAt = group.timers.Now()
	group.notifyServersChanged()
}

// SetFence sets the term and the end of the lease up to which answers of the primary may be forwarded.
func (group *Group) SetFence(fence terms.Fence) { group.fence.Store(&fence) }

// ValidUntil returns the instant until which answers of a term's primary may be forwarded; it is past if none may.
func (group *Group) ValidUntil(term spool.Term) spool.Instant {
	fence := group.fence.Load()
	if term == 0 || fence.Term != term {
		return 0
	}
	return fence.Until
}

func (group *Group) allows(term spool.Term) bool {
	return group.unfenced || group.fence.Load().Allows(term, group.timers.Now())
}

// Drain admits no new request and returns a channel that is closed once no request is running.
func (group *Group) Drain() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.draining {
		group.draining = true
		group.notifyServersChanged()
		group.signalIdle()
	}
	return group.idle
}

// Shutdown ends the group on this proxy: no new request is admitted and idle connections are closed.
func (group *Group) Shutdown() {
	group.stopTimer()
	group.SetFence(terms.Fence{})
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.shutDown = true
	group.table.CloseTerm()
	group.closeStale(math.MaxUint64)
	for i := range group.pools {
		group.pools[i].closeIdle(func() { group.queue.ReleaseConnection(i) })
	}
	group.notifyServersChanged()
	group.signalIdle()
}

// BlockDrain keeps a drain from completing until the returned function is called.
func (group *Group) BlockDrain() (release func()) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running++
	return group.endRequest
}

func (group *Group) signalIdle() {
	if (group.draining || group.shutDown) && group.running == 0 {
		select {
		case <-group.idle:
		default:
			close(group.idle)
		}
	}
}

// notifyTableChanged wakes the requests that wait for a change of the table.
func (group *Group) notifyTableChanged() {
	close(group.tableChanged)
	group.tableChanged = make(chan struct{})
}

// notifyServersChanged makes the requests that wait for a slot pick servers again.
func (group *Group) notifyServersChanged() {
	close(group.serversChanged)
	group.serversChanged = make(chan struct{})
	group.notifyTableChanged()
}

func (group *Group) expireWaits(now spool.Instant) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, refusal := range group.queue.Expire(now) {
		group.resolve(refusal.ID, slotResult{refusal: noSlotRefusal(refusal.RetryAfter)})
	}
}

func (group *Group) resolveGrants(grants []slots.Grant) {
	for _, grant := range grants {
		group.resolve(grant.ID, slotResult{server: grant.Server})
	}
}

func (group *Group) resolve(id uint64, result slotResult) {
	waiter, waiting := group.waiters[id]
	if !waiting {
		panic(fmt.Sprintf("leader: request %d has a result but does not wait for a slot", id))
	}
	delete(group.waiters, id)
	waiter <- result
}

// Snapshot returns a copy of the servers' last known state, and the open term with its primary.
func (group *Group) Snapshot() (servers []route.Server, primary spool.Server, term spool.Term) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	servers = append(servers, group.table.Servers...)
	if group.table.Primary >= 0 {
		primary = servers[group.table.Primary].Name
	}
	return servers, primary, group.table.Current.Term
}

type noopObserver struct{}

// ObserveSlotWait does nothing.
func (noopObserver) ObserveSlotWait(time.Duration) {}

// CountRead does nothing.
func (noopObserver) CountRead(bool) {}
