package spool

import "net"

// Adapter connects a fleet to the platform that it runs on.
type Adapter interface {
	ServerDialer
	Store
	Promoter
	Decoder
}

// Decoder reads what the platform writes.
type Decoder interface {
	// ConfigObject locates the configuration in the store.
	ConfigObject() (kind, name string)
	// ServerKind is the kind of the registered backend servers in the store.
	ServerKind() string
	// ParseDeployment reads the configuration.
	ParseConfig(object Object) (*FleetConfig, error)
	// ParseServer reads the entry of a backend server; entries of other writers may be out of form.
	ParseServer(object Object) (RegisteredServer, error)
	// NewCaller returns the caller on an accepted connection.
	NewCallerConn(conn net.Conn) CallerConn
}
