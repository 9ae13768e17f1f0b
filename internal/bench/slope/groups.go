package slope

import (
	"time"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/internal/core/slots"
	"corianderspool.example/spool/pkg/spool"
)

const serverSlots = 4

func groupMeasures() []measure {
	return []measure{
		newMeasure("RoutePick", "servers of the group", "CPU µs a request", []int{3, 6, 12, 24}, routePick),
		newMeasure("SlotsFree", "teams that used the group", "CPU µs to ask and release", []int{8, 32, 128, 512}, slotsFree),
		newMeasure("SlotsBusy", "teams that wait", "CPU µs to ask and release", []int{8, 32, 128, 512}, slotsBusy),
	}
}

// routePick measures routing a bounded-staleness read with all servers up.
func routePick(servers int) (float64, error) {
	specs := make([]spool.ServerSpec, servers)
	for i := range specs {
		specs[i].Name = spool.Server(groupName(i))
	}
	table := route.New(specs)
	table.OpenTerm(specs[0].Name, route.TermStart{Term: 1})
	now := spool.Instant(0)
	for range 100 {
		now = now.Add(25 * time.Millisecond)
		for _, spec := range specs {
			table.RecordStatus(spool.ServerStatus{Server: spec.Name, Term: 1, Position: spool.Position(now)}, now)
		}
	}
	need := route.Need{Read: true, MaxAge: time.Second, Token: spool.SessionToken{Term: 1, Position: 1}}
	return microsPerCall(func() { table.Pick(need, now) }), nil
}

func newQueue(servers int) *slots.Queue {
	queue := slots.New()
	limits := make([]slots.Limit, servers)
	for i := range limits {
		limits[i] = slots.Limit{Slots: serverSlots, Connections: 20, Up: true}
	}
	queue.SetServers(limits, 0)
	return queue
}

func slotsFree(teams int) (float64, error) {
	queue := newQueue(3)
	now := spool.Instant(0)
	next := 0
	id := uint64(0)
	names := teamNames(teams)
	return microsPerCall(func() {
		now = now.Add(100 * time.Microsecond)
		id++
		team := names[next]
		next = (next + 1) % teams
		answer := queue.Acquire(slots.Item{ID: id, Team: team, Servers: 7, Deadline: now.Add(time.Second)}, now)
		queue.Release(answer.Server, team, now)
	}), nil
}

func teamNames(count int) []spool.Team {
	names := make([]spool.Team, count)
	for i := range names {
		names[i] = teamName(i)
	}
	return names
}

// slotsBusy measures a queue whose slots are all taken and in which each team has an item waiting.
func slotsBusy(teams int) (float64, error) {
	queue := newQueue(3)
	now := spool.Instant(0)
	id := uint64(0)
	names := teamNames(teams)
	running := []slots.Grant{}
	acquire := func(team spool.Team) {
		id++
		item := slots.Item{ID: id, Team: team, Servers: 7, Deadline: now.Add(time.Hour)}
		if answer := queue.Acquire(item, now); answer.Outcome == slots.Granted {
			running = append(running, slots.Grant{ID: id, Team: team, Server: answer.Server})
		}
	}
	for range 3 * serverSlots {
		acquire(names[0])
	}
	for _, team := range names {
		acquire(team)
	}
	return microsPerCall(func() {
		now = now.Add(100 * time.Microsecond)
		first := running[0]
		running = append(running[:0], running[1:]...)
		running = append(running, queue.Release(first.Server, first.Team, now)...)
		acquire(first.Team)
	}), nil
}
