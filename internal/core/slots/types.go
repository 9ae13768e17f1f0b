package slots

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Servers is a set of servers; bit i stands for the i-th server passed to SetServers.
type Servers uint64

// Outcome says what became of an item.
type Outcome int

// The verdicts on an item.
const (
	Granted Outcome = iota // the item has a slot
	Queued                 // a later call grants or refuses the item
	Refused                // the item gets no slot before its deadline
)

// Item is one transaction that asks for a slot on one of the eligible servers.
type Item struct {
	ID       uint64
	Team     spool.Team
	Servers  Servers
	Spare    Servers // may run the item too, but only when the wait for Servers is long and they have slots to spare
	Deadline spool.Instant
}

// Answer is the immediate answer to an item.
type Answer struct {
	Outcome    Outcome
	Server     int           // index of the server when Granted
	RetryAfter time.Duration // set when Refused
}

// Grant gives a slot on a server to a queued item.
type Grant struct {
	ID     uint64
	Team   spool.Team
	Server int
}

// Refusal names a queued item that gets no slot before its deadline.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Limit says how much work a server takes; a server that leaves or is down gets no new work.
type Limit struct {
	Slots       int // transactions at once
	Connections int // open connections at once; zero stands for no limit
	Leaving     bool
	Up          bool
}
