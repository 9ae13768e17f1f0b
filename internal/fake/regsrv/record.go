package regsrv

import "corianderspool.example/spool/pkg/spool"

// Write is one change of a key: a value put once or appended.
type Write struct {
	Key    string
	Value  string
	Append bool
}

// Record is one committed transaction in the replication log.
type Record struct {
	Term        spool.Term
	Position    spool.Position
	Connection  uint32
	Transaction uint64
	AtNanos     int64 // commit time on the primary, since the Unix epoch
	Writes      []Write
}

// TermStart says at which position a term began.
type TermStart struct {
	Term  spool.Term
	Start spool.Position
}

// Applied is one write that the server holds, as the control port shows it.
type Applied struct {
	Position    spool.Position
	Term        spool.Term
	Key         string
	Value       string
	Connection  uint32
	Transaction uint64
}
