package policy

import (
	"corianderspool.example/spool/internal/core/slots"
	"corianderspool.example/spool/pkg/spool"
)

// fairSlots runs requests by the slot queue.
type fairSlots struct {
	trial   *trial
	queue   *slots.Queue
	waiting map[uint64]*request
}

func newFairSlots(trial *trial) *fairSlots {
	fairSlots := &fairSlots{trial: trial, queue: slots.New(), waiting: map[uint64]*request{}}
	fairSlots.setServers(false)
	trial.clock.Every(stepPeriod, spool.TimerFunc(fairSlots.expire))
	return fairSlots
}

func (fairSlots *fairSlots) setServers(down bool) {
	size := fairSlots.trial.size
	var limits []slots.Limit
	for i := range size.Servers {
		limits = append(limits, slots.Limit{Slots: size.Slots, Connections: size.Connections, Up: i > 0 || !down})
	}
	fairSlots.start(fairSlots.queue.SetServers(limits, fairSlots.trial.clock.Now()))
}

func (fairSlots *fairSlots) run(request *request) {
	item := slots.Item{
		ID:       request.id,
		Team:     fairSlots.trial.size.Teams[request.team].Name,
		Servers:  request.servers,
		Deadline: request.deadline,
	}
	answer := fairSlots.queue.Ask(item, fairSlots.trial.clock.Now())
	switch answer.Verdict {
	case slots.Granted:
		fairSlots.hold(request, item.Team, answer.Server)
	case slots.Refused:
		fairSlots.trial.refuse(request)
	case slots.Queued:
		fairSlots.waiting[request.id] = request
	}
}

func (fairSlots *fairSlots) start(grants []slots.Grant) {
	for _, grant := range grants {
		fairSlots.hold(fairSlots.take(grant.ID), grant.Team, grant.Server)
	}
}

func (fairSlots *fairSlots) hold(request *request, team spool.Team, server int) {
	trial := fairSlots.trial
	trial.after(trial.slotTime(), func() {
		trial.finish(request)
		fairSlots.start(fairSlots.queue.Release(server, team, trial.clock.Now()))
	})
}

func (fairSlots *fairSlots) expire(now spool.Instant) {
	for _, refusal := range fairSlots.queue.Expire(now) {
		fairSlots.trial.refuse(fairSlots.take(refusal.ID))
	}
}

func (fairSlots *fairSlots) take(id uint64) *request {
	request := fairSlots.waiting[id]
	delete(fairSlots.waiting, id)
	return request
}
