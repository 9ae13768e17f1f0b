package elect

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestColdSuccessorIsTheLastChoice guards against a promotion of a server that warms up, whose limit all writes would share, while
// an equally safe one is warm; a cold server that alone holds the newest commit is promoted.
func TestColdSuccessorIsTheLastChoice(t *testing.T) {
	c := qt.New(t)
	at := func(number uint64) spool.ReplicaStatus {
		return spool.ReplicaStatus{Received: spool.LogPosition{Term: 2, Number: spool.Position(number)}}
	}
	candidates := []Candidate{
		{Server: "cold", Responded: true, Status: at(7), Near: true, Cold: true},
		{Server: "warm", Responded: true, Status: at(7)},
	}
	chosen, found := ChooseSwitchover(candidates)
	c.Assert(found, qt.IsTrue)
	c.Assert(chosen, qt.Equals, spool.Server("warm"))
	candidates[0].Status = at(8)
	chosen, _ = ChooseFailover(FailoverState{Candidates: candidates, SyncReplicas: 1})
	c.Assert(chosen, qt.Equals, spool.Server("cold"))
}
