package elect

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

func replica(name spool.Server, number int) Replica {
	received := spool.LogPosition{Term: 1, Number: spool.Position(number)}
	return Replica{Server: name, Seen: true, Status: spool.ReplicaStatus{Term: 1, Received: received}}
}

func acked(number int) spool.LogPosition {
	return spool.LogPosition{Term: 1, Number: spool.Position(number)}
}

func TestChoose(t *testing.T) {
	unseen := Replica{Server: "b"}
	leaving := replica("a", 5)
	leaving.Leaving = true
	near := replica("b", 5)
	near.Near = true
	tests := []struct {
		name      string
		situation Situation
		chosen    spool.Server
		verdict   Verdict
	}{
		{"MostAdvanced", Situation{Replicas: []Replica{replica("a", 5), replica("b", 7)}, SyncReplicas: 1}, "b", Safe},
		{"Equal", Situation{Replicas: []Replica{leaving, replica("b", 5)}, SyncReplicas: 1}, "b", Safe},
		{"Near", Situation{Replicas: []Replica{replica("a", 5), near}, SyncReplicas: 1}, "b", Safe},
		{"Before", Situation{Replicas: []Replica{replica("a", 5), replica("b", 5)}, Before: "b", SyncReplicas: 1}, "b", Safe},
		{"None", Situation{Replicas: []Replica{unseen}, SyncReplicas: 1}, "", NoReplica},
		{"UnseenMayHoldACommit", Situation{Replicas: []Replica{replica("a", 5), unseen}, SyncReplicas: 1}, "", ReplicaUnseen},
		{
			"UnseenButAllTold",
			Situation{Replicas: []Replica{replica("a", 5), unseen}, SyncReplicas: 1, Acked: acked(5), AckedComplete: true},
			"a", Safe,
		},
		{
			"Behind",
			Situation{Replicas: []Replica{replica("a", 5), unseen}, SyncReplicas: 1, Acked: acked(6), AckedComplete: true},
			"", BehindAcked,
		},
		{
			"Unregistered",
			Situation{Replicas: []Replica{replica("a", 5)}, Unsettled: true, SyncReplicas: 1},
			"", ReplicaUnseen,
		},
		{"TwoConfirm", Situation{Replicas: []Replica{replica("a", 5), unseen}, SyncReplicas: 2}, "a", Safe},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chosen, verdict := Choose(test.situation)
			qt.Assert(t, chosen, qt.Equals, test.chosen)
			qt.Assert(t, verdict, qt.Equals, test.verdict)
		})
	}
}

func TestPlannedAvoidsLeavingReplicas(t *testing.T) {
	leaving := replica("a", 9)
	leaving.Leaving = true
	chosen, found := Planned([]Replica{leaving, replica("b", 5)})
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, chosen, qt.Equals, spool.Server("b"))
	_, found = Planned([]Replica{leaving})
	qt.Assert(t, found, qt.IsFalse)
}

// TestFullServerIsNotDead tells a server that refuses for want of room from one that is silent or denies.
func TestFullServerIsNotDead(t *testing.T) {
	c := qt.New(t)
	c.Assert(Testify(nil), qt.Equals, Acts)
	c.Assert(Testify(&spool.Refusal{Code: spool.CodeNoSlot}), qt.Equals, Full)
	c.Assert(Testify(&spool.Refusal{Code: spool.CodeReadOnly}), qt.Equals, Denies)
	c.Assert(Testify(errors.New("connection reset")), qt.Equals, Silent)
}

// TestDead needs most of the live proxies, and leaves a proxy that hears no other one undecided.
func TestDead(t *testing.T) {
	tests := []struct {
		canvass Canvass
		dead    bool
	}{
		{Canvass{Asked: 4, Unreached: 4}, true},
		{Canvass{Asked: 4, Unreached: 2}, true},
		{Canvass{Asked: 4, Unreached: 1}, false},
		{Canvass{Asked: 4, Unreached: 3, Reached: 1}, false},
		{Canvass{}, false},
		{Canvass{Alone: true}, true},
	}
	for _, test := range tests {
		qt.Check(t, test.canvass.Dead(), qt.Equals, test.dead, qt.Commentf("%+v", test.canvass))
	}
}
