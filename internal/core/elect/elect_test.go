package elect

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func newCandidate(name spool.Server, number int) Candidate {
	received := spool.LogPosition{Term: 1, Number: spool.Position(number)}
	return Candidate{Server: name, Responded: true, Status: spool.ReplicaStatus{Term: 1, Received: received}}
}

func ackedAt(number int) spool.LogPosition {
	return spool.LogPosition{Term: 1, Number: spool.Position(number)}
}

func TestChooseFailover(t *testing.T) {
	unreachable := Candidate{Server: "b"}
	leaving := newCandidate("a", 5)
	leaving.Leaving = true
	near := newCandidate("b", 5)
	near.Near = true
	ordered := newCandidate("b", 5)
	ordered.Ordered = true
	tests := []struct {
		name     string
		state    FailoverState
		chosen   spool.Server
		decision Decision
	}{
		{"MostAdvanced", FailoverState{Candidates: []Candidate{newCandidate("a", 5), newCandidate("b", 7)}, SyncReplicas: 1}, "b", Safe},
		{"Equal", FailoverState{Candidates: []Candidate{leaving, newCandidate("b", 5)}, SyncReplicas: 1}, "b", Safe},
		{"Near", FailoverState{Candidates: []Candidate{newCandidate("a", 5), near}, SyncReplicas: 1}, "b", Safe},
		{"Ordered", FailoverState{Candidates: []Candidate{newCandidate("a", 5), ordered}, SyncReplicas: 1}, "b", Safe},
		{"None", FailoverState{Candidates: []Candidate{unreachable}, SyncReplicas: 1}, "", NoReplica},
		{"UnreachableMayHoldACommit", FailoverState{Candidates: []Candidate{newCandidate("a", 5), unreachable}, SyncReplicas: 1}, "", ReplicaUnreachable},
		{
			"UnreachableButAllProxiesAnswered",
			FailoverState{Candidates: []Candidate{newCandidate("a", 5), unreachable}, SyncReplicas: 1, Acked: ackedAt(5), AckedComplete: true},
			"a", Safe,
		},
		{
			"Behind",
			FailoverState{Candidates: []Candidate{newCandidate("a", 5), unreachable}, SyncReplicas: 1, Acked: ackedAt(6), AckedComplete: true},
			"", BehindAcked,
		},
		{
			"Unregistered",
			FailoverState{Candidates: []Candidate{newCandidate("a", 5)}, RegistryIncomplete: true, SyncReplicas: 1},
			"", ReplicaUnreachable,
		},
		{"TwoConfirm", FailoverState{Candidates: []Candidate{newCandidate("a", 5), unreachable}, SyncReplicas: 2}, "a", Safe},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chosen, decision := ChooseFailover(test.state)
			qt.Assert(t, chosen, qt.Equals, test.chosen)
			qt.Assert(t, decision, qt.Equals, test.decision)
		})
	}
}

func TestSwitchoverAvoidsLeavingReplicas(t *testing.T) {
	leaving := newCandidate("a", 9)
	leaving.Leaving = true
	chosen, found := ChooseSwitchover([]Candidate{leaving, newCandidate("b", 5)})
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, chosen, qt.Equals, spool.Server("b"))
	_, found = ChooseSwitchover([]Candidate{leaving})
	qt.Assert(t, found, qt.IsFalse)
}

// TestSwitchoverKeepsToTheServerOrderedEarlier guards against pausing a server that an earlier request may still promote: it would
// lack the commits since then.
func TestSwitchoverKeepsToTheServerOrderedEarlier(t *testing.T) {
	ordered := newCandidate("b", 5)
	ordered.Ordered = true
	chosen, _ := ChooseSwitchover([]Candidate{newCandidate("a", 7), ordered, newCandidate("c", 6)})
	qt.Assert(t, chosen, qt.Equals, spool.Server("b"))
	ordered.Responded = false
	chosen, _ = ChooseSwitchover([]Candidate{newCandidate("a", 7), ordered, newCandidate("c", 6)})
	qt.Assert(t, chosen, qt.Equals, spool.Server("a"))
}

// TestOverloadedServerIsNotUnreachable distinguishes a server that rejects a probe for lack of capacity from one that is
// unreachable or not the primary.
func TestOverloadedServerIsNotUnreachable(t *testing.T) {
	c := qt.New(t)
	c.Assert(ClassifyProbe(nil), qt.Equals, ActsAsPrimary)
	c.Assert(ClassifyProbe(&spool.Refusal{Code: spool.CodeNoSlot}), qt.Equals, Overloaded)
	c.Assert(ClassifyProbe(&spool.Refusal{Code: spool.CodeReadOnly}), qt.Equals, NotPrimary)
	c.Assert(ClassifyProbe(errors.New("connection reset")), qt.Equals, Unreachable)
}

// TestConfirmsFailure requires half of the polled proxies; a proxy that reaches no other one does not confirm a failure
// while others are registered.
func TestConfirmsFailure(t *testing.T) {
	tests := []struct {
		poll   PeerPoll
		failed bool
	}{
		{PeerPoll{Asked: 4, Unreached: 4}, true},
		{PeerPoll{Asked: 4, Unreached: 2}, true},
		{PeerPoll{Asked: 4, Unreached: 1}, false},
		{PeerPoll{Asked: 4, Unreached: 3, Reached: 1}, false},
		{PeerPoll{}, false},
		{PeerPoll{NoPeers: true}, true},
	}
	for _, test := range tests {
		qt.Check(t, test.poll.ConfirmsFailure(), qt.Equals, test.failed, qt.Commentf("%+v", test.poll))
	}
}
