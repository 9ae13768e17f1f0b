package core

import (
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
	backing *wire.TermRecord // a record whose majority the leader waits for
}

// assign seeks the roles for which this proxy is among the first candidates, if any of that may have changed.
func (core *Core) assign(now spool.Instant) {
	core.reassign = core.ranks.Update(now) || core.reassign
	if !core.reassign || !core.configured || !core.settled(now) {
		return
	}
	core.reassign = false
	core.ranks.Retain(func(role string) bool { return core.wanted(lease.Role(role)) })
	snapshot := core.store.Snapshot()
	for _, group := range snapshot.Groups() {
		core.consider(lease.GroupRole(group.Name), now)
	}
	for _, team := range snapshot.Teams() {
		core.consider(lease.TeamRole(team.Name), now)
	}
	for _, role := range core.roles.sorted {
		if !core.wanted(role.name) {
			core.giveUp(role, now)
		}
	}
}

// consider seeks or gives up one role according to the own rank.
func (core *Core) consider(name lease.Role, now spool.Instant) {
	rank, may := core.ranks.Rank(string(name))
	role := core.roles.get(name)
	switch {
	case !may:
		return
	case role != nil && role.held:
		rank = 0
	case rank >= maxCandidates:
		core.giveUp(role, now)
		return
	}
	if role == nil {
		role = core.addRole(name)
	}
	if !role.seeking || role.rank != rank {
		role.seeking, role.rank = true, rank
		role.holder.Campaign(rank, now)
	}
}

// wanted tells whether the manifests in force have the role.
func (core *Core) wanted(name lease.Role) bool {
	if group, isGroup := name.Group(); isGroup {
		_, known := core.store.Snapshot().Group(group)
		return known
	}
	team, _ := name.Team()
	_, known := core.store.Snapshot().Team(team)
	return known
}

// addRole begins to take part in a role; roles are never dropped, because a holder's requests are numbered.
func (core *Core) addRole(name lease.Role) *role {
	holder := lease.NewHolder(name, core.self.Incarnation, core.leaseOptions...)
	holder.SetQuorum(core.quorum, core.started)
	created := &role{name: name, holder: holder}
	core.roles.add(name, created)
	return created
}

func (core *Core) giveUp(role *role, now spool.Instant) {
	if role == nil || !role.seeking {
		return
	}
	role.seeking = false
	role.holder.Resign()
	core.turn(role, now)
	core.ask(role, now)
}

func (core *Core) tickRoles(now spool.Instant) {
	for _, role := range core.roles.sorted {
		core.ask(role, now)
	}
}

// ask sends the vote requests that are due; the own witness answers at once.
func (core *Core) ask(role *role, now spool.Instant) {
	for _, out := range role.holder.DueRequests(now) {
		if out.To != core.self.VM {
			core.send(out.To, &wire.Envelope{Body: &wire.Envelope_VoteRequest{VoteRequest: out.Request}})
			continue
		}
		role.holder.Receive(core.self.VM, core.witness.Vote(core.self.VM, out.Request, now), now)
	}
}

func (core *Core) voted(from spool.VM, answer *wire.VoteAnswer, now spool.Instant) {
	role := core.roles.get(lease.Role(answer.Role))
	if role == nil {
		return
	}
	role.holder.Receive(from, answer, now)
	core.changerActions(core.changer.ObserveWitness(from, spool.Version(answer.Quorum), now))
}

// settle carries on what the event changed in the leases.
func (core *Core) settle(now spool.Instant) {
	for _, role := range core.roles.sorted {
		core.turn(role, now)
		if role.held && role.backing != nil && role.holder.BackedByMajority(role.backing) {
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
	change := role.holder.NextChange(now)
	if change == lease.Unchanged {
		return
	}
	role.held = change == lease.Gained
	core.reassign = true
	if group, isGroup := role.name.Group(); isGroup {
		core.turnGroup(group, role, now)
	}
	if team, isTeam := role.name.Team(); isTeam {
		core.turnTeam(team, role, now)
	}
	core.nextHeartbeat = now
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
