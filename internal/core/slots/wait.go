package slots

import (
	"math/bits"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	slotTimeDecay     = 0.98    // factor by which each release decays earlier measurements
	minFairShare      = 1.0 / 8 // lower bound of the slots that a team is expected to get
	expireWaitDivisor = 2       // divides the expected wait of a queued item, which may be overestimated, before it is compared with the deadline
	spareWaitDivisor  = 4       // spare servers are used if the expected wait exceeds the time left, divided by this
	spareReserve      = 1       // slots that spare servers keep free for the items that need them
	allServers        = ^Servers(0)
)

// slotTimeMeter measures the mean time for which an item holds a slot.
type slotTimeMeter struct {
	busy       int
	slotTime   float64 // sum of slot time in seconds, decayed at each release
	releases   float64
	measuredAt spool.Instant
}

func (slotTimeMeter *slotTimeMeter) record(step int, now spool.Instant) {
	if elapsed := now.Sub(slotTimeMeter.measuredAt); elapsed > 0 {
		slotTimeMeter.slotTime += float64(slotTimeMeter.busy) * elapsed.Seconds()
		slotTimeMeter.measuredAt = now
	}
	slotTimeMeter.busy += step
	if step < 0 {
		slotTimeMeter.slotTime *= slotTimeDecay
		slotTimeMeter.releases = slotTimeMeter.releases*slotTimeDecay + 1
	}
}

// mean returns the mean slot time of an item in seconds.
func (slotTimeMeter *slotTimeMeter) mean() float64 {
	return slotTimeMeter.slotTime / slotTimeMeter.releases
}

// expectedWait returns how long an item is expected to wait for one of the servers with ahead items of its team before it.
func (queue *Queue) expectedWait(team *team, servers Servers, ahead float64, now spool.Instant) time.Duration {
	share := queue.fairShare(team, servers, now)
	if share <= 0 {
		return 0
	}
	seconds := (ahead + 1) * queue.meter.mean() / max(share, minFairShare)
	return time.Duration(seconds * float64(time.Second))
}

// itemsAhead returns how many of a team's waiting items are expected to run on the servers.
func (queue *Queue) itemsAhead(team *team, servers Servers) float64 {
	sum := 0.0
	for i := range team.subqueues {
		subqueue := &team.subqueues[i]
		shared := queue.capacity(subqueue.servers & servers)
		if subqueue.entries.Len() > 0 && shared > 0 {
			sum += float64(subqueue.entries.Len()) * float64(shared) / float64(queue.capacity(subqueue.servers))
		}
	}
	return sum
}

// capacity returns how many transactions the servers run concurrently.
func (queue *Queue) capacity(servers Servers) int {
	sum := 0
	for i := range queue.servers {
		if servers&(Servers(1)<<i) != 0 {
			sum += queue.servers[i].capacity()
		}
	}
	return sum
}

// fairShare returns the team's max-min fair share of the servers' slots, or zero if none of them accepts work.
func (queue *Queue) fairShare(requester *team, servers Servers, now spool.Instant) float64 {
	eligible := queue.capacity(servers)
	if eligible == 0 {
		return 0
	}
	part := float64(eligible) / float64(queue.capacity(allServers))
	queue.demands = queue.demands[:0]
	for _, team := range queue.order {
		if team != requester && team.oldest(servers) == nil {
			team.charge(now, queue.usageWindow)
			queue.demands = append(queue.demands, team.usage/queue.usageWindow.Seconds()*part)
		}
	}
	unbounded := len(queue.order) - len(queue.demands)
	return maxMinShare(float64(eligible), queue.demands, unbounded)
}

// maxMinShare divides capacity by max-min fairness between teams with the given demands and a number of teams with unbounded
// demand, and returns the share of one of the latter.
func maxMinShare(capacity float64, demands []float64, unbounded int) float64 {
	share := capacity / float64(len(demands)+unbounded)
	for range demands {
		remaining := capacity
		above := unbounded
		for _, demand := range demands {
			if demand > share {
				above++
				continue
			}
			remaining -= demand
		}
		raised := remaining / float64(above)
		if raised <= share {
			break
		}
		share = raised
	}
	return share
}

// retryAfter returns the time after which an item with the same time until its deadline is expected to get a slot.
func (queue *Queue) retryAfter(wait time.Duration, deadline, now spool.Instant) time.Duration {
	mean := time.Duration(queue.meter.mean() * float64(time.Second))
	return max(wait-max(0, deadline.Sub(now)), mean, time.Millisecond)
}

// expireTeam refuses a team's items whose deadline has passed or will pass within half of their expected wait.
func (queue *Queue) expireTeam(team *team, now spool.Instant) {
	var last *subqueue
	var wait, each time.Duration
	queue.waiting -= team.removeIf(func(subqueue *subqueue, entry entry) bool {
		if subqueue != last {
			last = subqueue
			each = queue.expectedWait(team, subqueue.servers, 0, now)
			wait = each
		}
		if now < entry.deadline && now.Add(wait/expireWaitDivisor) < entry.deadline {
			wait += each
			return false
		}
		refusal := Refusal{ID: entry.id, RetryAfter: queue.retryAfter(wait, entry.deadline, now)}
		queue.refused = append(queue.refused, refusal)
		return true
	})
}

// mostFree returns the eligible server with the most free slots; found is false if none has more than reserve free slots.
func (queue *Queue) mostFree(eligible Servers, reserve int) (index int, found bool) {
	most := reserve
	for set := eligible; set != 0; set &= set - 1 {
		candidate := bits.TrailingZeros64(uint64(set))
		if candidate >= len(queue.servers) {
			break
		}
		if free := queue.servers[candidate].free(); free > most {
			most = free
			index = candidate
		}
	}
	return index, most > reserve
}
