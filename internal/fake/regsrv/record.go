package regsrv

import "corianderspool.example/spool/pkg/spool"

// Write adds a value to a key: a PUT, which allows no earlier value, or an APPEND.
type Write struct {
	Key    string
	Value  string
	Append bool
}

// Record is the replication log entry of one committed transaction.
type Record struct {
	Term        spool.Term
	Position    spool.Position
	Connection  uint32
	Transaction uint64
	AtNanos     int64 // commit time on the primary, since the Unix epoch
	Writes      []Write
}

// TermStart is the position at which a term began.
type TermStart struct {
	Term  spool.Term
	Start spool.Position
}

// AppliedWrite is one write in the log, as the control port returns it.
type AppliedWrite struct {
	Position    spool.Position
	Term        spool.Term
	Key         string
	Value       string
	Connection  uint32
	Transaction uint64
}
