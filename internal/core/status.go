package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
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

// Roster returns the witnesses of all leases.
func (core *Core) Roster() lease.Roster { return core.roster }

// Store returns the manifests in force.
func (core *Core) Store() *policy.Store { return core.store }

// Configured tells whether the proxy knows the manifests and may serve.
func (core *Core) Configured() bool { return core.configured }
