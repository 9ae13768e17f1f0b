package slots

import (
	"math"
	"time"

	"corianderspool.example/spool/internal/core/fifo"
	"corianderspool.example/spool/pkg/spool"
)

// team holds what one team uses and waits for.
type team struct {
	name    spool.Team
	used    float64 // slot time used lately in seconds, with exponential decay
	charged spool.Instant
	running int
	waiting int
	lanes   []lane
}

// lane holds the waiting items that are eligible for the same servers.
type lane struct {
	servers Servers
	entries fifo.Queue[entry]
}

type entry struct {
	id       uint64
	arrival  uint64
	deadline spool.Instant
}

// team finds or adds a team.
func (queue *Queue) team(name spool.Team, now spool.Instant) *team {
	found := queue.teams[name]
	if found == nil {
		found = &team{name: name, charged: now}
		queue.teams[name] = found
		queue.order = append(queue.order, found)
	}
	return found
}

// charge adds the slot time used until now and lets older use decay.
func (team *team) charge(now spool.Instant, memory time.Duration) {
	elapsed := now.Sub(team.charged)
	if elapsed <= 0 {
		return
	}
	team.charged = now
	kept := math.Exp(-elapsed.Seconds() / memory.Seconds())
	team.used = team.used*kept + float64(team.running)*memory.Seconds()*(1-kept)
}

func (team *team) push(entry entry, servers Servers) {
	team.waiting++
	for i := range team.lanes {
		if team.lanes[i].servers == servers {
			team.lanes[i].entries.Push(entry)
			return
		}
	}
	added := lane{servers: servers}
	added.entries.Push(entry)
	team.lanes = append(team.lanes, added)
}

// oldest returns the lane with the oldest item that is eligible for one of the servers, or nil.
func (team *team) oldest(servers Servers) *lane {
	var chosen *lane
	for i := range team.lanes {
		lane := &team.lanes[i]
		if lane.servers&servers == 0 || lane.entries.Len() == 0 {
			continue
		}
		if chosen == nil || lane.entries.First().arrival < chosen.entries.First().arrival {
			chosen = lane
		}
	}
	return chosen
}

// drop drops the items for which doomed returns true.
func (team *team) drop(doomed func(lane *lane, entry entry) bool) (dropped int) {
	for i := range team.lanes {
		lane := &team.lanes[i]
		before := lane.entries.Len()
		lane.entries.Filter(func(entry entry) bool { return !doomed(lane, entry) })
		dropped += before - lane.entries.Len()
	}
	team.waiting -= dropped
	return dropped
}
