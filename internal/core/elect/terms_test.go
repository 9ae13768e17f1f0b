package elect

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// replicaOf returns the status of a replica that follows a term and has received the commits of term 1 up to a number.
func replicaOf(term spool.Term, number int) spool.ReplicaStatus {
	return spool.ReplicaStatus{Term: term, Received: ackedAt(number)}
}

// TestDeposedPrimaryIsNotAheadOfItsSuccessorsReplica guards against the promotion of a deposed primary that has not heard of the
// newest term: what it holds beyond the start of that term was given up, and it receives none of the commits since.
func TestDeposedPrimaryIsNotAheadOfItsSuccessorsReplica(t *testing.T) {
	c := qt.New(t)
	candidates := []Candidate{
		{Server: "deposed", Responded: true, Status: replicaOf(1, 317)}, {Server: "replica", Responded: true, Status: replicaOf(2, 305)},
	}
	chosen, _ := ChooseSwitchover(candidates)
	c.Check(chosen, qt.Equals, spool.Server("replica"))
	chosen, decision := ChooseFailover(FailoverState{Candidates: candidates, SyncReplicas: 1, Acked: ackedAt(305), AckedBound: ackedAt(305), AckedComplete: true})
	c.Check(chosen, qt.Equals, spool.Server("replica"))
	c.Check(decision, qt.Equals, Safe)
}

// TestReplicaOfTheNewestTermMayLackItsStart guards against the loss of commits of the term before: a replica that follows the newest
// term, but has not received what its primary began with, lacks commits that the deposed primary holds.
func TestReplicaOfTheNewestTermMayLackItsStart(t *testing.T) {
	c := qt.New(t)
	state := FailoverState{SyncReplicas: 1, Candidates: []Candidate{
		{Server: "deposed", Responded: true, Status: replicaOf(1, 317)}, {Server: "replica", Responded: true, Status: replicaOf(2, 290)},
	}}
	chosen, _ := ChooseFailover(state)
	c.Check(chosen, qt.Equals, spool.Server("deposed"))
	state.AckedComplete, state.AckedBound = true, ackedAt(290)
	chosen, _ = ChooseFailover(state)
	c.Check(chosen, qt.Equals, spool.Server("replica"))
}

// TestHandoverComparesTermsBeforePositions guards against the replacement of a working primary by a server that receives nothing of
// it, and against a handover that never ends because a deposed primary holds commits that were given up.
func TestHandoverComparesTermsBeforePositions(t *testing.T) {
	primary := spool.ReplicaStatus{Primary: true, Term: 2, Received: ackedAt(305)}
	paused := func(status spool.ReplicaStatus) spool.ReplicaStatus {
		status.PausedTerm = 3
		return status
	}
	tests := []struct {
		name          string
		primary       *spool.ReplicaStatus // nil if it does not answer
		chosen, other spool.ReplicaStatus
		closed        bool
		step          Step
		decision      Decision
	}{
		{"chosen is deposed", &primary, replicaOf(1, 317), paused(replicaOf(2, 305)), false, StepWait, NotFollowing},
		{"chosen is deposed, commits closed", &primary, replicaOf(1, 317), paused(replicaOf(2, 305)), true, StepPromote, Safe},
		{"other is deposed", &primary, replicaOf(2, 305), paused(replicaOf(1, 317)), false, StepPromote, Safe},
		{"other is deposed, start missing", &primary, replicaOf(2, 290), paused(replicaOf(1, 317)), false, StepWait, ReplicaUnreachable},
		{"other is deposed, primary does not answer", nil, replicaOf(2, 305), paused(replicaOf(1, 317)), false, StepWait, ReplicaUnreachable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handover := Handover{
				Cause: CauseStalled, Primary: "primary", Chosen: "chosen", PauseTerm: 3, SyncReplicas: 1, RegistryRead: true, TokenUsable: true,
				AckedBound: ackedAt(305), CommitsClosed: test.closed,
				Reports: []ServerReport{
					{Server: "primary"}, {Server: "chosen", Answered: true, Status: test.chosen}, {Server: "other", Answered: true, Status: test.other},
				},
			}
			if test.primary != nil {
				handover.Reports[0] = ServerReport{Server: "primary", Answered: true, Status: *test.primary}
			}
			step, decision := handover.Next()
			qt.Check(t, step, qt.Equals, test.step)
			qt.Check(t, decision, qt.Equals, test.decision)
		})
	}
}

// TestCommitsDoNotWaitForAServerThatReceivesNothing guards against writes that stop for a planned handover: commits are closed only
// once the chosen server receives what the primary commits.
func TestCommitsDoNotWaitForAServerThatReceivesNothing(t *testing.T) {
	before := ackedAt(305)
	for name, test := range map[string]struct {
		chosen   spool.ReplicaStatus
		before   *spool.LogPosition
		decision Decision
	}{
		"first round":             {replicaOf(2, 305), nil, NotCaughtUp},
		"receives nothing":        {replicaOf(2, 304), &before, NotCaughtUp},
		"follows another primary": {replicaOf(1, 317), &before, NotCaughtUp},
		"receives what was held":  {replicaOf(2, 305), &before, CommitsOpen},
	} {
		handover := Handover{
			Cause: CausePlanned, Primary: "primary", Chosen: "chosen", PauseTerm: 3, SyncReplicas: 1, RegistryRead: true, TokenUsable: true,
			Before: test.before, Reports: []ServerReport{
				{Server: "primary", Answered: true, Status: spool.ReplicaStatus{Primary: true, Term: 2, Received: ackedAt(309)}},
				{Server: "chosen", Answered: true, Status: test.chosen},
			},
		}
		step, decision := handover.Next()
		qt.Check(t, step, qt.Equals, StepWait)
		qt.Check(t, decision, qt.Equals, test.decision, qt.Commentf(name))
	}
}
