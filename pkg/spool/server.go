package spool

import "context"

// ServerStatus is the state that a backend server reports.
type ServerStatus struct {
	Server   Server
	Term     Term
	Position Position
	Primary  bool
	Start    Position // position at which the current term started
}

// Admin sends administrative commands to a backend server over a separate connection.
type Admin interface {
	// Status queries the server's term, position and role.
	Status(ctx context.Context, server ServerSpec) (ServerStatus, error)
	// Promote starts a term on the server and returns its status afterwards; it is idempotent.
	Promote(ctx context.Context, server ServerSpec, term Term) (ServerStatus, error)
	// Follow makes the server a replica of the primary in the term and truncates its log at the term's start.
	Follow(ctx context.Context, server ServerSpec, term Term, primary ServerSpec) error
}
