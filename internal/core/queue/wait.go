package queue

import (
	"sort"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// refuseDivisor divides the expected wait of an item that is already queued before it is compared with its deadline, since
// the order behind it may still change in its favour.
const refuseDivisor = 2

// Ahead returns how many items are expected to be served before one of a team, target and priority that arrives now. The
// primary is that of the group, or empty if it is not known.
func (queue *Queue[T]) Ahead(name spool.Team, target Target, priority int, primary spool.Server, now spool.Instant) int {
	if !queue.prioritized {
		return queue.aheadInOrder(target, priority)
	}
	requester := queue.team(name, now)
	queue.divide(now)
	return queue.aheadOf(requester, target, priority, primary)
}

// aheadOf returns how many items are expected to be served before one of a team, by the last division.
func (queue *Queue[T]) aheadOf(requester *team, target Target, priority int, primary spool.Server) int {
	own := 0
	for _, class := range queue.classes {
		if class.team == requester && class.target.overlaps(target, primary) {
			upTo, _ := class.count(priority)
			own += upTo
		}
	}
	ahead := own
	for _, class := range queue.classes {
		if class.team != requester && class.target.overlaps(target, primary) {
			ahead += class.servedBefore(requester.within, priority, own+1)
		}
	}
	return ahead
}

// aheadInOrder counts all items that are as urgent.
func (queue *Queue[T]) aheadInOrder(target Target, priority int) int {
	ahead := 0
	for _, class := range queue.classes {
		if class.target.Server == target.Server && class.target.Primary == target.Primary {
			upTo, _ := class.count(priority)
			ahead += upTo
		}
	}
	return ahead
}

// servedBefore returns how many items of another team are served before one of a requester, whose team and this one take
// turns if neither precedes the other.
func (class *class[T]) servedBefore(requesterWithin bool, priority, turns int) int {
	upTo, moreUrgent := class.count(priority)
	switch {
	case requesterWithin && !class.team.within:
		return 0
	case !requesterWithin && class.team.within:
		return len(class.items)
	case !requesterWithin:
		return min(len(class.items), turns)
	}
	return moreUrgent + min(upTo-moreUrgent, turns)
}

// count returns the number of items that are at least as urgent as a priority, and of those that are more urgent.
func (class *class[T]) count(priority int) (upTo, moreUrgent int) {
	moreUrgent = sort.Search(len(class.items), func(i int) bool { return class.items[i].Priority >= priority })
	upTo = sort.Search(len(class.items), func(i int) bool { return class.items[i].Priority > priority })
	return upTo, moreUrgent
}

// RefuseHopeless removes items that are not expected to be served in time: the last one of each class, repeatedly, while half
// of its expected wait exceeds the time left. It calls refuse for each with the expected wait.
func (queue *Queue[T]) RefuseHopeless(
	primary spool.Server, now spool.Instant,
	expected func(target Target, ahead int) time.Duration, refuse func(item *Item[T], wait time.Duration),
) {
	if !queue.prioritized {
		return
	}
	queue.divide(now)
	for i := len(queue.classes) - 1; i >= 0; i-- {
		class := queue.classes[i]
		for len(class.items) > 0 {
			last := class.items[len(class.items)-1]
			ahead := queue.aheadOf(class.team, last.Target, last.Priority, primary) - 1
			wait := expected(last.Target, ahead)
			if now.Add(wait/refuseDivisor) < last.Deadline {
				break
			}
			queue.Remove(last)
			refuse(last, wait)
		}
	}
}
