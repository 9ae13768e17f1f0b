package config

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Defaults of optional settings.
const (
	DefaultLogLevel     = "info"
	DefaultDrainTimeout = spool.Duration(20 * time.Second)
)

// Settings is the local configuration of one proxy.
type Settings struct {
	VM           spool.VM
	Domain       spool.Domain
	Caller       Caller
	Peer         Peer
	Operator     Operator
	Platform     Platform
	Backend      Backend
	Log          Log
	DrainTimeout spool.Duration // maximum time that a shutdown waits for open transactions
}

// Caller configures the listener for callers; it uses TLS if a certificate is set.
type Caller struct {
	Address     string
	Certificate string
	PrivateKey  string
}

// Peer configures the communication with other proxies.
type Peer struct {
	Address     string
	Certificate string
	PrivateKey  string
	Authority   string
	Seeds       []string // addresses of proxies to query when the platform is unreachable
}

// Operator configures the endpoint for operators: metrics, health and status.
type Operator struct {
	Address string
}

// Platform configures access to the object API.
type Platform struct {
	URL       string
	TokenFile string // empty if the API requires no token
}

// Backend configures the credentials of the proxy at backend servers.
type Backend struct {
	User         string
	PasswordFile string
	Authority    string // file of CA certificates that verify servers; if empty, connections use no TLS
}

// Log configures logging.
type Log struct {
	Level string
}
