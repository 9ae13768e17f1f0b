package spool

// VM names one machine that runs the proxy.
type VM string

// Domain names a failure domain.
type Domain string

// Member describes one VM of the fleet as the platform's list shows it.
type Member struct {
	VM          VM
	Domain      Domain
	Address     string
	Incarnation uint64
	Leaving     bool
}
