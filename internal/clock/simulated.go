package clock

import (
	"container/heap"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Simulated implements spool.Timers with a time that only Advance changes; it is not safe for concurrent use.
type Simulated struct {
	now      spool.Instant
	sequence int
	pending  timerHeap
}

// Now returns the simulated instant.
func (simulated *Simulated) Now() spool.Instant { return simulated.now }

// Every calls receiver once per period.
func (simulated *Simulated) Every(period time.Duration, receiver spool.TimerReceiver) (stop func()) {
	entry := &timer{period: period, receiver: receiver}
	simulated.schedule(entry, period)
	return func() { entry.stopped = true }
}

// After calls receiver once after delay.
func (simulated *Simulated) After(delay time.Duration, receiver spool.TimerReceiver) (stop func()) {
	entry := &timer{receiver: receiver}
	simulated.schedule(entry, delay)
	return func() { entry.stopped = true }
}

// Advance advances the time by duration and fires the timers that come due, ordered by due time and then by scheduling.
func (simulated *Simulated) Advance(duration time.Duration) {
	end := simulated.now.Add(duration)
	for len(simulated.pending) > 0 && simulated.pending[0].due <= end {
		entry := heap.Pop(&simulated.pending).(*timer)
		if entry.stopped {
			continue
		}
		simulated.now = max(simulated.now, entry.due)
		if entry.period > 0 {
			simulated.schedule(entry, entry.period)
		}
		entry.receiver.Fire(simulated.now)
	}
	simulated.now = end
}

func (simulated *Simulated) schedule(entry *timer, delay time.Duration) {
	simulated.sequence++
	entry.sequence = simulated.sequence
	entry.due = simulated.now.Add(delay)
	heap.Push(&simulated.pending, entry)
}

type timer struct {
	due      spool.Instant
	sequence int
	period   time.Duration
	receiver spool.TimerReceiver
	stopped  bool
}

type timerHeap []*timer

func (timers timerHeap) Len() int { return len(timers) }

func (timers timerHeap) Less(i, j int) bool {
	if timers[i].due != timers[j].due {
		return timers[i].due < timers[j].due
	}
	return timers[i].sequence < timers[j].sequence
}

func (timers timerHeap) Swap(i, j int) { timers[i], timers[j] = timers[j], timers[i] }

func (timers *timerHeap) Push(entry any) { *timers = append(*timers, entry.(*timer)) }

func (timers *timerHeap) Pop() any {
	old := *timers
	last := old[len(old)-1]
	*timers = old[:len(old)-1]
	return last
}
