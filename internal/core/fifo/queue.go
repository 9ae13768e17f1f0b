package fifo

// Queue is a first-in, first-out queue; its zero value is empty.
type Queue[Entry any] struct {
	entries []Entry
	head    int
}

// Len returns the number of entries.
func (queue *Queue[Entry]) Len() int { return len(queue.entries) - queue.head }

// First returns the oldest entry; the queue must not be empty.
func (queue *Queue[Entry]) First() *Entry { return &queue.entries[queue.head] }

// Push adds an entry at the end; in a full slice it reuses the space of removed entries if that is more than half of it.
func (queue *Queue[Entry]) Push(entry Entry) {
	if queue.head > len(queue.entries)/2 && len(queue.entries) == cap(queue.entries) {
		queue.Filter(func(Entry) bool { return true })
	}
	queue.entries = append(queue.entries, entry)
}

// Pop removes the oldest entry; the queue must not be empty.
func (queue *Queue[Entry]) Pop() Entry {
	entry := queue.entries[queue.head]
	var empty Entry
	queue.entries[queue.head] = empty
	queue.head++
	if queue.head == len(queue.entries) {
		queue.entries = queue.entries[:0]
		queue.head = 0
	}
	return entry
}

// Filter removes the entries for which keep returns false.
func (queue *Queue[Entry]) Filter(keep func(entry Entry) bool) {
	kept := queue.entries[:0]
	for _, entry := range queue.entries[queue.head:] {
		if keep(entry) {
			kept = append(kept, entry)
		}
	}
	clear(queue.entries[len(kept):])
	queue.entries = kept
	queue.head = 0
}
