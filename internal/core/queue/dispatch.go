package queue

import (
	"cmp"

	"corianderspool.example/spool/pkg/spool"
)

// reuseBonus is the factor by which the use of a team with an idle connection counts less. Serving another team costs a
// handshake of about the time of a short statement.
const reuseBonus = 0.7

// maxClassFailures is the number of items of one team and target that a dispatch offers in vain. The home regions of requests
// differ within a class; more failures would keep it from the other classes.
const maxClassFailures = 2

// Capacity reports what is free at the servers of a target.
type Capacity interface {
	// Free reports whether a request of the team can be served now, and whether an idle connection of the team can be reused.
	Free(team spool.Team, target Target) (possible, reuse bool)
}

// Dispatch offers waiting items in order to serve, which reports whether it served the item; served items are removed. It
// asks for the capacity once for each team and target, and again after each item served.
func (queue *Queue[T]) Dispatch(now spool.Instant, capacity Capacity, serve func(item *Item[T]) bool) {
	if queue.length == 0 {
		return
	}
	if queue.prioritized {
		queue.divide(now)
	}
	for _, class := range queue.classes {
		class.next = 0
	}
	for failures := 0; failures < maxFailures; {
		item := queue.first(capacity)
		if item == nil {
			return
		}
		if serve(item) {
			queue.Remove(item)
			continue
		}
		item.class.next++
		failures++
		if item.class.next >= maxClassFailures {
			item.class.next = len(item.class.items) // the others of the class accept the same servers, so they would fail as well
		}
	}
}

// first returns the item to offer next, or nil if no request can be served.
func (queue *Queue[T]) first(capacity Capacity) *Item[T] {
	var best *Item[T]
	bestCost := 0.0
	for _, class := range queue.classes {
		if class.next >= len(class.items) {
			continue
		}
		possible, reuse := capacity.Free(class.team.name, class.target)
		if !possible {
			continue
		}
		item, cost := class.items[class.next], class.team.usage
		if reuse {
			cost *= reuseBonus
		}
		if best == nil || queue.compare(item, best, cost, bestCost) < 0 {
			best, bestCost = item, cost
		}
	}
	return best
}

// compare orders the first items of two classes.
func (queue *Queue[T]) compare(left, right *Item[T], leftCost, rightCost float64) int {
	if !queue.prioritized {
		return queue.compareItems(left, right)
	}
	leftWithin, rightWithin := left.class.team.within, right.class.team.within
	switch {
	case leftWithin && !rightWithin:
		return -1
	case rightWithin && !leftWithin:
		return 1
	case leftWithin && left.Priority != right.Priority:
		return cmp.Compare(left.Priority, right.Priority)
	}
	return cmp.Or(cmp.Compare(leftCost, rightCost), queue.compareItems(left, right))
}
