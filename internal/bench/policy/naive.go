package policy

import (
	"golang.org/x/time/rate"

	"corianderspool.example/spool/internal/core/fifo"
)

// localBuckets admits requests by an independent token bucket for each team and VM.
type localBuckets struct {
	trial    *trial
	limiters [][]*rate.Limiter // by VM and team
}

// newLocalBuckets divides each team's rate and burst by the divisor for the bucket of each VM.
func newLocalBuckets(trial *trial, divisor int) *localBuckets {
	localBuckets := &localBuckets{trial: trial}
	for range trial.deployment.VMs {
		var limiters []*rate.Limiter
		for _, team := range trial.deployment.Teams {
			limit := rate.Limit(team.RatePerSecond / float64(divisor))
			limiters = append(limiters, rate.NewLimiter(limit, max(1, int(team.Burst)/divisor)))
		}
		localBuckets.limiters = append(localBuckets.limiters, limiters)
	}
	return localBuckets
}

func (localBuckets *localBuckets) submit(request *request) {
	if localBuckets.limiters[request.vm][request.team].AllowN(localBuckets.trial.wallTime(), 1) {
		localBuckets.trial.admit(request)
		return
	}
	localBuckets.trial.recordRefusal(request)
}

// naiveQueue gives free slots to the oldest request and ignores teams, the order of deadlines and replica positions.
type naiveQueue struct {
	trial     *trial
	freeSlots []int
	waiting   fifo.Queue[*request]
}

func newNaiveQueue(trial *trial) *naiveQueue {
	naiveQueue := &naiveQueue{trial: trial}
	for range trial.deployment.Servers {
		naiveQueue.freeSlots = append(naiveQueue.freeSlots, trial.deployment.Slots)
	}
	return naiveQueue
}

func (naiveQueue *naiveQueue) schedule(request *request) {
	naiveQueue.waiting.Push(request)
	naiveQueue.startWaiting()
}

func (naiveQueue *naiveQueue) startWaiting() {
	if naiveQueue.noFreeSlot() {
		return
	}
	naiveQueue.waiting.Filter(func(request *request) bool {
		if naiveQueue.trial.clock.Now() > request.deadline {
			naiveQueue.trial.recordRefusal(request)
			return false
		}
		server, found := naiveQueue.pickServer(request)
		if found {
			naiveQueue.execute(request, server)
		}
		return !found
	})
}

func (naiveQueue *naiveQueue) execute(request *request, server int) {
	naiveQueue.freeSlots[server]--
	execution := naiveQueue.trial.log.startExecution(server)
	naiveQueue.trial.after(naiveQueue.trial.randomSlotTime(), func() {
		naiveQueue.freeSlots[server]++
		if execution.serverAnswers() {
			naiveQueue.trial.recordAnswer(request, execution)
		} else {
			naiveQueue.trial.recordRefusal(request)
		}
		naiveQueue.startWaiting()
	})
}

func (naiveQueue *naiveQueue) noFreeSlot() bool {
	for _, free := range naiveQueue.freeSlots {
		if free > 0 {
			return false
		}
	}
	return true
}

// pickServer returns any server with a free slot for a read, and for a write only the initial primary.
func (naiveQueue *naiveQueue) pickServer(request *request) (server int, found bool) {
	for i, free := range naiveQueue.freeSlots {
		if free > 0 && !naiveQueue.trial.log.isDown(i) && (request.read || i == 0) {
			return i, true
		}
	}
	return 0, false
}
