package slots

import (
	"math/bits"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	slotTimeMemory = 0.98    // part of the measurements that one more release keeps
	leastFairShare = 1.0 / 8 // slots that a team is expected to have at least
	doubt          = 2       // a queued item is refused when even this part of its expected wait is too long
	longWait       = 4       // part of the time left that a wait takes before spare servers help out
	spareReserve   = 1       // slots that spare servers keep free for the work that needs them
	allServers     = ^Servers(0)
)

// meter measures for how long an item holds a slot.
type meter struct {
	busy     int
	slotTime float64 // sum of slot time in seconds, decayed with each release
	releases float64
	measured spool.Instant
}

func (meter *meter) change(step int, now spool.Instant) {
	if elapsed := now.Sub(meter.measured); elapsed > 0 {
		meter.slotTime += float64(meter.busy) * elapsed.Seconds()
		meter.measured = now
	}
	meter.busy += step
	if step < 0 {
		meter.slotTime *= slotTimeMemory
		meter.releases = meter.releases*slotTimeMemory + 1
	}
}

// mean returns the mean slot time of an item in seconds.
func (meter *meter) mean() float64 { return meter.slotTime / meter.releases }

// wait returns how long an item waits for one of the servers with that many of its team's items ahead of it.
func (queue *Queue) wait(team *team, servers Servers, ahead float64, now spool.Instant) time.Duration {
	share := queue.fairShare(team, servers, now)
	if share <= 0 {
		return 0
	}
	seconds := (ahead + 1) * queue.meter.mean() / max(share, leastFairShare)
	return time.Duration(seconds * float64(time.Second))
}

// ahead returns how many of a team's waiting items the servers will have to run.
func (queue *Queue) ahead(team *team, servers Servers) float64 {
	sum := 0.0
	for i := range team.lines {
		line := &team.lines[i]
		shared := queue.capacity(line.servers & servers)
		if line.entries.Len() > 0 && shared > 0 {
			sum += float64(line.entries.Len()) * float64(shared) / float64(queue.capacity(line.servers))
		}
	}
	return sum
}

// capacity returns how many transactions the servers run at once.
func (queue *Queue) capacity(servers Servers) int {
	sum := 0
	for i := range queue.servers {
		if servers&(Servers(1)<<i) != 0 {
			sum += queue.servers[i].capacity()
		}
	}
	return sum
}

// fairShare returns the team's max-min share of the servers' slots, or zero if none of them takes work.
func (queue *Queue) fairShare(asking *team, servers Servers, now spool.Instant) float64 {
	eligible := queue.capacity(servers)
	if eligible == 0 {
		return 0
	}
	part := float64(eligible) / float64(queue.capacity(allServers))
	queue.demands = queue.demands[:0]
	for _, team := range queue.order {
		if team != asking && team.oldest(servers) == nil {
			team.charge(now, queue.memory)
			queue.demands = append(queue.demands, team.used/queue.memory.Seconds()*part)
		}
	}
	hungry := len(queue.order) - len(queue.demands)
	return fill(float64(eligible), queue.demands, hungry)
}

// fill shares capacity max-min between the given demands and hungry teams of endless demand and returns a hungry team's share.
func fill(capacity float64, demands []float64, hungry int) float64 {
	share := capacity / float64(len(demands)+hungry)
	for range demands {
		left := capacity
		above := hungry
		for _, demand := range demands {
			if demand > share {
				above++
				continue
			}
			left -= demand
		}
		raised := left / float64(above)
		if raised <= share {
			break
		}
		share = raised
	}
	return share
}

// retryAfter returns when an item with as much time left as this one can hope for a slot.
func (queue *Queue) retryAfter(wait time.Duration, deadline, now spool.Instant) time.Duration {
	mean := time.Duration(queue.meter.mean() * float64(time.Second))
	return max(wait-max(0, deadline.Sub(now)), mean, time.Millisecond)
}

// expire refuses a team's items whose deadline has passed or whose expected wait passes it.
func (queue *Queue) expire(team *team, now spool.Instant) {
	var last *line
	var wait, each time.Duration
	queue.waiting -= team.drop(func(line *line, entry entry) bool {
		if line != last {
			last = line
			each = queue.wait(team, line.servers, 0, now)
			wait = each
		}
		if now < entry.deadline && now.Add(wait/doubt) < entry.deadline {
			wait += each
			return false
		}
		refusal := Refusal{ID: entry.id, RetryAfter: queue.retryAfter(wait, entry.deadline, now)}
		queue.refused = append(queue.refused, refusal)
		return true
	})
}

// freest returns the server with the most free slots among those that are eligible and have more than reserve free.
func (queue *Queue) freest(eligible Servers, reserve int) (index int, found bool) {
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
