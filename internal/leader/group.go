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
	expireInterval  = 10 * time.Millisecond
	defaultPatience = 5 * time.Second
	maxServers      = 64
)

// ErrMoved says that this proxy does not hold the group's lease or gives it up; nothing ran.
var ErrMoved = eris.New("another proxy holds the group's lease")

// Conn is a connection to a backend server.
type Conn interface {
	Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error)
	Reset(ctx context.Context) error
	Broken() bool
	Close()
}

// Dialer opens connections to backend servers.
type Dialer func(ctx context.Context, server spool.ServerSpec) (Conn, error)

// Observer is told what happens to requests.
type Observer interface {
	// SlotWaited tells how long a request waited for a slot.
	ObserveSlotWait(wait time.Duration)
	// Read tells of an answered read and whether a replica gave the answer.
	CountRead(replica bool)
}

// Group serves one database group.
type Group struct {
	name     spool.Group
	timers   spool.Timers
	dial     Dialer
	observer Observer
	patience time.Duration
	fence    atomic.Pointer[terms.Fence]
	unfenced bool // turned off by a test that expects the acknowledgement rule to break

	mutex    sync.Mutex
	specs    []spool.ServerSpec // indices never move; a server that was removed stays as leaving
	table    *route.Table
	queue    *slots.Queue
	pools    []pool
	waiters  map[uint64]chan verdict
	changed  chan struct{} // closed and replaced when the table changes
	reset    chan struct{} // closed and replaced when another set of servers may answer
	sequence uint64
	running  int
	links    map[*link]spool.Term // connections to a primary that carry a request, and the term that it counts on
	closedAt spool.Instant
	draining bool
	dropped  bool
	idle     chan struct{} // closed when a draining group runs nothing any more
	stop     func()
}

// verdict ends a request's wait for a slot.
type verdict struct {
	server  int
	refusal *spool.Refusal
}

// Option changes a group under construction.
type Option func(*Group)

// WithObserver sets who is told what happens to requests.
func WithObserver(observer Observer) Option {
	return func(group *Group) { group.observer = observer }
}

// WithPatience sets how long requests queue while no primary is open before they are refused at once.
func WithPatience(patience time.Duration) Option {
	return func(group *Group) { group.patience = patience }
}

// New returns a group with no term open.
func New(spec spool.GroupSpec, timers spool.Timers, dial Dialer, options ...Option) *Group {
	group := &Group{
		name: spec.Name, timers: timers, dial: dial, observer: silent{}, patience: defaultPatience,
		table: route.New(nil), queue: slots.New(),
		waiters: map[uint64]chan verdict{}, links: map[*link]spool.Term{}, changed: make(chan struct{}), reset: make(chan struct{}), idle: make(chan struct{}),
		closedAt: timers.Now(),
	}
	for _, option := range options {
		option(group)
	}
	group.fence.Store(&terms.Fence{})
	group.SetServers(spec.Servers)
	group.stop = timers.Every(expireInterval, spool.TimerFunc(group.expire))
	return group
}

// SetServers takes over a changed list of servers.
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
	group.limit()
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

// limit passes the servers' limits to the queue.
func (group *Group) limit() {
	limits := make([]slots.Limit, len(group.specs))
	for i, spec := range group.specs {
		limits[i] = slots.Limit{
			Slots: spec.Slots, Connections: spec.Connections,
			Leaving: spec.Leaving, Up: group.table.Servers[i].Up,
		}
	}
	group.grant(group.queue.SetServers(limits, group.timers.Now()))
	group.restart()
}

// See records a server's status that was asked for at sentAt.
func (group *Group) See(status spool.ServerStatus, sentAt spool.Instant) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	index := group.table.Index(status.Server)
	if index < 0 {
		return
	}
	wasUp := group.table.Servers[index].Up
	group.table.RecordStatus(status, sentAt)
	if !wasUp {
		group.limit()
		go group.warm(index)
	}
	group.announce()
}

// Miss records that a server did not answer.
func (group *Group) Miss(server spool.Server) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.miss(group.table.Index(server))
}

func (group *Group) miss(index int) {
	if index < 0 || !group.table.Servers[index].Up {
		return
	}
	group.table.MarkDown(group.specs[index].Name)
	group.pools[index].closeIdle(func() { group.queue.ReleaseConnection(index) })
	group.limit()
}

// Open lets requests run on the primary of a term.
func (group *Group) Open(open terms.Open) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	history := make([]route.TermStart, 0, len(open.History))
	for _, start := range open.History {
		history = append(history, route.TermStart{Term: spool.Term(start.Term), Start: spool.Position(start.Start)})
	}
	group.table.History = history
	group.table.OpenTerm(open.Primary, route.TermStart{Term: open.Term, Start: open.Start})
	group.closedAt = 0
	group.cut(open.Term)
	group.restart()
}

// cut ends the requests that wait for the primary of an earlier term, whose answers nobody may pass on.
func (group *Group) cut(term spool.Term) {
	for link, counted := range group.links {
		if counted < term {
			link.Close()
		}
	}
}

// Close lets no request run on the primary until the next Open.
func (group *Group) Close() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.table.CloseTerm()
	group.closedAt = group.timers.Now()
	group.restart()
}

// SetFence replaces the acknowledgement rule.
func (group *Group) SetFence(fence terms.Fence) { group.fence.Store(&fence) }

// Valid returns the instant until which answers of a term's primary may be passed on; it lies in the past if none may.
func (group *Group) Valid(term spool.Term) spool.Instant {
	fence := group.fence.Load()
	if term == 0 || fence.Term != term {
		return 0
	}
	return fence.Until
}

func (group *Group) allows(term spool.Term) bool {
	return group.unfenced || group.fence.Load().Allows(term, group.timers.Now())
}

// Drain admits nothing new and returns a channel that is closed once nothing runs any more.
func (group *Group) Drain() <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.draining {
		group.draining = true
		group.restart()
		group.settle()
	}
	return group.idle
}

// Drop ends the group on this proxy: nothing new is admitted and idle connections close.
func (group *Group) Drop() {
	group.stop()
	group.SetFence(terms.Fence{})
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.dropped = true
	group.table.CloseTerm()
	group.cut(math.MaxUint64)
	for i := range group.pools {
		group.pools[i].closeIdle(func() { group.queue.ReleaseConnection(i) })
	}
	group.restart()
	group.settle()
}

// Hold keeps a draining group from ending until the returned function is called.
func (group *Group) Hold() (release func()) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.running++
	return group.leave
}

func (group *Group) settle() {
	if (group.draining || group.dropped) && group.running == 0 {
		select {
		case <-group.idle:
		default:
			close(group.idle)
		}
	}
}

// announce wakes the requests that wait for a change of the table.
func (group *Group) announce() {
	close(group.changed)
	group.changed = make(chan struct{})
}

// restart has the requests that wait for a slot look again for servers that may answer.
func (group *Group) restart() {
	close(group.reset)
	group.reset = make(chan struct{})
	group.announce()
}

func (group *Group) expire(now spool.Instant) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, refusal := range group.queue.Expire(now) {
		group.tell(refusal.ID, verdict{refusal: noSlot(refusal.RetryAfter)})
	}
}

func (group *Group) grant(grants []slots.Grant) {
	for _, grant := range grants {
		group.tell(grant.ID, verdict{server: grant.Server})
	}
}

func (group *Group) tell(id uint64, verdict verdict) {
	waiter, waits := group.waiters[id]
	if !waits {
		panic(fmt.Sprintf("leader: request %d is told a verdict but does not wait", id))
	}
	delete(group.waiters, id)
	waiter <- verdict
}

// Snapshot returns a copy of what is known of the servers, and the open term's primary.
func (group *Group) Snapshot() (servers []route.Server, primary spool.Server, term spool.Term) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	servers = append(servers, group.table.Servers...)
	if group.table.Primary >= 0 {
		primary = servers[group.table.Primary].Name
	}
	return servers, primary, group.table.Current.Term
}

type silent struct{}

// SlotWaited does nothing.
func (silent) ObserveSlotWait(time.Duration) {}

// Read does nothing.
func (silent) CountRead(bool) {}
