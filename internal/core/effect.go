package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Effect is an action that a Core asks the node to execute.
type Effect interface{ effect() }

// Send sends a control message; delivery is not guaranteed.
type Send struct {
	To       spool.VM
	Envelope *wire.Envelope
}

// ReadObjects lists all objects of the kinds, one kind after the other in this order.
type ReadObjects struct{ Kinds []string }

// WatchObjects starts to watch the platform for versions after After, or stops the watch.
type WatchObjects struct {
	Watch bool
	After spool.Version
}

// ReadObject reads one object from the platform.
type ReadObject struct{ Kind, Name string }

// WriteObject updates an object if the platform still has the version in Object.
type WriteObject struct {
	Object spool.Object
	Nonce  uint64
}

// StartLeading reports that this proxy became the leader of a group and has to poll the group's servers.
type StartLeading struct{ Group spool.GroupSpec }

// StopLeading reports that this proxy is no longer the leader of a group.
type StopLeading struct{ Group spool.Group }

// OpenGroup allows requests on the primary of a term.
type OpenGroup struct {
	Group spool.Group
	terms.Open
}

// CloseGroup forbids requests on the primary until the next OpenGroup.
type CloseGroup struct {
	Group  spool.Group
	Reason terms.Reason
}

// DrainGroup forbids new requests on the primary and lets running ones finish.
type DrainGroup struct{ Group spool.Group }

// SetFence replaces the fence of a group, which decides what writes may be acknowledged.
type SetFence struct {
	Group spool.Group
	Fence terms.Fence
}

// ProbeServer checks whether this proxy reaches a server; Probed answers it.
type ProbeServer struct {
	To      spool.VM
	Request *wire.ProbeRequest
	Server  spool.ServerSpec
}

// PromoteServer orders a server to open a term.
type PromoteServer struct {
	Group  spool.Group
	Server spool.ServerSpec
	Term   spool.Term
}

// FollowServer orders a server to replicate from the primary of a term.
type FollowServer struct {
	Group   spool.Group
	Server  spool.ServerSpec
	Term    spool.Term
	Primary spool.ServerSpec
}

// DeliverTokens passes the answer of a team's owner to the share.Client of that team on this proxy.
type DeliverTokens struct{ Answer *wire.GrantAnswer }

// SetRoleHolder reports the VM that holds a role now; VM is empty if the holder is unknown.
type SetRoleHolder struct {
	Role lease.Role
	VM   spool.VM
}

// Trust reports whether the manifests in force are recent enough to accept keys: no withdrawal was missed for long.
type Trust struct{ Trusted bool }

// ApplyPolicy applies a snapshot of all manifests.
type ApplyPolicy struct {
	Snapshot *policy.Snapshot
	Change   policy.Change
}

// Topic is the subject of a Note.
type Topic int

// Topics of notes.
const (
	TopicGroupLeaseAcquired Topic = iota
	TopicGroupLeaseLost
	TopicTeamLeaseAcquired
	TopicTeamLeaseLost
	TopicTermStep
	TopicTermOpened
	TopicQuorumChanged
	TopicManifestAccepted
	TopicObjectRejected
	TopicKeyWithdrawn
)

// Note reports a decision for the log and the audit trail; Text of TopicTermStep is a terms.Reason.
type Note struct {
	Topic   Topic
	Group   spool.Group
	Team    spool.Team
	Server  spool.Server
	Partner spool.Partner
	Key     string
	Term    spool.Term
	Version spool.Version
	Text    string
}

func (Send) effect()          {}
func (ReadObjects) effect()   {}
func (WatchObjects) effect()  {}
func (ReadObject) effect()    {}
func (WriteObject) effect()   {}
func (StartLeading) effect()  {}
func (StopLeading) effect()   {}
func (OpenGroup) effect()     {}
func (CloseGroup) effect()    {}
func (DrainGroup) effect()    {}
func (SetFence) effect()      {}
func (ProbeServer) effect()   {}
func (PromoteServer) effect() {}
func (FollowServer) effect()  {}
func (DeliverTokens) effect() {}
func (SetRoleHolder) effect() {}
func (Trust) effect()         {}
func (ApplyPolicy) effect()   {}
func (Note) effect()          {}
