package terms

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Effect is something that a Leader asks its shell to do.
type Effect interface{ effect() }

// Poll asks for every server's status at once, besides the regular polls.
type Poll struct{}

// ReadTerm asks for the platform's record of the term.
type ReadTerm struct{ Group spool.Group }

// WriteTerm asks to record a term by conditional update.
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

// Vote asks for a round of votes with the record at once; the event Backed answers it.
type Vote struct{ Record *wire.TermRecord }

// Open tells that acknowledgements of the term may be given; History holds every term that is known to have been opened.
type Open struct {
	Term    spool.Term
	Primary spool.Server
	Start   spool.Position
	History []*wire.TermStart
}

// Drain asks to begin no new work on the primary of a term and to let running work end; Closed or Open follows.
type Drain struct{ Term spool.Term }

// Closed tells that acknowledgements of the term that was open end at once.
type Closed struct{ Reason Reason }

// Yield asks to release the lease and not to seek it again before the back-off has passed.
type Yield struct{ BackOff time.Duration }

// Note tells of a step for the log.
type Note struct {
	Reason Reason
	Term   spool.Term
	Server spool.Server
}

func (Poll) effect()      {}
func (ReadTerm) effect()  {}
func (WriteTerm) effect() {}
func (Probe) effect()     {}
func (Promote) effect()   {}
func (Follow) effect()    {}
func (Vote) effect()      {}
func (Open) effect()      {}
func (Drain) effect()     {}
func (Closed) effect()    {}
func (Yield) effect()     {}
func (Note) effect()      {}
