package elect

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func evacuatedCandidate(name spool.Server, number int) Candidate {
	candidate := newCandidate(name, number)
	candidate.Evacuated = true
	return candidate
}

func homeCandidate(name spool.Server, number, routes int) Candidate {
	candidate := newCandidate(name, number)
	candidate.HomeRoutes = routes
	return candidate
}

// TestEvacuatedServerIsNotPromoted includes an evacuated server with the longest log, which may alone hold an acknowledged
// commit: then the choice needs the acknowledged positions of all proxies.
func TestEvacuatedServerIsNotPromoted(t *testing.T) {
	ahead := []Candidate{evacuatedCandidate("a", 7), newCandidate("b", 5)}
	for _, row := range []struct {
		name     string
		state    FailoverState
		chosen   spool.Server
		decision Decision
	}{
		{"OnlyEvacuated", FailoverState{Candidates: []Candidate{evacuatedCandidate("a", 5)}, SyncReplicas: 1}, "", NoReplica},
		{"Equal", FailoverState{Candidates: []Candidate{evacuatedCandidate("a", 5), newCandidate("b", 5)}, SyncReplicas: 1}, "b", Safe},
		{"Ahead", FailoverState{Candidates: ahead, SyncReplicas: 1}, "", ReplicaUnreachable},
		{"AheadAllAnswered", FailoverState{Candidates: ahead, SyncReplicas: 1, Acked: ackedAt(5), AckedComplete: true}, "b", Safe},
		{"AheadWithCommit", FailoverState{Candidates: ahead, SyncReplicas: 1, Acked: ackedAt(7), AckedComplete: true}, "", BehindAcked},
	} {
		chosen, decision := ChooseFailover(row.state)
		qt.Check(t, chosen, qt.Equals, row.chosen, qt.Commentf(row.name))
		qt.Check(t, decision, qt.Equals, row.decision, qt.Commentf(row.name))
	}
	chosen, found := ChooseSwitchover(ahead)
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, chosen, qt.Equals, spool.Server("b"))
	_, found = ChooseSwitchover(ahead[:1])
	qt.Check(t, found, qt.IsFalse)
}

func TestSuccessorInHomeRegionsIsPreferred(t *testing.T) {
	near := newCandidate("a", 5)
	near.Near = true
	chosen, _ := ChooseFailover(FailoverState{Candidates: []Candidate{near, homeCandidate("b", 5, 2), homeCandidate("c", 5, 1)}, SyncReplicas: 1})
	qt.Check(t, chosen, qt.Equals, spool.Server("b"))
	chosen, _ = ChooseFailover(FailoverState{Candidates: []Candidate{newCandidate("a", 6), homeCandidate("b", 5, 2)}, SyncReplicas: 1})
	qt.Check(t, chosen, qt.Equals, spool.Server("a"))
	chosen, _ = ChooseSwitchover([]Candidate{near, homeCandidate("b", 5, 1)})
	qt.Check(t, chosen, qt.Equals, spool.Server("b"))
}
