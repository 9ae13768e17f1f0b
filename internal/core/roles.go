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
	name          lease.Role
	holder        *lease.Holder
	held          bool
	seeking       bool
	rank          int
	awaitedRecord *wire.TermRecord // a record for which the leader awaits a majority's votes
}

// assignRoles seeks the roles for which this proxy is among the first maxCandidates, if ranks or manifests may have
// changed.
func (core *Core) assignRoles(now spool.Instant) {
	core.assignDue = core.ranks.Update(now) || core.assignDue
	if !core.assignDue || !core.configured || !core.startupPassed(now) {
		return
	}
	core.assignDue = false
	core.ranks.Retain(func(role string) bool { return core.roleExists(lease.Role(role)) })
	snapshot := core.store.Snapshot()
	for _, group := range snapshot.Groups() {
		core.considerRole(lease.GroupRole(group.Name), now)
	}
	for _, team := range snapshot.Teams() {
		core.considerRole(lease.TeamRole(team.Name), now)
	}
	for _, role := range core.roles.sorted {
		if !core.roleExists(role.name) {
			core.releaseRole(role, now)
		}
	}
}

// considerRole seeks or releases one role according to this proxy's rank.
func (core *Core) considerRole(name lease.Role, now spool.Instant) {
	rank, ranked := core.ranks.Rank(string(name))
	role := core.roles.get(name)
	switch {
	case !ranked:
		return
	case role != nil && role.held:
		rank = 0
	case rank >= maxCandidates:
		core.releaseRole(role, now)
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

// roleExists reports whether the manifests in force define the role's group or team.
func (core *Core) roleExists(name lease.Role) bool {
	if group, isGroup := name.Group(); isGroup {
		_, known := core.store.Snapshot().Group(group)
		return known
	}
	team, _ := name.Team()
	_, known := core.store.Snapshot().Team(team)
	return known
}

// addRole adds a role. Roles are never removed, because a new holder would number its requests from the start again.
func (core *Core) addRole(name lease.Role) *role {
	holder := lease.NewHolder(name, core.self.Incarnation, core.leaseOptions...)
	holder.SetQuorum(core.quorum, core.started)
	created := &role{name: name, holder: holder}
	core.roles.add(name, created)
	return created
}

func (core *Core) releaseRole(role *role, now spool.Instant) {
	if role == nil || !role.seeking {
		return
	}
	role.seeking = false
	role.holder.Resign()
	core.updateRole(role, now)
	core.requestVotes(role, now)
}

func (core *Core) tickRoles(now spool.Instant) {
	for _, role := range core.roles.sorted {
		core.requestVotes(role, now)
	}
}

// requestVotes sends the vote requests that are due; this proxy's own witness answers at once.
func (core *Core) requestVotes(role *role, now spool.Instant) {
	for _, outgoing := range role.holder.DueRequests(now) {
		if outgoing.To != core.self.VM {
			core.send(outgoing.To, &wire.Envelope{Body: &wire.Envelope_VoteRequest{VoteRequest: outgoing.Request}})
			continue
		}
		role.holder.Receive(core.self.VM, core.witness.Vote(core.self.VM, outgoing.Request, now), now)
	}
}

func (core *Core) handleVoteAnswer(from spool.VM, answer *wire.VoteAnswer, now spool.Instant) {
	role := core.roles.get(lease.Role(answer.Role))
	if role == nil {
		return
	}
	role.holder.Receive(from, answer, now)
	core.emitQuorumActions(core.changer.ObserveWitness(from, spool.Version(answer.Quorum), now))
}

// applyLeaseChanges applies the changes of leases and votes that an event caused.
func (core *Core) applyLeaseChanges(now spool.Instant) {
	for _, role := range core.roles.sorted {
		core.updateRole(role, now)
		if role.held && role.awaitedRecord != nil && role.holder.BackedByMajority(role.awaitedRecord) {
			record := role.awaitedRecord
			role.awaitedRecord = nil
			group, _ := role.name.Group()
			core.groupEvent(group, terms.MajorityVoted{Record: record}, now)
		}
	}
	core.updateFences(now)
}

// updateRole starts or stops the duties of a role whose lease was gained or lost.
func (core *Core) updateRole(role *role, now spool.Instant) {
	change := role.holder.NextChange(now)
	if change == lease.Unchanged {
		return
	}
	role.held = change == lease.Gained
	core.assignDue = true
	if group, isGroup := role.name.Group(); isGroup {
		core.updateGroupRole(group, role, now)
	}
	if team, isTeam := role.name.Team(); isTeam {
		core.updateTeamRole(team, role, now)
	}
	core.nextHeartbeat = now
}

func (core *Core) updateTeamRole(team spool.Team, role *role, now spool.Instant) {
	if !role.held {
		delete(core.owners, team)
		core.emit(Note{Topic: TopicTeamLeaseLost, Team: team})
		return
	}
	spec, known := core.store.Snapshot().Team(team)
	if !known {
		return
	}
	core.owners[team] = share.NewOwner(spec, now, core.shareOptions...)
	core.recordHolder(role.name, core.self.VM, now)
	core.emit(Note{Topic: TopicTeamLeaseAcquired, Team: team})
}
