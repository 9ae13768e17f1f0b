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
	lines   []line
}

// line holds the waiting items that are eligible for the same servers.
type line struct {
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
	for i := range team.lines {
		if team.lines[i].servers == servers {
			team.lines[i].entries.Push(entry)
			return
		}
	}
	added := line{servers: servers}
	added.entries.Push(entry)
	team.lines = append(team.lines, added)
}

// oldest returns the line with the oldest item that is eligible for one of the servers, or nil.
func (team *team) oldest(servers Servers) *line {
	var chosen *line
	for i := range team.lines {
		line := &team.lines[i]
		if line.servers&servers == 0 || line.entries.Len() == 0 {
			continue
		}
		if chosen == nil || line.entries.First().arrival < chosen.entries.First().arrival {
			chosen = line
		}
	}
	return chosen
}

// drop drops the items for which doomed returns true.
func (team *team) drop(doomed func(line *line, entry entry) bool) (dropped int) {
	for i := range team.lines {
		line := &team.lines[i]
		before := line.entries.Len()
		line.entries.Filter(func(entry entry) bool { return !doomed(line, entry) })
		dropped += before - line.entries.Len()
	}
	team.waiting -= dropped
	return dropped
}
