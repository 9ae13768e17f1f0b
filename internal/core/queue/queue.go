package queue

import (
	"corianderspool.example/spool/pkg/spool"
)

// Bounds of the queue. The expected wait refuses requests earlier unless connections are held very shortly.
const (
	MaxPerTeam   = 64  // waiting items of one team with one target
	MaxPerTarget = 512 // waiting items of all teams with one target
	// maxFailures bounds the items that one dispatch offers in vain, since each offer tries all servers of the target.
	maxFailures = 16
)

// Queue orders the requests that wait for connections to the servers of one group. It is not safe for concurrent use.
type Queue[T any] struct {
	prioritized bool
	teams       map[spool.Team]*team
	classes     []*class[T] // those with waiting items
	arrivals    uint64
	length      int
	holdTime    float64 // seconds, decayed at each release
	holds       float64
	inUse       float64 // connections that all teams use, as of the last division
	allowed     float64 // use, in connections, up to which a team is within its share, as of the last division
}

// New returns an empty queue that serves requests in the order of their arrival.
func New[T any]() *Queue[T] { return &Queue[T]{teams: map[spool.Team]*team{}} }

// SetPrioritized sets whether the routes of the deployment differ in priority.
func (queue *Queue[T]) SetPrioritized(prioritized bool) {
	if queue.prioritized == prioritized {
		return
	}
	queue.prioritized = prioritized
	for _, class := range queue.classes {
		items := class.items
		class.items = nil
		class.team.waiting -= len(items)
		for _, item := range items {
			queue.insert(class, item)
		}
	}
}

// Prioritized reports whether the order is fair between teams and by priority.
func (queue *Queue[T]) Prioritized() bool { return queue.prioritized }

// Len returns the number of waiting items.
func (queue *Queue[T]) Len() int { return queue.length }

// Push adds an item. At a bound it removes and returns the last item of the team, which is the added one unless that is more
// urgent.
func (queue *Queue[T]) Push(item *Item[T], now spool.Instant) (displaced *Item[T]) {
	queue.arrivals++
	item.sequence = queue.arrivals
	found := queue.findClass(item.Team, item.Target)
	if found == nil {
		if queue.waitingFor(item.Target) >= MaxPerTarget {
			return item
		}
		found = &class[T]{team: queue.team(item.Team, now), target: item.Target}
		queue.classes = append(queue.classes, found)
	}
	full := len(found.items) >= MaxPerTeam || queue.waitingFor(item.Target) >= MaxPerTarget
	if full && queue.compareItems(item, found.items[len(found.items)-1]) >= 0 {
		return item
	}
	queue.insert(found, item)
	queue.length++
	if full {
		displaced = found.items[len(found.items)-1]
		queue.Remove(displaced)
	}
	return displaced
}

// Remove removes an item and reports whether it was waiting.
func (queue *Queue[T]) Remove(item *Item[T]) bool {
	if item.class == nil {
		return false
	}
	queue.remove(item)
	queue.length--
	return true
}

// Waiting reports whether an item is queued.
func (item *Item[T]) Waiting() bool { return item.class != nil }

// Each calls visit for every waiting item until it returns false.
func (queue *Queue[T]) Each(visit func(item *Item[T]) bool) {
	for _, class := range queue.classes {
		for _, item := range class.items {
			if !visit(item) {
				return
			}
		}
	}
}

// waitingFor returns the number of items that wait for a target.
func (queue *Queue[T]) waitingFor(target Target) int {
	count := 0
	for _, class := range queue.classes {
		if class.target == target {
			count += len(class.items)
		}
	}
	return count
}
