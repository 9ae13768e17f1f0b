package policy

import (
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Refusals of Authorize and CheckLogin.
var (
	keyRefusal   = spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeBadKey, Message: "key is unknown or withdrawn"}
	routeRefusal = spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeUnknownRoute, Message: "route does not exist"}
	teamRefusal  = spool.Refusal{
		Verdict: spool.VerdictNotRun,
		Code:    spool.CodeNotAllowed,
		Message: "route does not admit the team of this key",
	}
)

// Authorize returns the login of a caller with a key on a route, or the reason for refusing it; an open route needs no
// key.
func (snapshot *Snapshot) Authorize(key, route string) (spool.Login, *spool.Refusal) {
	routeSpec, routeFound := snapshot.routes[route]
	if routeFound && routeSpec.Open {
		return spool.Login{Team: routeSpec.Teams[0], Route: routeSpec}, nil
	}
	keySpec, keyFound := snapshot.Key(key)
	if !keyFound {
		return spool.Login{}, copyRefusal(keyRefusal)
	}
	if !routeFound {
		return spool.Login{}, copyRefusal(routeRefusal)
	}
	if !slices.Contains(routeSpec.Teams, keySpec.Team) {
		return spool.Login{}, copyRefusal(teamRefusal)
	}
	return spool.Login{Key: keySpec, Team: keySpec.Team, Route: routeSpec, Verifier: keySpec.Verifier}, nil
}

// CheckLogin returns the reason why the session of an earlier login must end, or nil if it may continue.
//
// A session ends when its key is withdrawn or has another verifier or team, or when its route is removed, uses another
// group or no longer admits the team.
func (snapshot *Snapshot) CheckLogin(login spool.Login) *spool.Refusal {
	current, refusal := snapshot.Authorize(login.Key.Name, login.Route.Name)
	if refusal != nil {
		return refusal
	}
	if current.Key != login.Key || current.Team != login.Team {
		return copyRefusal(keyRefusal)
	}
	if current.Route.Group != login.Route.Group {
		return copyRefusal(routeRefusal)
	}
	return nil
}

func copyRefusal(refusal spool.Refusal) *spool.Refusal { return &refusal }
