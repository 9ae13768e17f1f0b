package spool

import "context"

// ServerStatus is what a backend server says of itself.
type ServerStatus struct {
	Server   Server
	Term     Term
	Position Position
	Primary  bool
	Start    Position // position at which the current term began
}

// Admin gives orders to one backend server over a connection of its own.
type Admin interface {
	// Status asks the server for its term, position and role.
	Status(ctx context.Context, server ServerSpec) (ServerStatus, error)
	// Promote opens a term on the server and returns its status afterwards; repeating it is harmless.
	Promote(ctx context.Context, server ServerSpec, term Term) (ServerStatus, error)
	// Follow makes the server a replica of the primary in that term and drops what it has beyond the term's start.
	Follow(ctx context.Context, server ServerSpec, term Term, primary ServerSpec) error
}
