package policy

import (
	"time"

	"corianderspool.example/spool/internal/core/route"
	"corianderspool.example/spool/internal/core/slots"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/pkg/spool"
)

const (
	statusPeriod = 50 * time.Millisecond
	tickPeriod   = 10 * time.Millisecond
)

// groupLeader is the leader of the trial's group: it routes requests by log position, queues them for slots and manages failover.
type groupLeader struct {
	trial           *trial
	table           *route.Table
	queue           *slots.Queue
	terms           *terms.Leader
	record          platformRecord
	waiting         map[uint64]*request
	awaitingPrimary []*request // waiting for an open term, or for the term that their session has seen
}

func newGroupLeader(trial *trial) *groupLeader {
	groupLeader := &groupLeader{
		trial:   trial,
		table:   route.New(trial.log.specs()),
		queue:   slots.New(),
		terms:   terms.NewLeader(groupName, vmName(leaderVM), 1),
		waiting: map[uint64]*request{},
	}
	groupLeader.updateLimits()
	groupLeader.startTerms()
	trial.clock.Every(statusPeriod, spool.TimerFunc(func(spool.Instant) { groupLeader.pollServers() }))
	trial.clock.Every(tickPeriod, spool.TimerFunc(groupLeader.tick))
	return groupLeader
}

func (groupLeader *groupLeader) schedule(request *request) {
	now := groupLeader.trial.clock.Now()
	need := route.Need{Token: request.session.token, Read: request.read, MaxAge: request.maxAge}
	set, choice := groupLeader.table.Pick(need, now)
	switch choice {
	case route.Found:
		groupLeader.acquireSlot(request, slots.Servers(set))
	case route.LostWrite:
		request.session.token = spool.SessionToken{}
		groupLeader.trial.recordCompletion(request)
	case route.NoPrimary, route.Behind:
		groupLeader.awaitingPrimary = append(groupLeader.awaitingPrimary, request)
	}
}

func (groupLeader *groupLeader) acquireSlot(request *request, servers slots.Servers) {
	item := slots.Item{
		ID:       request.id,
		Team:     groupLeader.trial.deployment.Teams[request.team].Name,
		Servers:  servers,
		Spare:    groupLeader.primaryFallback(request),
		Deadline: request.deadline,
	}
	answer := groupLeader.queue.Acquire(item, groupLeader.trial.clock.Now())
	switch answer.Outcome {
	case slots.Granted:
		groupLeader.execute(request, item.Team, answer.Server)
	case slots.Refused:
		groupLeader.trial.recordRefusal(request)
	case slots.Queued:
		groupLeader.waiting[request.id] = request
	}
}

// primaryFallback returns the primary as the spare server of a read, which prefers replicas, and none for a write.
func (groupLeader *groupLeader) primaryFallback(request *request) slots.Servers {
	if !request.read || groupLeader.table.Primary < 0 {
		return 0
	}
	return 1 << groupLeader.table.Primary
}

func (groupLeader *groupLeader) startGranted(grants []slots.Grant) {
	for _, grant := range grants {
		groupLeader.execute(groupLeader.removeWaiting(grant.ID), grant.Team, grant.Server)
	}
}

// execute runs a request on a server; a read that the server does not answer is routed again until its deadline.
func (groupLeader *groupLeader) execute(request *request, team spool.Team, server int) {
	trial := groupLeader.trial
	execution := trial.log.startExecution(server)
	trial.after(trial.randomSlotTime(), func() {
		answered := execution.serverAnswers()
		if answered {
			trial.recordAnswer(request, execution)
		}
		if answered && !request.read {
			token := request.session.token
			groupLeader.table.RecordAcknowledged(token.Term, token.Position)
		}
		groupLeader.startGranted(groupLeader.queue.Release(server, team, trial.clock.Now()))
		if answered {
			return
		}
		if request.read && trial.clock.Now() < request.deadline {
			groupLeader.schedule(request)
			return
		}
		trial.recordRefusal(request)
	})
}

func (groupLeader *groupLeader) removeWaiting(id uint64) *request {
	request := groupLeader.waiting[id]
	delete(groupLeader.waiting, id)
	return request
}

func (groupLeader *groupLeader) tick(now spool.Instant) {
	for _, refusal := range groupLeader.queue.Expire(now) {
		groupLeader.trial.recordRefusal(groupLeader.removeWaiting(refusal.ID))
	}
	groupLeader.retryAwaitingPrimary()
	groupLeader.handle(terms.Tick{})
}

// retryAwaitingPrimary routes the requests in awaitingPrimary again and refuses those past their deadline.
func (groupLeader *groupLeader) retryAwaitingPrimary() {
	requests := groupLeader.awaitingPrimary
	groupLeader.awaitingPrimary = nil
	for _, request := range requests {
		if groupLeader.trial.clock.Now() >= request.deadline {
			groupLeader.trial.recordRefusal(request)
			continue
		}
		groupLeader.schedule(request)
	}
}

// updateLimits tells the slot queue which servers are up.
func (groupLeader *groupLeader) updateLimits() {
	deployment := groupLeader.trial.deployment
	var limits []slots.Limit
	for i := range deployment.Servers {
		limits = append(limits, slots.Limit{
			Slots: deployment.Slots, Connections: deployment.Connections, Up: groupLeader.table.Servers[i].Up,
		})
	}
	groupLeader.startGranted(groupLeader.queue.SetServers(limits, groupLeader.trial.clock.Now()))
}

// pollServers requests the status of all servers; requests to a server that is down time out.
func (groupLeader *groupLeader) pollServers() {
	trial := groupLeader.trial
	sentAt := trial.clock.Now()
	for i, spec := range trial.log.specs() {
		if trial.log.isDown(i) {
			trial.after(terms.DefaultProbeTimeout, func() {
				groupLeader.table.MarkDown(spec.Name)
				groupLeader.updateLimits()
				groupLeader.handle(terms.StatusFailed{Server: spec.Name, SentAt: sentAt})
			})
			continue
		}
		trial.after(trial.deployment.DomainLatency, func() {
			status := trial.log.status(i)
			trial.after(trial.deployment.DomainLatency, func() {
				groupLeader.table.RecordStatus(status, sentAt)
				groupLeader.updateLimits()
				groupLeader.handle(terms.StatusReceived{Status: status, SentAt: sentAt})
			})
		})
	}
}
