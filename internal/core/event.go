package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Event is something that a Core has to know.
type Event interface{ event() }

// Started begins the life of a Core.
type Started struct{}

// Tick lets waits end; the shell ticks every 10 ms.
type Tick struct{}

// Received is a control message of another proxy, whose identity is checked.
type Received struct {
	From     spool.VM
	Envelope *wire.Envelope
}

// ObjectsRead answers ReadObjects with all objects of its kinds.
type ObjectsRead struct {
	Objects []spool.Object
	Version spool.Version
	SentAt  spool.Instant // when the first call was sent
}

// ObjectsFailed tells that ReadObjects was not answered.
type ObjectsFailed struct{}

// ObjectsSeen brings the objects that changed until a watch of the platform ended, or none.
type ObjectsSeen struct {
	Objects []spool.Object
	SentAt  spool.Instant // when the watch was sent
}

// ObjectRead answers ReadObject; a zero version says that the object does not exist.
type ObjectRead struct{ Object spool.Object }

// ObjectFailed tells that ReadObject was not answered.
type ObjectFailed struct{ Kind, Name string }

// WriteResult says what became of a WriteObject.
type WriteResult int

// Results of a WriteObject.
const (
	Written WriteResult = iota
	Conflict
	Uncertain // the write may have taken effect
)

// ObjectWritten answers WriteObject; Object has its new version when Result is Written.
type ObjectWritten struct {
	Object spool.Object
	Nonce  uint64
	Result WriteResult
}

// GroupEvent brings an event to the leader of a group.
type GroupEvent struct {
	Group spool.Group
	Event terms.Event
}

// Probed answers ProbeServer.
type Probed struct {
	To     spool.VM
	Answer *wire.ProbeAnswer
}

// TokensWanted brings a request of this proxy's client of a team's rate.
type TokensWanted struct{ Request *wire.GrantRequest }

// Found tells of a VM that a seed address led to.
type Found struct{ Member spool.Member }

// Missing tells that a request waits for the holder of a role and none is known.
type Missing struct{ Role lease.Role }

// Leave tells that the proxy shuts down: it gives up every role as soon as Drained allows it.
type Leave struct{}

// Drained tells that no request of a group is running any more on this leaving proxy.
type Drained struct{ Group spool.Group }

func (Started) event()       {}
func (Tick) event()          {}
func (Received) event()      {}
func (ObjectsRead) event()   {}
func (ObjectsFailed) event() {}
func (ObjectsSeen) event()   {}
func (ObjectRead) event()    {}
func (ObjectFailed) event()  {}
func (ObjectWritten) event() {}
func (GroupEvent) event()    {}
func (Probed) event()        {}
func (TokensWanted) event()  {}
func (Found) event()         {}
func (Missing) event()       {}
func (Leave) event()         {}
func (Drained) event()       {}
