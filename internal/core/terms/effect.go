package terms

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Effect is an action that a Leader asks its caller to execute.
type Effect interface{ effect() }

// Poll requests every server's status at once, in addition to the regular polls.
type Poll struct{}

// ReadTerm requests the platform's term record of the group.
type ReadTerm struct{ Group spool.Group }

// WriteTerm requests a conditional update of the term record.
type WriteTerm struct {
	Expected spool.Version // zero if the record must not exist
	Record   *wire.TermRecord
}

// Probe asks another proxy whether it reaches a server.
type Probe struct {
	To      spool.VM
	Request *wire.ProbeRequest
}

// Promote orders a server to open a term.
type Promote struct {
	Server spool.Server
	Term   spool.Term
}

// Follow orders a server to replicate from the primary of a term.
type Follow struct {
	Server  spool.Server
	Term    spool.Term
	Primary spool.Server
}

// RequestVotes requests votes for the record from all witnesses at once; MajorityVoted answers it.
type RequestVotes struct{ Record *wire.TermRecord }

// Open allows acknowledgements of writes in the term; History holds every term that is known to have been opened.
type Open struct {
	Term    spool.Term
	Primary spool.Server
	Start   spool.Position
	History []*wire.TermStart
}

// Drain forbids new requests on the primary of a term and lets running ones finish; Close or Open follows.
type Drain struct{ Term spool.Term }

// Close ends acknowledgements of the open term at once.
type Close struct{ Reason Reason }

// Yield releases the lease and does not seek it again before Backoff has passed.
type Yield struct{ Backoff time.Duration }

// Note reports a step of the leader for the log.
type Note struct {
	Reason Reason
	Term   spool.Term
	Server spool.Server
}

func (Poll) effect()         {}
func (ReadTerm) effect()     {}
func (WriteTerm) effect()    {}
func (Probe) effect()        {}
func (Promote) effect()      {}
func (Follow) effect()       {}
func (RequestVotes) effect() {}
func (Open) effect()         {}
func (Drain) effect()        {}
func (Close) effect()        {}
func (Yield) effect()        {}
func (Note) effect()         {}
