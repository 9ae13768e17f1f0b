package node

import (
	"cmp"
	"slices"

	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/pkg/spool"
)

// Status returns the state of this proxy and of the fleet as far as it knows.
func (node *Node) Status() spool.Status {
	status := spool.Status{
		VM:        node.settings.VM,
		Domain:    node.settings.Domain,
		Draining:  node.leaving.Load(),
		Sessions:  node.sessions.count(),
		AuditLost: node.auditTrail.writer.Lost(),
	}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := node.timers.Now()
	status.PlatformInReach = node.core.PlatformConfirmed(now)
	status.VMs = node.vmStatus(now)
	status.Manifests = manifestStatus(node.core.Store())
	snapshot := node.core.Store().Snapshot()
	for _, spec := range snapshot.Groups() {
		status.Groups = append(status.Groups, node.groupStatus(spec))
	}
	for _, spec := range snapshot.Teams() {
		status.Teams = append(status.Teams, node.teamStatus(spec))
	}
	quorum := node.core.Quorum()
	status.Quorum = spool.QuorumStatus{Members: quorum.Members, Next: quorum.Next, Changing: quorum.Changing}
	return status
}

func (node *Node) vmStatus(now spool.Instant) []spool.VMStatus {
	members, alive := node.core.Members(now)
	vms := make([]spool.VMStatus, 0, len(members))
	for i, member := range members {
		vms = append(vms, spool.VMStatus{
			VM: member.VM, Domain: member.Domain, InReach: alive[i], Leaving: member.Leaving,
		})
	}
	return vms
}

// groupStatus returns the newest recorded term; only the group's leader knows whether it is open, and its servers.
func (node *Node) groupStatus(spec spool.GroupSpec) spool.GroupStatus {
	record := node.core.TermRecord(spec.Name)
	status := spool.GroupStatus{
		Group: spec.Name, Term: spool.Term(record.GetTerm()), Primary: spool.Server(record.GetPrimary()),
	}
	status.Leader, _ = node.holder(lease.GroupRole(spec.Name))
	open, _ := node.core.Leads(spec.Name)
	hostedGroup, here := node.groups.get(spec.Name)
	if !here {
		return status
	}
	servers, primary, _ := hostedGroup.Snapshot()
	if open > 0 {
		status.Open = true
		status.Term = open
		status.Primary = primary
	}
	for _, server := range servers {
		status.Servers = append(status.Servers, spool.ServerState{
			Server: server.Name, Term: server.Term, Position: server.Position,
			InReach: server.Up, Leaving: server.Leaving,
		})
	}
	return status
}

func (node *Node) teamStatus(spec spool.TeamSpec) spool.TeamStatus {
	status := spool.TeamStatus{Team: spec.Name, RatePerSecond: spec.RatePerSecond, Burst: spec.Burst}
	status.Owner, _ = node.holder(lease.TeamRole(spec.Name))
	if limiter, known := node.limiters.get(spec.Name); known {
		status.Granted = limiter.tokens()
	}
	return status
}

func (limiter *limiter) tokens() float64 {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return float64(limiter.client.Tokens())
}

// manifestStatus returns the partners with a manifest in force or a rejected one, sorted by name.
func manifestStatus(store *policy.Store) []spool.ManifestStatus {
	byPartner := map[spool.Partner]spool.ManifestStatus{}
	for partner, version := range store.Versions() {
		byPartner[partner] = spool.ManifestStatus{Partner: partner, Version: version}
	}
	for partner, rejected := range store.Rejected() {
		status := byPartner[partner]
		status.Partner = partner
		status.Refused = rejected.Version
		status.Faults = rejected.Faults
		byPartner[partner] = status
	}
	manifests := make([]spool.ManifestStatus, 0, len(byPartner))
	for _, status := range byPartner {
		manifests = append(manifests, status)
	}
	slices.SortFunc(manifests, func(a, b spool.ManifestStatus) int { return cmp.Compare(a.Partner, b.Partner) })
	return manifests
}

func (sessions *sessions) count() int {
	sessions.mutex.Lock()
	defer sessions.mutex.Unlock()
	return len(sessions.entries)
}
