package queue

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Target describes the servers that a request accepts. Requests with equal targets compete for the same servers.
type Target struct {
	Server  spool.Server // the only acceptable server; empty if the group's primary or several servers are acceptable
	Primary bool         // only the primary is acceptable
	Retry   bool         // some servers are not acceptable
	Local   bool         // no other proxy lends a connection
}

// overlaps reports whether requests with two targets compete for a server, given the group's primary.
func (target Target) overlaps(other Target, primary spool.Server) bool {
	first, second := target.only(primary), other.only(primary)
	return first == "" || second == "" || first == second
}

// only returns the only server that a target accepts, or an empty name.
func (target Target) only(primary spool.Server) spool.Server {
	if target.Primary {
		return primary
	}
	return target.Server
}

// Item is a request that waits for a connection.
type Item[T any] struct {
	Team     spool.Team
	Target   Target
	Priority int // zero is the most urgent
	Arrived  spool.Instant
	Deadline spool.Instant
	Value    T

	sequence uint64
	class    *class[T] // nil if the item is not queued
}

// class holds the waiting items of one team with one target, the next one first.
type class[T any] struct {
	team   *team
	target Target
	items  []*Item[T]
	next   int // index of the item to offer next in the dispatch in progress
}

// compareItems orders the items of a class, the one that is served first before the others.
func (queue *Queue[T]) compareItems(left, right *Item[T]) int {
	order := cmp.Compare(left.Priority, right.Priority)
	if order == 0 && queue.prioritized {
		order = cmp.Compare(left.Deadline, right.Deadline)
	}
	return cmp.Or(order, cmp.Compare(left.sequence, right.sequence))
}

func (queue *Queue[T]) insert(class *class[T], item *Item[T]) {
	index, _ := slices.BinarySearchFunc(class.items, item, queue.compareItems)
	class.items = slices.Insert(class.items, index, item)
	item.class = class
	class.team.waiting++
}

// remove removes an item from its class, and the class if it becomes empty.
func (queue *Queue[T]) remove(item *Item[T]) {
	class := item.class
	index, _ := slices.BinarySearchFunc(class.items, item, queue.compareItems)
	class.items = slices.Delete(class.items, index, index+1)
	item.class = nil
	class.team.waiting--
	if len(class.items) > 0 {
		return
	}
	position := slices.Index(queue.classes, class)
	queue.classes = slices.Delete(queue.classes, position, position+1)
}

// findClass returns the class of a team and target, or nil if nothing of it waits.
func (queue *Queue[T]) findClass(name spool.Team, target Target) *class[T] {
	for _, class := range queue.classes {
		if class.team.name == name && class.target == target {
			return class
		}
	}
	return nil
}
