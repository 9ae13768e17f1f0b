package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// tokensRequested passes a token request to the team's owner; if none is known, it drops the request and asks the
// witnesses who the owner is.
func (core *Core) tokensRequested(request *wire.GrantRequest, now spool.Instant) {
	name := lease.TeamRole(spool.Team(request.Team))
	owner, known := core.RoleHolder(name)
	switch {
	case !known:
		core.locateRole(name, now)
	case owner == core.self.VM:
		if answer := core.grantTokens(core.self.VM, request, now); answer != nil {
			core.emit(DeliverTokens{Answer: answer})
		}
	default:
		core.send(owner, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}})
	}
}

func (core *Core) grantTokens(from spool.VM, request *wire.GrantRequest, now spool.Instant) *wire.GrantAnswer {
	team := spool.Team(request.Team)
	role := core.roles.get(lease.TeamRole(team))
	owner := core.owners[team]
	if owner == nil || role == nil || !role.holder.Held(now) {
		return &wire.GrantAnswer{Team: request.Team, Sequence: request.Sequence, NotOwner: true}
	}
	return owner.Grant(from, request, now)
}

func (core *Core) handleGrantAnswer(from spool.VM, answer *wire.GrantAnswer) {
	name := lease.TeamRole(spool.Team(answer.Team))
	if location, known := core.locations[name]; answer.NotOwner && known && location.vm == from {
		core.forgetHolder(name)
	}
	core.emit(DeliverTokens{Answer: answer})
}
