package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Event is something that a Leader has to know.
type Event interface{ event() }

// LeaseGained tells that the proxy holds the group's lease; Record is the newest that the witnesses told of, or nil.
type LeaseGained struct{ Record *wire.TermRecord }

// LeaseLost tells that the proxy holds the group's lease no longer.
type LeaseLost struct{}

// ServersChanged tells of the group's backend servers.
type ServersChanged struct{ Servers []spool.ServerSpec }

// QuorumChanged tells which VMs are the witnesses, and of the failure domains of all VMs.
type QuorumChanged struct {
	Members []spool.VM
	Domains map[spool.VM]spool.Domain
}

// StatusSeen tells of a server's status that was asked for at SentAt.
type StatusSeen struct {
	Status spool.ServerStatus
	SentAt spool.Instant
}

// StatusFailed tells that a server's status could not be had; Refused says that the connection was refused or reset.
type StatusFailed struct {
	Server  spool.Server
	SentAt  spool.Instant
	Refused bool
}

// ProbeSeen is the answer of another proxy to a Probe.
type ProbeSeen struct {
	From   spool.VM
	Answer *wire.ProbeAnswer
}

// TermRead tells the platform's record of the term, or nil if it has none.
type TermRead struct{ Record *wire.TermRecord }

// TermReadFailed tells that the platform did not answer a ReadTerm.
type TermReadFailed struct{}

// WriteResult tells what became of a conditional update.
type WriteResult int

// Results of a conditional update.
const (
	WriteDone WriteResult = iota
	WriteConflict
	WriteUnknown
)

// TermWritten tells the result of the WriteTerm with that nonce; Version is set when it was done.
type TermWritten struct {
	Nonce   uint64
	Result  WriteResult
	Version spool.Version
}

// Promoted is a server's status after a Promote.
type Promoted struct {
	Term   spool.Term
	Status spool.ServerStatus
}

// PromoteFailed tells that a Promote was refused or not answered.
type PromoteFailed struct {
	Server spool.Server
	Term   spool.Term
}

// Followed tells that a server carried out a Follow.
type Followed struct {
	Server spool.Server
	Term   spool.Term
}

// FollowFailed tells that a Follow was refused or not answered.
type FollowFailed struct {
	Server spool.Server
	Term   spool.Term
}

// Backed tells that a majority of the witnesses voted with the record.
type Backed struct{ Record *wire.TermRecord }

// Tick lets waits end; the shell ticks at least every 10 ms.
type Tick struct{}

func (LeaseGained) event()    {}
func (LeaseLost) event()      {}
func (ServersChanged) event() {}
func (QuorumChanged) event()  {}
func (StatusSeen) event()     {}
func (StatusFailed) event()   {}
func (ProbeSeen) event()      {}
func (TermRead) event()       {}
func (TermReadFailed) event() {}
func (TermWritten) event()    {}
func (Promoted) event()       {}
func (PromoteFailed) event()  {}
func (Followed) event()       {}
func (FollowFailed) event()   {}
func (Backed) event()         {}
func (Tick) event()           {}
