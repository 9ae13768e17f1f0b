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
	ahead, first := own, 0
	for _, class := range queue.classes {
		if class.team == requester || !class.target.overlaps(target, primary) {
			continue
		}
		switch served := class.servedBefore(priority, own+1); {
		case requester.within && class.team.within:
			ahead += served
		case class.team.within: // all of them, until the requester's team is within its share again
			ahead += served
			first += len(class.items) - served
		case !requester.within:
			ahead += min(len(class.items), own+1)
		}
	}
	return ahead + min(first, queue.untilWithin(requester))
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

// servedBefore returns how many items of another team are served before one of a requester, if neither team is beyond its share
// or both are: the more urgent ones, and as many others as the teams take turns.
func (class *class[T]) servedBefore(priority, turns int) int {
	upTo, moreUrgent := class.count(priority)
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
