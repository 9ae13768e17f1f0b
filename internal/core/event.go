package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Event is an input of a Core.
type Event interface{ event() }

// Started is the first event of a Core.
type Started struct{}

// Tick lets timeouts expire; the node sends one every 10 ms.
type Tick struct{}

// Received is a control message of another proxy, whose identity was verified.
type Received struct {
	From     spool.VM
	Envelope *wire.Envelope
}

// ObjectsRead is the result of ReadObjects: all objects of the kinds.
type ObjectsRead struct {
	Objects []spool.Object
	Version spool.Version
	SentAt  spool.Instant // when the first list call was sent
}

// ObjectsFailed reports that ReadObjects was not answered.
type ObjectsFailed struct{}

// ObjectsChanged lists the objects that changed up to the end of one watch call; it may be empty.
type ObjectsChanged struct {
	Objects []spool.Object
	SentAt  spool.Instant // when the watch call was sent
}

// ObjectRead is the result of ReadObject; a zero version means that the object does not exist.
type ObjectRead struct{ Object spool.Object }

// ObjectFailed reports that ReadObject was not answered.
type ObjectFailed struct{ Kind, Name string }

// WriteResult is the outcome of a WriteObject.
type WriteResult int

// Results of a WriteObject.
const (
	WriteDone WriteResult = iota
	WriteConflict
	WriteUnknown // the write may have taken effect
)

// ObjectWritten is the result of WriteObject; Object has its new version if Result is WriteDone.
type ObjectWritten struct {
	Object spool.Object
	Nonce  uint64
	Result WriteResult
}

// GroupEvent is an event for the leader of a group.
type GroupEvent struct {
	Group spool.Group
	Event terms.Event
}

// Probed is the result of ProbeServer.
type Probed struct {
	To     spool.VM
	Answer *wire.ProbeAnswer
}

// TokensRequested is a token request that this proxy's share.Client sends to the team's owner.
type TokensRequested struct{ Request *wire.GrantRequest }

// MemberFound reports a VM that was discovered at a seed address.
type MemberFound struct{ Member spool.Member }

// HolderUnknown reports that a request waits for the holder of a role and none is known.
type HolderUnknown struct{ Role lease.Role }

// Leave reports that the proxy shuts down: it releases its roles, those of groups once they are drained.
type Leave struct{}

// GroupDrained reports that no request of a group is running any more on this leaving proxy.
type GroupDrained struct{ Group spool.Group }

func (Started) event()         {}
func (Tick) event()            {}
func (Received) event()        {}
func (ObjectsRead) event()     {}
func (ObjectsFailed) event()   {}
func (ObjectsChanged) event()  {}
func (ObjectRead) event()      {}
func (ObjectFailed) event()    {}
func (ObjectWritten) event()   {}
func (GroupEvent) event()      {}
func (Probed) event()          {}
func (TokensRequested) event() {}
func (MemberFound) event()     {}
func (HolderUnknown) event()   {}
func (Leave) event()           {}
func (GroupDrained) event()    {}
