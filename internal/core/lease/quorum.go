package lease

import (
	"encoding/json"
	"fmt"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// QuorumName names the platform's only object of kind spool.KindQuorum.
const QuorumName = "fleet"

// Quorum lists the witnesses of all leases; Version is the version of its object on the platform.
type Quorum struct {
	Version  spool.Version `json:"-"`
	Base     spool.Version // version of the last quorum before this one that was not changing
	Members  []spool.VM
	Next     []spool.VM // members once the change is complete
	Changing bool
}

// Majority returns how many members make a majority.
func (quorum Quorum) Majority() int { return len(quorum.Members)/2 + 1 }

// Contains reports whether vm is a member.
func (quorum Quorum) Contains(vm spool.VM) bool { return slices.Contains(quorum.Members, vm) }

// stable returns the quorum itself, or the one that was in force before its change began.
func (quorum Quorum) stable() Quorum {
	if !quorum.Changing {
		return quorum
	}
	return Quorum{Version: quorum.Base, Members: quorum.Members}
}

// ParseQuorum decodes the platform's quorum object; it returns an error if the body is not valid JSON of a quorum.
func ParseQuorum(object spool.Object) (Quorum, error) {
	var quorum Quorum
	if err := json.Unmarshal(object.Body, &quorum); err != nil {
		return Quorum{}, fmt.Errorf("quorum of version %d: %w", object.Version, err)
	}
	quorum.Version = object.Version
	return quorum, nil
}

// Object returns the platform object for a write of the quorum that succeeds only if the stored version equals expected.
func (quorum Quorum) Object(expected spool.Version) spool.Object {
	body, err := json.Marshal(quorum)
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: spool.KindQuorum, Name: QuorumName, Version: expected, Body: body}
}
