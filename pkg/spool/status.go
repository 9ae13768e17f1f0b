package spool

// Status is what a proxy tells operators of itself and of the fleet as it sees it.
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

// VMStatus is a proxy of the fleet.
type VMStatus struct {
	VM      VM
	Domain  Domain
	InReach bool
	Leaving bool
}

// GroupStatus is a database group.
type GroupStatus struct {
	Group   Group
	Term    Term
	Primary Server
	Leader  VM   // empty if not known
	Open    bool // the primary takes writes
	Servers []ServerState
}

// ServerState is a backend server as the group's leader last saw it.
type ServerState struct {
	Server   Server
	Term     Term
	Position Position
	InReach  bool
	Leaving  bool
}

// ManifestStatus is the configuration of a partner.
type ManifestStatus struct {
	Partner Partner
	Version Version // in force; zero if none
	Refused Version // newer but invalid; zero if none
	Faults  Faults  // of the refused version
}

// TeamStatus is a team's rate and what this proxy has of it.
type TeamStatus struct {
	Team          Team
	Owner         VM // empty if not known
	RatePerSecond float64
	Burst         float64
	Granted       float64 // tokens that this proxy may spend now
}

// QuorumStatus tells which VMs are witnesses of leases.
type QuorumStatus struct {
	Members  []VM
	Next     []VM // members of the quorum that is being put in place
	Changing bool
}
