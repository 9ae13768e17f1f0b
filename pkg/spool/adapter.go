package spool

import "net"

// Adapter connects a fleet to its platform: backend servers, store, promotions and data formats.
type Adapter interface {
	ServerDialer
	Store
	Promoter
	Decoder
}

// Decoder decodes the platform's objects and the protocol of its callers.
type Decoder interface {
	// ConfigObject returns the kind and name of the configuration in the store.
	ConfigObject() (kind, name string)
	// ServerKind returns the kind of the registered backend servers in the store.
	ServerKind() string
	// EvacuationKind returns the kind of the entries whose names are failure domains that the operators evacuate.
	EvacuationKind() string
	// ParseConfig decodes the configuration.
	ParseConfig(object Object) (*FleetConfig, error)
	// ParseServer decodes the entry of a backend server and fails on malformed entries, which other writers may leave.
	ParseServer(object Object) (RegisteredServer, error)
	// NewCallerConn wraps an accepted connection of a caller.
	NewCallerConn(conn net.Conn) CallerConn
}
