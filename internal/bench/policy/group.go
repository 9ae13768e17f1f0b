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

// group is the leader of the trial's group: it routes by positions, queues for slots and keeps the primary.
type group struct {
	trial   *trial
	table   *route.Table
	queue   *slots.Queue
	terms   *terms.Leader
	record  platformRecord
	waiting map[uint64]*request
	gap     []*request // wait for a primary
}

func newGroup(trial *trial) *group {
	group := &group{
		trial:   trial,
		table:   route.New(trial.log.specs()),
		queue:   slots.New(),
		terms:   terms.NewLeader(groupName, vmName(leader), 1),
		waiting: map[uint64]*request{},
	}
	group.limit()
	group.startTerms()
	trial.clock.Every(statusPeriod, spool.TimerFunc(func(spool.Instant) { group.poll() }))
	trial.clock.Every(tickPeriod, spool.TimerFunc(group.tick))
	return group
}

func (group *group) run(request *request) {
	now := group.trial.clock.Now()
	need := route.Need{Token: request.session.token, Read: request.read, MaxAge: request.maxAge}
	set, choice := group.table.Pick(need, now)
	switch choice {
	case route.Found:
		group.queueFor(request, slots.Servers(set))
	case route.LostWrite:
		request.session.token = spool.SessionToken{}
		group.trial.finish(request)
	case route.NoPrimary, route.Behind:
		group.gap = append(group.gap, request)
	}
}

func (group *group) queueFor(request *request, servers slots.Servers) {
	item := slots.Item{
		ID:       request.id,
		Team:     group.trial.size.Teams[request.team].Name,
		Servers:  servers,
		Spare:    group.spare(request),
		Deadline: request.deadline,
	}
	answer := group.queue.Acquire(item, group.trial.clock.Now())
	switch answer.Outcome {
	case slots.Granted:
		group.hold(request, item.Team, answer.Server)
	case slots.Refused:
		group.trial.refuse(request)
	case slots.Queued:
		group.waiting[request.id] = request
	}
}

// spare returns the primary for a read, which may answer it although replicas should.
func (group *group) spare(request *request) slots.Servers {
	if !request.read || group.table.Primary < 0 {
		return 0
	}
	return 1 << group.table.Primary
}

func (group *group) start(grants []slots.Grant) {
	for _, grant := range grants {
		group.hold(group.take(grant.ID), grant.Team, grant.Server)
	}
}

// hold runs a request on a server; a read that the server does not answer runs again elsewhere.
func (group *group) hold(request *request, team spool.Team, server int) {
	trial := group.trial
	begun := trial.log.begin(server)
	trial.after(trial.slotTime(), func() {
		answered := begun.answers()
		if answered {
			trial.answer(request, begun)
		}
		if answered && !request.read {
			token := request.session.token
			group.table.RecordAcknowledged(token.Term, token.Position)
		}
		group.start(group.queue.Release(server, team, trial.clock.Now()))
		if answered {
			return
		}
		if request.read && trial.clock.Now() < request.deadline {
			group.run(request)
			return
		}
		trial.refuse(request)
	})
}

func (group *group) take(id uint64) *request {
	request := group.waiting[id]
	delete(group.waiting, id)
	return request
}

func (group *group) tick(now spool.Instant) {
	for _, refusal := range group.queue.Expire(now) {
		group.trial.refuse(group.take(refusal.ID))
	}
	group.retryGap()
	group.handle(terms.Tick{})
}

// retryGap routes the requests again that waited for a primary.
func (group *group) retryGap() {
	waited := group.gap
	group.gap = nil
	for _, request := range waited {
		if group.trial.clock.Now() >= request.deadline {
			group.trial.refuse(request)
			continue
		}
		group.run(request)
	}
}

// limit passes on which servers take work.
func (group *group) limit() {
	size := group.trial.size
	var limits []slots.Limit
	for i := range size.Servers {
		limits = append(limits, slots.Limit{Slots: size.Slots, Connections: size.Connections, Up: group.table.Servers[i].Up})
	}
	group.start(group.queue.SetServers(limits, group.trial.clock.Now()))
}

// poll asks all servers for their status; one that is down leaves the question unanswered.
func (group *group) poll() {
	trial := group.trial
	sentAt := trial.clock.Now()
	for i, spec := range trial.log.specs() {
		if trial.log.down(i) {
			trial.after(terms.DefaultProbeTimeout, func() {
				group.table.MarkDown(spec.Name)
				group.limit()
				group.handle(terms.StatusFailed{Server: spec.Name, SentAt: sentAt})
			})
			continue
		}
		trial.after(trial.size.Near, func() {
			status := trial.log.status(i)
			trial.after(trial.size.Near, func() {
				group.table.RecordStatus(status, sentAt)
				group.limit()
				group.handle(terms.StatusSeen{Status: status, SentAt: sentAt})
			})
		})
	}
}
