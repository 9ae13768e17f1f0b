package core

import (
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Effect is something that a Core asks its shell to do.
type Effect interface{ effect() }

// Send asks to send a control message, which may get lost.
type Send struct {
	To       spool.VM
	Envelope *wire.Envelope
}

// ReadObjects asks to list kinds of objects one after the other, in this order.
type ReadObjects struct{ Kinds []string }

// WatchObjects asks to watch the platform, or to stop watching it.
type WatchObjects struct {
	Watch bool
	After spool.Version
}

// ReadObject asks to read one object.
type ReadObject struct{ Kind, Name string }

// WriteObject asks for a conditional update.
type WriteObject struct {
	Object spool.Object
	Nonce  uint64
}

// KeepGroup tells that this proxy became the leader of a group: its servers are to be polled.
type KeepGroup struct{ Group spool.GroupSpec }

// DropGroup tells that this proxy is the leader of a group no longer.
type DropGroup struct{ Group spool.Group }

// OpenGroup tells that requests may run on the primary of a term.
type OpenGroup struct {
	Group spool.Group
	terms.Open
}

// CloseGroup tells that no request may run on the primary until the next OpenGroup.
type CloseGroup struct {
	Group  spool.Group
	Reason terms.Reason
}

// DrainGroup tells that no new request may begin on the primary, while those that run may end.
type DrainGroup struct{ Group spool.Group }

// FenceGroup replaces the acknowledgement rule of a group.
type FenceGroup struct {
	Group spool.Group
	Fence terms.Fence
}

// ProbeServer asks whether this proxy reaches a server; Probed answers it.
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

// GiveTokens brings the owner's answer to this proxy's client of a team's rate.
type GiveTokens struct{ Answer *wire.GrantAnswer }

// MoveRole tells which VM holds a role now; it is empty if none is known to.
type MoveRole struct {
	Role lease.Role
	VM   spool.VM
}

// Trust tells whether the manifests in force can be relied on: no withdrawal of a key can have been missed for long.
type Trust struct{ Trusted bool }

// ApplyPolicy puts a snapshot of all manifests in force.
type ApplyPolicy struct {
	Snapshot *policy.Snapshot
	Change   policy.Change
}

// Topic says what a Note is about.
type Topic int

// Topics of notes.
const (
	TopicLeaderTaken Topic = iota
	TopicLeaderLost
	TopicOwnerTaken
	TopicOwnerLost
	TopicTerm
	TopicTermOpened
	TopicQuorum
	TopicAccepted
	TopicRejected
	TopicWithdrawn
)

// Note tells of a decision for the log and the audit trail; Text of TopicTerm is a terms.Reason.
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
func (KeepGroup) effect()     {}
func (DropGroup) effect()     {}
func (OpenGroup) effect()     {}
func (CloseGroup) effect()    {}
func (DrainGroup) effect()    {}
func (FenceGroup) effect()    {}
func (ProbeServer) effect()   {}
func (PromoteServer) effect() {}
func (FollowServer) effect()  {}
func (GiveTokens) effect()    {}
func (MoveRole) effect()      {}
func (Trust) effect()         {}
func (ApplyPolicy) effect()   {}
func (Note) effect()          {}
