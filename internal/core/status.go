package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Members returns all VMs that the core knows, and whether each is alive.
func (core *Core) Members(now spool.Instant) (members []spool.Member, alive []bool) {
	members = core.view.Members()
	for _, member := range members {
		alive = append(alive, core.view.Alive(member.VM, now))
	}
	return members, alive
}

// Address returns where a VM listens for other proxies.
func (core *Core) Address(vm spool.VM) (string, bool) {
	entry, known := core.view.Entry(vm)
	if !known || entry.Address == "" {
		return "", false
	}
	return entry.Address, true
}

// Rank returns the own place among the serving VMs for a duty of that name; a leaving VM has none.
func (core *Core) Rank(duty string) (int, bool) { return core.ranks.Rank(duty) }

// Term returns the newest term record known of a group, or nil.
func (core *Core) Term(group spool.Group) *wire.TermRecord { return core.witness.TermRecord(group) }

// Keeps tells whether this proxy is the group's leader, and returns the open term or zero.
func (core *Core) Keeps(name spool.Group) (open spool.Term, keeps bool) {
	role, group := core.roles.get(lease.GroupRole(name)), core.groups.get(name)
	if role == nil || !role.held || group == nil {
		return 0, false
	}
	return group.leader.OpenTerm(), true
}

// Held counts the leases of groups and of teams that this proxy holds.
func (core *Core) Held() (groups, teams int) {
	for _, role := range core.roles.sorted {
		if !role.held {
			continue
		}
		if _, isGroup := role.name.Group(); isGroup {
			groups++
		} else {
			teams++
		}
	}
	return groups, teams
}

// Quorum returns the witnesses of all leases.
func (core *Core) Quorum() lease.Quorum { return core.quorum }

// Store returns the manifests in force.
func (core *Core) Store() *policy.Store { return core.store }

// Configured tells whether the proxy knows the manifests and may serve.
func (core *Core) Configured() bool { return core.configured }
