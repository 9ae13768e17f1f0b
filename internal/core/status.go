package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Members returns all known VMs, and whether each is alive.
func (core *Core) Members(now spool.Instant) (members []spool.Member, alive []bool) {
	members = core.view.Members()
	for _, member := range members {
		alive = append(alive, core.view.Alive(member.VM, now))
	}
	return members, alive
}

// Address returns the address at which a VM listens for other proxies.
func (core *Core) Address(vm spool.VM) (string, bool) {
	entry, known := core.view.Entry(vm)
	if !known || entry.Address == "" {
		return "", false
	}
	return entry.Address, true
}

// Rank returns this proxy's rank among the serving VMs for a named duty; a leaving VM has none.
func (core *Core) Rank(duty string) (int, bool) { return core.ranks.Rank(duty) }

// TermRecord returns the newest known term record of a group, or nil.
func (core *Core) TermRecord(group spool.Group) *wire.TermRecord {
	return core.witness.TermRecord(group)
}

// Leads reports whether this proxy is the group's leader, and the open term or zero.
func (core *Core) Leads(name spool.Group) (open spool.Term, leads bool) {
	role, group := core.roles.get(lease.GroupRole(name)), core.groups.get(name)
	if role == nil || !role.held || group == nil {
		return 0, false
	}
	return group.leader.OpenTerm(), true
}

// HeldLeases counts the group and team leases that this proxy holds.
func (core *Core) HeldLeases() (groups, teams int) {
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

// Configured reports whether the proxy has the manifests and may serve.
func (core *Core) Configured() bool { return core.configured }
