package slots

import (
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Defaults of a queue's settings.
const (
	defaultUsageWindow = 5 * time.Second
	defaultSlotTime    = 5 * time.Millisecond
)

// Queue grants the slots of one group's servers.
type Queue struct {
	usageWindow time.Duration // time constant of the decay of used slot time
	meter       slotTimeMeter
	servers     []server
	teams       map[spool.Team]*team
	order       []*team // in the order of their first item
	arrivals    uint64
	waiting     int
	demands     []float64
	grants      []Grant
	overdue     []Refusal // items that were found past their deadline while slots were granted
	refused     []Refusal
}

// Option configures a Queue.
type Option func(queue *Queue)

// WithUsageWindow sets the time constant with which the slot time that a team used decays.
func WithUsageWindow(window time.Duration) Option {
	return func(queue *Queue) { queue.usageWindow = window }
}

// WithSlotTime sets the slot time that is expected of an item before any was measured.
func WithSlotTime(slotTime time.Duration) Option {
	return func(queue *Queue) { queue.meter.slotTime = slotTime.Seconds() }
}

// New returns a queue without servers.
func New(options ...Option) *Queue {
	queue := &Queue{usageWindow: defaultUsageWindow, teams: map[spool.Team]*team{}}
	queue.meter = slotTimeMeter{slotTime: defaultSlotTime.Seconds(), releases: 1}
	for _, option := range options {
		option(queue)
	}
	return queue
}

// SetServers replaces the servers' limits and returns the grants that become possible, valid until the next call; a server
// keeps its index.
func (queue *Queue) SetServers(limits []Limit, now spool.Instant) []Grant {
	for len(queue.servers) < len(limits) {
		queue.servers = append(queue.servers, server{})
	}
	for i := range queue.servers {
		queue.servers[i].limit = Limit{}
		if i < len(limits) {
			queue.servers[i].limit = limits[i]
		}
	}
	queue.grants = queue.grants[:0]
	for i := range queue.servers {
		queue.grantFree(i, now)
	}
	return queue.grants
}

// Acquire grants the item a slot, queues it or refuses it.
func (queue *Queue) Acquire(item Item, now spool.Instant) Answer {
	team := queue.team(item.Team, now)
	if index, found := queue.mostFree(item.Servers, 0); found {
		queue.occupy(index, team, now)
		return Answer{Outcome: Granted, Server: index}
	}
	wait := queue.expectedWait(team, item.Servers, queue.itemsAhead(team, item.Servers), now)
	if wait > item.Deadline.Sub(now)/spareWaitDivisor {
		if index, found := queue.mostFree(item.Spare, spareReserve); found {
			queue.occupy(index, team, now)
			return Answer{Outcome: Granted, Server: index}
		}
	}
	if now.Add(wait) >= item.Deadline {
		return Answer{Outcome: Refused, RetryAfter: queue.retryAfter(wait, item.Deadline, now)}
	}
	queue.arrivals++
	queue.waiting++
	team.push(entry{id: item.ID, arrival: queue.arrivals, deadline: item.Deadline}, item.Servers)
	return Answer{Outcome: Queued}
}

// Release frees a team's slot and returns the grants that become possible, valid until the next call. It panics if the slot was
// not granted.
func (queue *Queue) Release(server int, name spool.Team, now spool.Instant) []Grant {
	team := queue.team(name, now)
	if queue.servers[server].busy == 0 || team.running == 0 {
		panic("slots: released a slot that was not granted")
	}
	team.charge(now, queue.usageWindow)
	queue.meter.record(-1, now)
	queue.servers[server].busy--
	team.running--
	queue.grants = queue.grants[:0]
	queue.grantFree(server, now)
	return queue.grants
}

// Expire refuses the queued items whose deadline has passed or will pass within half of their expected wait.
func (queue *Queue) Expire(now spool.Instant) []Refusal {
	queue.refused = append(queue.refused[:0], queue.overdue...)
	queue.overdue = queue.overdue[:0]
	if queue.waiting == 0 {
		return queue.refused
	}
	for _, team := range queue.order {
		if team.waiting > 0 {
			queue.expireTeam(team, now)
		}
	}
	return queue.refused
}

// Cancel removes a queued item and reports whether it was still queued.
func (queue *Queue) Cancel(id uint64) bool {
	for _, team := range queue.order {
		removed := team.removeIf(func(_ *subqueue, entry entry) bool { return entry.id == id })
		if removed > 0 {
			queue.waiting -= removed
			return true
		}
	}
	before := len(queue.overdue)
	queue.overdue = slices.DeleteFunc(queue.overdue, func(refusal Refusal) bool { return refusal.ID == id })
	return len(queue.overdue) < before
}

// AcceptsWork reports whether a server is up and not leaving.
func (queue *Queue) AcceptsWork(server int) bool { return queue.servers[server].acceptsWork() }

// ReserveConnection reserves one of a server's connections and reports whether its limit allows it.
func (queue *Queue) ReserveConnection(server int) bool {
	limited := &queue.servers[server]
	if !limited.acceptsWork() {
		return false
	}
	if limited.limit.Connections > 0 && limited.connections >= limited.limit.Connections {
		return false
	}
	limited.connections++
	return true
}

// ReleaseConnection releases a reserved connection. It panics if none is reserved.
func (queue *Queue) ReleaseConnection(server int) {
	if queue.servers[server].connections == 0 {
		panic("slots: released a connection that was not reserved")
	}
	queue.servers[server].connections--
}

// grantFree grants the free slots of a server to the waiting teams with the least recent slot time.
func (queue *Queue) grantFree(index int, now spool.Instant) {
	for queue.waiting > 0 && queue.servers[index].free() > 0 {
		chosen := queue.leastServed(Servers(1)<<index, now)
		if chosen == nil {
			return
		}
		entry := chosen.oldest(Servers(1) << index).entries.Pop()
		chosen.waiting--
		queue.waiting--
		if entry.deadline <= now {
			refusal := Refusal{ID: entry.id, RetryAfter: queue.retryAfter(0, entry.deadline, now)}
			queue.overdue = append(queue.overdue, refusal)
			continue
		}
		queue.occupy(index, chosen, now)
		queue.grants = append(queue.grants, Grant{ID: entry.id, Team: chosen.name, Server: index})
	}
}

func (queue *Queue) occupy(index int, team *team, now spool.Instant) {
	team.charge(now, queue.usageWindow)
	queue.meter.record(1, now)
	team.running++
	queue.servers[index].busy++
}

// leastServed returns the team with the least recent slot time among those that wait for one of the servers, or nil.
func (queue *Queue) leastServed(servers Servers, now spool.Instant) *team {
	var chosen *team
	for _, team := range queue.order {
		if team.waiting == 0 || team.oldest(servers) == nil {
			continue
		}
		team.charge(now, queue.usageWindow)
		if chosen == nil || team.usage < chosen.usage {
			chosen = team
		}
	}
	return chosen
}
