package spool

import (
	"context"
	"net"
	"time"
)

// ServerTarget names the backend server that a connection is opened to.
type ServerTarget struct {
	Group   Group
	Server  Server
	Address string
	Team    Team // on whose behalf the connection works
}

// ServerConn is a connection to one backend server.
type ServerConn interface {
	// Send writes commands without waiting for answers.
	Send(commands ...Command) error
	// Receive reads the next answer; an error means that the connection is unusable.
	Receive(deadline time.Time) (Answer, error)
	// Stale tells if the server closed the idle connection or sent something unasked.
	Stale() bool
	// Close ends the connection; an open transaction is rolled back.
	Close() error
}

// DialFunc opens a network connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// ServerDialer opens connections to backend servers.
type ServerDialer interface {
	// Open connects and introduces the team; a *Refusal says that the server does not want the connection.
	Open(ctx context.Context, dial DialFunc, target ServerTarget) (ServerConn, LogPosition, error)
	// Status reads the answer to a status, a pause or a resume.
	ParseStatus(answer Answer) (ReplicaStatus, error)
}

// ReplicaStatus is what a backend server says of its log.
type ReplicaStatus struct {
	Primary    bool
	Term       Term
	Received   LogPosition
	PausedTerm Term // highest term that the server was paused for
	Lag        time.Duration
}
