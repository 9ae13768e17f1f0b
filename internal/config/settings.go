package config

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Values of settings that are left out.
const (
	DefaultLogLevel     = "info"
	DefaultDrainTimeout = spool.Duration(20 * time.Second)
)

// Settings are what one proxy is told of itself and its surroundings.
type Settings struct {
	VM           spool.VM
	Domain       spool.Domain
	Caller       Caller
	Peer         Peer
	Operator     Operator
	Platform     Platform
	Backend      Backend
	Log          Log
	DrainTimeout spool.Duration // longest time that a shutdown waits for open transactions
}

// Caller is the side towards callers; it speaks TLS if it has a certificate.
type Caller struct {
	Address     string
	Certificate string
	PrivateKey  string
}

// Peer is the side towards other proxies.
type Peer struct {
	Address     string
	Certificate string
	PrivateKey  string
	Authority   string
	Seeds       []string // addresses of proxies to ask when the platform is out of reach
}

// Operator is the side towards operators: metrics, health and status.
type Operator struct {
	Address string
}

// Platform is the object API.
type Platform struct {
	URL       string
	TokenFile string // empty if the API asks for no token
}

// Backend holds the proxy's own credentials towards backend servers.
type Backend struct {
	User         string
	PasswordFile string
	Authority    string // certificates that servers are checked against; empty connects without TLS
}

// Log sets what is logged.
type Log struct {
	Level string
}
