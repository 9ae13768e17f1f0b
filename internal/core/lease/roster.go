package lease

import (
	"encoding/json"
	"fmt"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// RosterName names the platform's only object of kind spool.KindRoster.
const RosterName = "fleet"

// Roster lists the witnesses of all leases; Version is that of the platform's object.
type Roster struct {
	Version  spool.Version `json:"-"`
	Base     spool.Version // version of the last unchanging roster before this one
	Members  []spool.VM
	Next     []spool.VM // members once the change is complete
	Changing bool
}

// Majority returns how many members make a majority.
func (roster Roster) Majority() int { return len(roster.Members)/2 + 1 }

// Contains tells whether vm is a member.
func (roster Roster) Contains(vm spool.VM) bool { return slices.Contains(roster.Members, vm) }

// unchanging returns the roster whose members pledge, or pledged before the change began.
func (roster Roster) unchanging() Roster {
	if !roster.Changing {
		return roster
	}
	return Roster{Version: roster.Base, Members: roster.Members}
}

// ParseRoster reads the platform's roster object and fails on a body of another form.
func ParseRoster(object spool.Object) (Roster, error) {
	var roster Roster
	if err := json.Unmarshal(object.Body, &roster); err != nil {
		return Roster{}, fmt.Errorf("roster of version %d: %w", object.Version, err)
	}
	roster.Version = object.Version
	return roster, nil
}

// Object returns the platform's object of the roster, to be written if the stored version equals expected.
func (roster Roster) Object(expected spool.Version) spool.Object {
	body, err := json.Marshal(roster)
	if err != nil {
		panic(err)
	}
	return spool.Object{Kind: spool.KindRoster, Name: RosterName, Version: expected, Body: body}
}
