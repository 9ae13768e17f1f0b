package policy

import (
	"fmt"
	"time"

	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const stepPeriod = 5 * time.Millisecond

// shareAdmission admits requests by the rate shares, with clients on all VMs and the owners on one VM.
type shareAdmission struct {
	trial   *trial
	clients [][]*share.Client // by VM and team
	owners  []*share.Owner    // by team; nil while no VM holds the team leases
	ownerVM int
	waiting map[uint64]*request
}

func newShareAdmission(trial *trial) *shareAdmission {
	shareAdmission := &shareAdmission{trial: trial, waiting: map[uint64]*request{}}
	for range trial.deployment.VMs {
		var clients []*share.Client
		for _, spec := range trial.deployment.Teams {
			clients = append(clients, share.NewClient(spec.Name, 1, 0))
		}
		shareAdmission.clients = append(shareAdmission.clients, clients)
	}
	trial.clock.Every(stepPeriod, spool.TimerFunc(shareAdmission.stepDueClients))
	shareAdmission.startOwners(initialOwnerVM)
	trial.at(trial.scenario.OwnerDown.From, func() { shareAdmission.owners = nil })
	trial.at(trial.scenario.OwnerDown.To, func() { shareAdmission.startOwners(successorVM) })
	return shareAdmission
}

func (shareAdmission *shareAdmission) startOwners(vm int) {
	now := shareAdmission.trial.clock.Now()
	shareAdmission.ownerVM = vm
	shareAdmission.owners = nil
	for team, spec := range shareAdmission.trial.deployment.Teams {
		shareAdmission.owners = append(shareAdmission.owners, share.NewOwner(spec, now))
		for clientVM := range shareAdmission.clients {
			shareAdmission.trial.after(shareAdmission.trial.latency(vm, clientVM), func() {
				shareAdmission.clients[clientVM][team].OwnerChanged(shareAdmission.trial.clock.Now())
				shareAdmission.stepClient(clientVM, team)
			})
		}
	}
}

func (shareAdmission *shareAdmission) submit(request *request) {
	now := shareAdmission.trial.clock.Now()
	answer := shareAdmission.clients[request.vm][request.team].Acquire(request.id, request.deadline.Add(-executionReserve), now)
	switch answer.Verdict {
	case share.Admitted:
		shareAdmission.trial.admit(request)
	case share.Refused:
		shareAdmission.trial.recordRefusal(request)
	case share.Queued:
		shareAdmission.waiting[request.id] = request
		shareAdmission.stepClient(request.vm, request.team)
	}
}

func (shareAdmission *shareAdmission) stepDueClients(now spool.Instant) {
	for vm, clients := range shareAdmission.clients {
		for team, client := range clients {
			if now >= client.NextStep() {
				shareAdmission.stepClient(vm, team)
			}
		}
	}
}

func (shareAdmission *shareAdmission) stepClient(vm, team int) {
	outcome := shareAdmission.clients[vm][team].Step(shareAdmission.trial.clock.Now())
	for _, id := range outcome.Admitted {
		shareAdmission.trial.admit(shareAdmission.removeWaiting(id))
	}
	for _, refusal := range outcome.Refused {
		shareAdmission.trial.recordRefusal(shareAdmission.removeWaiting(refusal.ID))
	}
	if outcome.Request != nil {
		shareAdmission.requestGrant(vm, team, outcome.Request)
	}
}

func (shareAdmission *shareAdmission) removeWaiting(id uint64) *request {
	request := shareAdmission.waiting[id]
	delete(shareAdmission.waiting, id)
	return request
}

// requestGrant delivers a client's request to the owner and the answer to the client; a partition drops either message.
func (shareAdmission *shareAdmission) requestGrant(vm, team int, request *wire.GrantRequest) {
	trial := shareAdmission.trial
	owner := shareAdmission.ownerVM
	if trial.partitioned(vm, owner) {
		return
	}
	latency := trial.latency(vm, owner)
	trial.after(latency, func() {
		if shareAdmission.owners == nil || shareAdmission.ownerVM != owner {
			return
		}
		answer := shareAdmission.owners[team].Grant(spool.VM(fmt.Sprint("vm", vm)), request, trial.clock.Now())
		if answer == nil || trial.partitioned(vm, owner) {
			return
		}
		trial.after(latency, func() {
			shareAdmission.clients[vm][team].Receive(answer, trial.clock.Now())
			shareAdmission.stepClient(vm, team)
		})
	})
}
