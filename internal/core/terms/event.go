package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Event is an input of a Leader.
type Event interface{ event() }

// LeaseGained reports that the proxy holds the group's lease; Record is the newest record known to the witnesses, or
// nil.
type LeaseGained struct{ Record *wire.TermRecord }

// LeaseLost reports that the proxy no longer holds the group's lease.
type LeaseLost struct{}

// ServersChanged lists the group's backend servers.
type ServersChanged struct{ Servers []spool.ServerSpec }

// QuorumChanged lists the VMs that are witnesses, and the failure domains of all VMs.
type QuorumChanged struct {
	Members []spool.VM
	Domains map[spool.VM]spool.Domain
}

// StatusReceived is a server's answer to a poll that was sent at SentAt.
type StatusReceived struct {
	Status spool.ServerStatus
	SentAt spool.Instant
}

// StatusFailed reports a poll that failed; Refused is set if the connection was refused or reset.
type StatusFailed struct {
	Server  spool.Server
	SentAt  spool.Instant
	Refused bool
}

// ProbeAnswered is another proxy's answer to a Probe.
type ProbeAnswered struct {
	From   spool.VM
	Answer *wire.ProbeAnswer
}

// TermRead is the platform's term record, or nil if it has none.
type TermRead struct{ Record *wire.TermRecord }

// TermReadFailed reports that the platform did not answer a ReadTerm.
type TermReadFailed struct{}

// WriteResult is the outcome of a conditional update.
type WriteResult int

// Results of a conditional update.
const (
	WriteDone WriteResult = iota
	WriteConflict
	WriteUnknown
)

// TermWritten is the result of the WriteTerm with that nonce; Version is set for WriteDone.
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

// PromoteFailed reports that a Promote was refused or not answered.
type PromoteFailed struct {
	Server spool.Server
	Term   spool.Term
}

// Followed reports that a server executed a Follow.
type Followed struct {
	Server spool.Server
	Term   spool.Term
}

// FollowFailed reports that a Follow was refused or not answered.
type FollowFailed struct {
	Server spool.Server
	Term   spool.Term
}

// MajorityVoted reports that a majority of the witnesses voted for the record.
type MajorityVoted struct{ Record *wire.TermRecord }

// Tick lets timeouts expire; the caller sends one at least every 10 ms.
type Tick struct{}

func (LeaseGained) event()    {}
func (LeaseLost) event()      {}
func (ServersChanged) event() {}
func (QuorumChanged) event()  {}
func (StatusReceived) event() {}
func (StatusFailed) event()   {}
func (ProbeAnswered) event()  {}
func (TermRead) event()       {}
func (TermReadFailed) event() {}
func (TermWritten) event()    {}
func (Promoted) event()       {}
func (PromoteFailed) event()  {}
func (Followed) event()       {}
func (FollowFailed) event()   {}
func (MajorityVoted) event()  {}
func (Tick) event()           {}
