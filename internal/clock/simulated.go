package clock

import (
	"container/heap"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Simulated is a timer service whose time moves only when Advance is called; it is not safe for concurrent use.
type Simulated struct {
	now      spool.Instant
	sequence int
	pending  alarms
}

// Now returns the simulated instant.
func (simulated *Simulated) Now() spool.Instant { return simulated.now }

// Every calls receiver once a period.
func (simulated *Simulated) Every(period time.Duration, receiver spool.TimerReceiver) (stop func()) {
	entry := &alarm{period: period, receiver: receiver}
	simulated.schedule(entry, period)
	return func() { entry.stopped = true }
}

// After calls receiver once.
func (simulated *Simulated) After(delay time.Duration, receiver spool.TimerReceiver) (stop func()) {
	entry := &alarm{receiver: receiver}
	simulated.schedule(entry, delay)
	return func() { entry.stopped = true }
}

// Advance moves the time on and fires what comes due, in order of time and then of subscription.
func (simulated *Simulated) Advance(duration time.Duration) {
	end := simulated.now.Add(duration)
	for len(simulated.pending) > 0 && simulated.pending[0].due <= end {
		entry := heap.Pop(&simulated.pending).(*alarm)
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

func (simulated *Simulated) schedule(entry *alarm, delay time.Duration) {
	simulated.sequence++
	entry.sequence = simulated.sequence
	entry.due = simulated.now.Add(delay)
	heap.Push(&simulated.pending, entry)
}

type alarm struct {
	due      spool.Instant
	sequence int
	period   time.Duration
	receiver spool.TimerReceiver
	stopped  bool
}

type alarms []*alarm

func (alarms alarms) Len() int { return len(alarms) }

func (alarms alarms) Less(i, j int) bool {
	if alarms[i].due != alarms[j].due {
		return alarms[i].due < alarms[j].due
	}
	return alarms[i].sequence < alarms[j].sequence
}

func (alarms alarms) Swap(i, j int) { alarms[i], alarms[j] = alarms[j], alarms[i] }

func (alarms *alarms) Push(entry any) { *alarms = append(*alarms, entry.(*alarm)) }

func (alarms *alarms) Pop() any {
	old := *alarms
	last := old[len(old)-1]
	*alarms = old[:len(old)-1]
	return last
}
