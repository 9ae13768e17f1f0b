package spool

import (
	"context"
	"net"
	"time"
)

// ServerTarget identifies the backend server that a connection is opened to.
type ServerTarget struct {
	Group   Group
	Server  Server
	Address string
	Team    Team // on whose behalf the connection is used
}

// ServerConn is a connection to one backend server.
type ServerConn interface {
	// Send writes commands without waiting for answers.
	Send(commands ...Command) error
	// Receive reads the next answer; after an error the connection is unusable.
	Receive(deadline time.Time) (Answer, error)
	// Stale reports whether the server closed the idle connection or sent unsolicited data.
	Stale() bool
	// Close closes the connection; an open transaction is rolled back.
	Close() error
}

// DialFunc opens a network connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// ServerDialer opens connections to backend servers.
type ServerDialer interface {
	// Open connects on behalf of the target's team and returns the server's log position; a *Refusal means that the
	// server rejected the connection.
	Open(ctx context.Context, dial DialFunc, target ServerTarget) (ServerConn, LogPosition, error)
	// ParseStatus decodes the answer to VerbStatus, VerbPause or VerbResume.
	ParseStatus(answer Answer) (ReplicaStatus, error)
}

// ReplicaStatus is the replication state that a backend server reports.
type ReplicaStatus struct {
	Primary    bool
	Term       Term
	Received   LogPosition
	PausedTerm Term // highest term for which the server was paused
	Lag        time.Duration
}
