package slots

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Servers is a set of servers; bit i is the i-th server passed to SetServers.
type Servers uint64

// Outcome is the immediate result of Acquire for an item.
type Outcome int

// Outcomes of Acquire.
const (
	Granted Outcome = iota // the item has a slot
	Queued                 // a later call grants or refuses the item
	Refused                // the item gets no slot before its deadline
)

// Item is a transaction that needs a slot on one of the eligible servers.
type Item struct {
	ID       uint64
	Team     spool.Team
	Servers  Servers
	Spare    Servers // used only if the wait for Servers is long and more than spareReserve of their slots are free
	Deadline spool.Instant
}

// Answer is the result of Acquire.
type Answer struct {
	Outcome    Outcome
	Server     int           // index of the server when Granted
	RetryAfter time.Duration // set when Refused
}

// Grant assigns a slot on a server to a queued item.
type Grant struct {
	ID     uint64
	Team   spool.Team
	Server int
}

// Refusal states that a queued item gets no slot before its deadline.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Limit is the capacity of a server; a server that leaves or is down gets no new work.
type Limit struct {
	Slots       int // concurrent transactions
	Connections int // open connections; zero means no limit
	Leaving     bool
	Up          bool
}
