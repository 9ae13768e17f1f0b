package lease

import (
	"encoding/json"
	"fmt"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// QuorumName names the platform's only object of kind spool.KindQuorum.
const QuorumName = "fleet"

// Quorum lists the witnesses of all leases; Version is that of the platform's object.
type Quorum struct {
	Version  spool.Version `json:"-"`
	Base     spool.Version // version of the last unchanging quorum before this one
	Members  []spool.VM
	Next     []spool.VM // members once the change is complete
	Changing bool
}

// Majority returns how many members make a majority.
func (quorum Quorum) Majority() int { return len(quorum.Members)/2 + 1 }

// Contains tells whether vm is a member.
func (quorum Quorum) Contains(vm spool.VM) bool { return slices.Contains(quorum.Members, vm) }

// unchanging returns the quorum whose members vote, or voted before the change began.
func (quorum Quorum) unchanging() Quorum {
	if !quorum.Changing {
		return quorum
	}
	return Quorum{Version: quorum.Base, Members: quorum.Members}
}

// ParseQuorum reads the platform's quorum object and fails on a body of another form.
func ParseQuorum(object spool.Object) (Quorum, error) {
	var quorum Quorum
	if err := json.Unmarshal(object.Body, &quorum); err != nil {
		return Quorum{}, fmt.Errorf("quorum of version %d: %w", object.Version, err)
	}
	quorum.Version = object.Version
	return quorum, nil
}

// Object returns the platform's object of the quorum, to be written if the stored version equals expected.
func (quorum Quorum) Object(expected spool.Version) spool.Object {
	body, err := json.Marshal(quorum)
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: spool.KindQuorum, Name: QuorumName, Version: expected, Body: body}
}
