package elect

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func replica(name spool.Server, number int) Candidate {
	received := spool.LogPosition{Term: 1, Number: spool.Position(number)}
	return Candidate{Server: name, Responded: true, Status: spool.ReplicaStatus{Term: 1, Received: received}}
}

func acked(number int) spool.LogPosition {
	return spool.LogPosition{Term: 1, Number: spool.Position(number)}
}

func TestChoose(t *testing.T) {
	unseen := Candidate{Server: "b"}
	leaving := replica("a", 5)
	leaving.Leaving = true
	near := replica("b", 5)
	near.Near = true
	tests := []struct {
		name      string
		situation FailoverState
		chosen    spool.Server
		verdict   Decision
	}{
		{"MostAdvanced", FailoverState{Candidates: []Candidate{replica("a", 5), replica("b", 7)}, SyncReplicas: 1}, "b", Safe},
		{"Equal", FailoverState{Candidates: []Candidate{leaving, replica("b", 5)}, SyncReplicas: 1}, "b", Safe},
		{"Near", FailoverState{Candidates: []Candidate{replica("a", 5), near}, SyncReplicas: 1}, "b", Safe},
		{"Before", FailoverState{Candidates: []Candidate{replica("a", 5), replica("b", 5)}, Preferred: "b", SyncReplicas: 1}, "b", Safe},
		{"None", FailoverState{Candidates: []Candidate{unseen}, SyncReplicas: 1}, "", NoReplica},
		{"UnseenMayHoldACommit", FailoverState{Candidates: []Candidate{replica("a", 5), unseen}, SyncReplicas: 1}, "", ReplicaUnreachable},
		{
			"UnseenButAllTold",
			FailoverState{Candidates: []Candidate{replica("a", 5), unseen}, SyncReplicas: 1, Acked: acked(5), AckedComplete: true},
			"a", Safe,
		},
		{
			"Behind",
			FailoverState{Candidates: []Candidate{replica("a", 5), unseen}, SyncReplicas: 1, Acked: acked(6), AckedComplete: true},
			"", BehindAcked,
		},
		{
			"Unregistered",
			FailoverState{Candidates: []Candidate{replica("a", 5)}, RegistryIncomplete: true, SyncReplicas: 1},
			"", ReplicaUnreachable,
		},
		{"TwoConfirm", FailoverState{Candidates: []Candidate{replica("a", 5), unseen}, SyncReplicas: 2}, "a", Safe},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chosen, verdict := ChooseFailover(test.situation)
			qt.Assert(t, chosen, qt.Equals, test.chosen)
			qt.Assert(t, verdict, qt.Equals, test.verdict)
		})
	}
}

func TestPlannedAvoidsLeavingReplicas(t *testing.T) {
	leaving := replica("a", 9)
	leaving.Leaving = true
	chosen, found := ChooseSwitchover([]Candidate{leaving, replica("b", 5)})
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, chosen, qt.Equals, spool.Server("b"))
	_, found = ChooseSwitchover([]Candidate{leaving})
	qt.Assert(t, found, qt.IsFalse)
}

// TestFullServerIsNotDead tells a server that refuses for want of room from one that is silent or denies.
func TestFullServerIsNotDead(t *testing.T) {
	c := qt.New(t)
	c.Assert(ClassifyProbe(nil), qt.Equals, ActsAsPrimary)
	c.Assert(ClassifyProbe(&spool.Refusal{Code: spool.CodeNoSlot}), qt.Equals, Overloaded)
	c.Assert(ClassifyProbe(&spool.Refusal{Code: spool.CodeReadOnly}), qt.Equals, NotPrimary)
	c.Assert(ClassifyProbe(errors.New("connection reset")), qt.Equals, Unreachable)
}

// TestDead needs most of the live proxies, and leaves a proxy that hears no other one undecided.
func TestDead(t *testing.T) {
	tests := []struct {
		canvass PeerPoll
		dead    bool
	}{
		{PeerPoll{Asked: 4, Unreached: 4}, true},
		{PeerPoll{Asked: 4, Unreached: 2}, true},
		{PeerPoll{Asked: 4, Unreached: 1}, false},
		{PeerPoll{Asked: 4, Unreached: 3, Reached: 1}, false},
		{PeerPoll{}, false},
		{PeerPoll{NoPeers: true}, true},
	}
	for _, test := range tests {
		qt.Check(t, test.canvass.ConfirmsFailure(), qt.Equals, test.dead, qt.Commentf("%+v", test.canvass))
	}
}
