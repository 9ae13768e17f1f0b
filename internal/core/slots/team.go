package slots

import (
	"math"
	"time"

	"corianderspool.example/spool/internal/core/fifo"
	"corianderspool.example/spool/pkg/spool"
)

// team is the slot usage of one team and its waiting items.
type team struct {
	name      spool.Team
	usage     float64 // slot time in seconds, with exponential decay
	chargedAt spool.Instant
	running   int
	waiting   int
	subqueues []subqueue
}

// subqueue holds a team's waiting items that are eligible for the same servers, in order of arrival.
type subqueue struct {
	servers Servers
	entries fifo.Queue[entry]
}

type entry struct {
	id       uint64
	arrival  uint64
	deadline spool.Instant
}

// team returns a team and adds it if it is unknown.
func (queue *Queue) team(name spool.Team, now spool.Instant) *team {
	found := queue.teams[name]
	if found == nil {
		found = &team{name: name, chargedAt: now}
		queue.teams[name] = found
		queue.order = append(queue.order, found)
	}
	return found
}

// charge adds the slot time that was used since the last call and decays earlier usage.
func (team *team) charge(now spool.Instant, window time.Duration) {
	elapsed := now.Sub(team.chargedAt)
	if elapsed <= 0 {
		return
	}
	team.chargedAt = now
	decay := math.Exp(-elapsed.Seconds() / window.Seconds())
	team.usage = team.usage*decay + float64(team.running)*window.Seconds()*(1-decay)
}

func (team *team) push(entry entry, servers Servers) {
	team.waiting++
	for i := range team.subqueues {
		if team.subqueues[i].servers == servers {
			team.subqueues[i].entries.Push(entry)
			return
		}
	}
	added := subqueue{servers: servers}
	added.entries.Push(entry)
	team.subqueues = append(team.subqueues, added)
}

// oldest returns the subqueue with the oldest item that is eligible for one of the servers, or nil.
func (team *team) oldest(servers Servers) *subqueue {
	var chosen *subqueue
	for i := range team.subqueues {
		subqueue := &team.subqueues[i]
		if subqueue.servers&servers == 0 || subqueue.entries.Len() == 0 {
			continue
		}
		if chosen == nil || subqueue.entries.First().arrival < chosen.entries.First().arrival {
			chosen = subqueue
		}
	}
	return chosen
}

// removeIf removes the waiting items for which match returns true and returns their number.
func (team *team) removeIf(match func(subqueue *subqueue, entry entry) bool) (removed int) {
	for i := range team.subqueues {
		subqueue := &team.subqueues[i]
		before := subqueue.entries.Len()
		subqueue.entries.Filter(func(entry entry) bool { return !match(subqueue, entry) })
		removed += before - subqueue.entries.Len()
	}
	team.waiting -= removed
	return removed
}
