package spool

// VM is the name of a machine that runs the proxy.
type VM string

// Domain is the name of a failure domain.
type Domain string

// Member is a VM of the fleet as listed by the platform.
type Member struct {
	VM          VM
	Domain      Domain
	Address     string
	Incarnation uint64
	Leaving     bool
	Capacity    uint32 // for the work of other proxies, relative to theirs; zero if it is not known
}
