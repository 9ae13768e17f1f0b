package policy

import (
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Refusals of a login.
var (
	refuseKey   = spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeBadKey, Message: "key is unknown or withdrawn"}
	refuseRoute = spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeUnknownRoute, Message: "route does not exist"}
	refuseTeam  = spool.Refusal{
		Verdict: spool.VerdictNotRun,
		Code:    spool.CodeNotAllowed,
		Message: "route does not admit the team of this key",
	}
)

// Authorize finds the key and route of a caller or says why it may not enter; an open route needs no key.
func (snapshot *Snapshot) Authorize(key, route string) (spool.Login, *spool.Refusal) {
	routeSpec, routeFound := snapshot.routes[route]
	if routeFound && routeSpec.Open {
		return spool.Login{Team: routeSpec.Teams[0], Route: routeSpec}, nil
	}
	keySpec, keyFound := snapshot.Key(key)
	if !keyFound {
		return spool.Login{}, copyRefusal(refuseKey)
	}
	if !routeFound {
		return spool.Login{}, copyRefusal(refuseRoute)
	}
	if !slices.Contains(routeSpec.Teams, keySpec.Team) {
		return spool.Login{}, copyRefusal(refuseTeam)
	}
	return spool.Login{Key: keySpec, Team: keySpec.Team, Route: routeSpec, Verifier: keySpec.Verifier}, nil
}

// CheckLogin tells why the session of an earlier login may not go on, or nil if it may.
//
// A session ends when its key is withdrawn or has another verifier or team, and when its route is gone, serves another
// group or no longer admits the team.
func (snapshot *Snapshot) CheckLogin(login spool.Login) *spool.Refusal {
	current, refusal := snapshot.Authorize(login.Key.Name, login.Route.Name)
	if refusal != nil {
		return refusal
	}
	if current.Key != login.Key || current.Team != login.Team {
		return copyRefusal(refuseKey)
	}
	if current.Route.Group != login.Route.Group {
		return copyRefusal(refuseRoute)
	}
	return nil
}

func copyRefusal(refusal spool.Refusal) *spool.Refusal { return &refusal }
