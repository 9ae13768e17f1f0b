package core

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// role is a lease that this proxy may hold.
type role struct {
	name    lease.Role
	holder  *lease.Holder
	held    bool
	seeking bool
	rank    int
	backing *wire.TermRecord // a record whose majority the keeper waits for
}

// assign seeks the roles for which this proxy is among the first candidates.
func (core *Core) assign(now spool.Instant) {
	wanted := core.wantedRoles()
	for _, name := range wanted {
		role := core.role(name)
		rank, may := core.view.Rank(string(name), now)
		switch {
		case !may || !core.configured:
			continue
		case role.held:
			rank = 0
		case rank >= maxCandidates:
			core.giveUp(role, now)
			continue
		}
		if !role.seeking || role.rank != rank {
			role.seeking, role.rank = true, rank
			role.holder.Seek(rank, now)
		}
	}
	for name, role := range core.roles {
		if !slices.Contains(wanted, name) {
			core.giveUp(role, now)
		}
	}
}

func (core *Core) wantedRoles() []lease.Role {
	snapshot := core.store.Snapshot()
	names := []lease.Role{}
	for _, group := range snapshot.Groups() {
		names = append(names, lease.GroupRole(group.Name))
	}
	for _, team := range snapshot.Teams() {
		names = append(names, lease.TeamRole(team.Name))
	}
	return names
}

func (core *Core) role(name lease.Role) *role {
	known := core.roles[name]
	if known != nil {
		return known
	}
	holder := lease.NewHolder(name, core.self.Incarnation, core.leaseOptions...)
	holder.SetRoster(core.roster, core.started)
	created := &role{name: name, holder: holder}
	core.roles[name] = created
	return created
}

func (core *Core) giveUp(role *role, now spool.Instant) {
	if !role.seeking {
		return
	}
	role.seeking = false
	role.holder.Stop()
	core.turn(role, now)
	core.ask(role, now)
}

func (core *Core) tickRoles(now spool.Instant) {
	for _, role := range core.sortedRoles() {
		core.ask(role, now)
	}
}

// sortedRoles gives the roles in a stable order, so that equal events have equal effects.
func (core *Core) sortedRoles() []*role {
	roles := make([]*role, 0, len(core.roles))
	for _, role := range core.roles {
		roles = append(roles, role)
	}
	slices.SortFunc(roles, func(a, b *role) int { return cmp.Compare(a.name, b.name) })
	return roles
}

// ask sends the pledge requests that are due; the own witness answers at once.
func (core *Core) ask(role *role, now spool.Instant) {
	for _, out := range role.holder.Due(now) {
		if out.To != core.self.VM {
			core.send(out.To, &wire.Envelope{Body: &wire.Envelope_PledgeRequest{PledgeRequest: out.Request}})
			continue
		}
		role.holder.Receive(core.self.VM, core.witness.Pledge(core.self.VM, out.Request, now), now)
	}
}

func (core *Core) pledged(from spool.VM, answer *wire.PledgeAnswer, now spool.Instant) {
	role := core.roles[lease.Role(answer.Role)]
	if role == nil {
		return
	}
	role.holder.Receive(from, answer, now)
	core.changerActions(core.changer.Seen(from, spool.Version(answer.Roster), now))
}

// settle carries on what the event changed in the leases.
func (core *Core) settle(now spool.Instant) {
	for _, role := range core.sortedRoles() {
		core.turn(role, now)
		if role.held && role.backing != nil && role.holder.Backed(role.backing) {
			record := role.backing
			role.backing = nil
			group, _ := role.name.Group()
			core.groupEvent(group, terms.Backed{Record: record}, now)
		}
	}
	core.fence(now)
}

// turn takes a role that was won into service, or one that was lost out of it.
func (core *Core) turn(role *role, now spool.Instant) {
	change := role.holder.Poll(now)
	if change == lease.Unchanged {
		return
	}
	role.held = change == lease.Gained
	if group, isGroup := role.name.Group(); isGroup {
		core.turnGroup(group, role, now)
	}
	if team, isTeam := role.name.Team(); isTeam {
		core.turnTeam(team, role, now)
	}
	core.nextBeat = now
}

func (core *Core) turnTeam(team spool.Team, role *role, now spool.Instant) {
	if !role.held {
		delete(core.owners, team)
		core.emit(Note{Topic: TopicOwnerLost, Team: team})
		return
	}
	spec, known := core.store.Snapshot().Team(team)
	if !known {
		return
	}
	core.owners[team] = share.NewOwner(spec, now, core.shareOptions...)
	core.locate(role.name, core.self.VM, now)
	core.emit(Note{Topic: TopicOwnerTaken, Team: team})
}
