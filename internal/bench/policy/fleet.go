package policy

import (
	"fmt"
	"time"

	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const stepPeriod = 5 * time.Millisecond

// fleet admits with the shares: clients on all VMs, owners on one.
type fleet struct {
	trial   *trial
	clients [][]*share.Client // by VM and team
	owners  []*share.Owner    // by team; none while nobody holds the roles
	ownerVM int
	waiting map[uint64]*request
}

func newFleet(trial *trial) *fleet {
	fleet := &fleet{trial: trial, waiting: map[uint64]*request{}}
	for range trial.size.VMs {
		var clients []*share.Client
		for _, spec := range trial.size.Teams {
			clients = append(clients, share.NewClient(spec.Name, 1, 0))
		}
		fleet.clients = append(fleet.clients, clients)
	}
	trial.clock.Every(stepPeriod, spool.TimerFunc(fleet.stepDue))
	fleet.takeOver(ownerVM)
	trial.at(trial.scenario.OwnerDown.From, func() { fleet.owners = nil })
	trial.at(trial.scenario.OwnerDown.To, func() { fleet.takeOver(successor) })
	return fleet
}

func (fleet *fleet) takeOver(vm int) {
	now := fleet.trial.clock.Now()
	fleet.ownerVM = vm
	fleet.owners = nil
	for team, spec := range fleet.trial.size.Teams {
		fleet.owners = append(fleet.owners, share.NewOwner(spec, now))
		for client := range fleet.clients {
			fleet.trial.after(fleet.trial.latency(vm, client), func() {
				fleet.clients[client][team].OwnerChanged(fleet.trial.clock.Now())
				fleet.step(client, team)
			})
		}
	}
}

func (fleet *fleet) ask(request *request) {
	now := fleet.trial.clock.Now()
	answer := fleet.clients[request.vm][request.team].Ask(request.id, request.deadline.Add(-runTime), now)
	switch answer.Verdict {
	case share.Admitted:
		fleet.trial.admit(request)
	case share.Refused:
		fleet.trial.refuse(request)
	case share.Queued:
		fleet.waiting[request.id] = request
		fleet.step(request.vm, request.team)
	}
}

func (fleet *fleet) stepDue(now spool.Instant) {
	for vm, clients := range fleet.clients {
		for team, client := range clients {
			if now >= client.Due() {
				fleet.step(vm, team)
			}
		}
	}
}

func (fleet *fleet) step(vm, team int) {
	outcome := fleet.clients[vm][team].Step(fleet.trial.clock.Now())
	for _, id := range outcome.Admitted {
		fleet.trial.admit(fleet.take(id))
	}
	for _, refusal := range outcome.Refused {
		fleet.trial.refuse(fleet.take(refusal.ID))
	}
	if outcome.Request != nil {
		fleet.send(vm, team, outcome.Request)
	}
}

func (fleet *fleet) take(id uint64) *request {
	request := fleet.waiting[id]
	delete(fleet.waiting, id)
	return request
}

// send carries a client's request to the owner and the owner's answer back, unless a partition lies between.
func (fleet *fleet) send(vm, team int, request *wire.GrantRequest) {
	trial := fleet.trial
	owner := fleet.ownerVM
	if trial.cut(vm, owner) {
		return
	}
	latency := trial.latency(vm, owner)
	trial.after(latency, func() {
		if fleet.owners == nil || fleet.ownerVM != owner {
			return
		}
		answer := fleet.owners[team].Grant(spool.VM(fmt.Sprint("vm", vm)), request, trial.clock.Now())
		if answer == nil || trial.cut(vm, owner) {
			return
		}
		trial.after(latency, func() {
			fleet.clients[vm][team].Receive(answer, trial.clock.Now())
			fleet.step(vm, team)
		})
	})
}
