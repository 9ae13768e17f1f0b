package lease

import (
	"strings"

	"corianderspool.example/spool/pkg/spool"
)

// Role is the name of a lease: Group/<group> or Team/<team>.
type Role string

const (
	groupPrefix = "Group/"
	teamPrefix  = "Team/"
)

// GroupRole returns the role of a group's leader.
func GroupRole(group spool.Group) Role { return Role(groupPrefix + string(group)) }

// TeamRole returns the role of the owner of a team's rate limit.
func TeamRole(team spool.Team) Role { return Role(teamPrefix + string(team)) }

// Group returns the group whose leader the role denotes and whether it denotes one.
func (role Role) Group() (spool.Group, bool) {
	name, ok := strings.CutPrefix(string(role), groupPrefix)
	return spool.Group(name), ok
}

// Team returns the team whose owner the role denotes and whether it denotes one.
func (role Role) Team() (spool.Team, bool) {
	name, ok := strings.CutPrefix(string(role), teamPrefix)
	return spool.Team(name), ok
}
