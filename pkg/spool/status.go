package spool

// Status is a proxy's report to operators on itself and on its view of the fleet.
type Status struct {
	VM              VM
	Domain          Domain
	Draining        bool
	PlatformInReach bool
	Sessions        int // connected callers
	AuditLost       uint64
	VMs             []VMStatus
	Groups          []GroupStatus
	Manifests       []ManifestStatus
	Teams           []TeamStatus
	Quorum          QuorumStatus
}

// VMStatus is the state of a VM of the fleet.
type VMStatus struct {
	VM      VM
	Domain  Domain
	InReach bool
	Leaving bool
}

// GroupStatus is the state of a database group.
type GroupStatus struct {
	Group   Group
	Term    Term
	Primary Server
	Leader  VM   // empty if unknown
	Open    bool // the primary accepts writes
	Servers []ServerState
}

// ServerState is the state of a backend server as last observed by the group's leader.
type ServerState struct {
	Server   Server
	Term     Term
	Position Position
	InReach  bool
	Leaving  bool
}

// ManifestStatus is the state of a partner's configuration.
type ManifestStatus struct {
	Partner Partner
	Version Version // in force; zero if none
	Refused Version // newer but invalid; zero if none
	Faults  Faults  // of the refused version
}

// TeamStatus is a team's rate limit and this proxy's share of it.
type TeamStatus struct {
	Team          Team
	Owner         VM // empty if unknown
	RatePerSecond float64
	Burst         float64
	Granted       float64 // tokens that this proxy may spend now
}

// QuorumStatus lists the VMs that witness leases.
type QuorumStatus struct {
	Members  []VM
	Next     []VM // members of the quorum that replaces the current one
	Changing bool
}
