package elect

import "corianderspool.example/spool/pkg/spool"

// Cause is why a primary is replaced.
type Cause int

// Causes of a handover.
const (
	CausePlanned     Cause = iota // the primary works and is about to leave
	CauseUnreachable              // no proxy reaches the primary
	CauseStalled                  // the primary answers but completes no commit
	CauseRetired                  // the primary has been leaving for so long that it is sent no new work
	CauseEvacuated                // the primary's failure domain is evacuated, so that it is sent nothing
	CauseOrdered                  // the primary works, but an earlier request may still promote the chosen server
	CauseConfirmed                // the primary works and is chosen itself, to fence an earlier request for a server that cannot take over
)

// PrimaryWorks reports whether the primary serves callers meanwhile.
func (cause Cause) PrimaryWorks() bool {
	return cause == CausePlanned || cause == CauseOrdered || cause == CauseConfirmed
}

// PausesReplicas reports whether the replicas that are not promoted are paused.
func (cause Cause) PausesReplicas() bool { return cause != CausePlanned && cause != CauseConfirmed }

// ServerReport is what a server said of itself when it was last asked.
type ServerReport struct {
	Server    spool.Server
	Answered  bool
	Status    spool.ReplicaStatus
	Evacuated bool // in an evacuated failure domain, so never promoted
}

// Handover is the known state of a group while one of its servers is about to be promoted.
type Handover struct {
	Cause         Cause
	Primary       spool.Server       // that is replaced; empty if none is known
	Chosen        spool.Server       // that is promoted
	PauseTerm     spool.Term         // term in which the other replicas are paused, above the newest one at the start
	SyncReplicas  int                // replicas that confirm a commit before it is acknowledged
	Reports       []ServerReport     // of all servers that were registered when they were last asked
	RegistryRead  bool               // the registry was read from the store for the reports and lists all running servers
	Before        *spool.LogPosition // that the primary told in the round before; nil if there was none or it did not answer
	Acked         spool.LogPosition  // newest position known to have been acknowledged by any proxy
	AckedBound    spool.LogPosition  // at or above every commit that any proxy acknowledged before, if CommitsClosed
	CommitsClosed bool               // until the promotion is complete no proxy acknowledges commits that the chosen server lacks
	TokenUsable   bool               // no later holder of a fencing token acts yet
}

// Step is what a supervisor does next in a handover.
type Step int

// Steps of a handover.
const (
	StepWait    Step = iota // ask the servers again
	StepPromote             // request the promotion
	StepGiveUp              // resume the replicas and start again later
)

// EndsWithClosure reports whether the reason to wait ends once no proxy acknowledges commits of the primary any more.
func (decision Decision) EndsWithClosure() bool {
	return decision == CommitsOpen || decision == ReplicaUnreachable || decision == NotFollowing
}

// IsChosenBehind reports whether the reason to wait is that the chosen server does not answer or receives nothing.
func (decision Decision) IsChosenBehind() bool {
	switch decision {
	case NoReplica, NotCaughtUp, NotFollowing, BehindAcked:
		return true
	}
	return false
}

// Next returns the next step and its reason. A promotion is requested only if every commit that was or will be acknowledged
// before it takes effect is on the chosen server: the proxies acknowledge none that it lacks. If not all proxies can be told that and
// the primary does not work, it is enough that the servers which could confirm one without it are too few; a server can confirm one
// unless its own answer shows that it is paused.
func (handover *Handover) Next() (Step, Decision) {
	switch {
	case !handover.TokenUsable:
		return StepGiveUp, TokenExpired
	case handover.superseded():
		return StepGiveUp, Superseded
	case handover.Cause == CauseUnreachable && !handover.CommitsClosed && handover.primaryAnswers():
		return StepGiveUp, PrimaryAnswers
	}
	chosen := handover.report(handover.Chosen)
	if chosen == nil || chosen.Evacuated {
		return StepGiveUp, NoReplica
	}
	if !chosen.Answered {
		return StepWait, NoReplica
	}
	received := chosen.Status.Received
	switch behind := received.Less(handover.Acked) || handover.CommitsClosed && received.Less(handover.AckedBound); {
	case handover.Cause == CausePlanned && !handover.CommitsClosed && !handover.keepsUp(chosen):
		return StepWait, NotCaughtUp
	case handover.Cause.PrimaryWorks() && !handover.CommitsClosed:
		return StepWait, CommitsOpen
	case behind:
		return handover.stepIfBehind(), BehindAcked
	case handover.Cause.PrimaryWorks():
		return StepPromote, Safe
	}
	newest, independent := handover.others(chosen.Status)
	switch {
	case received.Less(newest):
		return handover.stepIfBehind(), NotCaughtUp
	case handover.CommitsClosed, handover.follows(chosen) && independent < max(1, handover.SyncReplicas):
		return StepPromote, Safe
	case !handover.follows(chosen):
		return StepWait, NotFollowing
	}
	return StepWait, ReplicaUnreachable
}

// keepsUp reports whether the chosen server has received what the primary held in the round before, so that commits do not wait for
// long until it has them.
func (handover *Handover) keepsUp(chosen *ServerReport) bool {
	if handover.leader() == nil {
		return true
	}
	return handover.follows(chosen) && handover.Before != nil && !chosen.Status.Received.Less(*handover.Before)
}

// PrimaryPosition returns the position that the primary told in this round, or nil if it did not answer as such.
func (handover *Handover) PrimaryPosition() *spool.LogPosition {
	if leader := handover.leader(); leader != nil {
		return &leader.Status.Received
	}
	return nil
}

// superseded reports whether a promotion took effect that this handover does not know.
func (handover *Handover) superseded() bool {
	for _, report := range handover.Reports {
		if !report.Answered {
			continue
		}
		leads := report.Server == handover.Primary
		if report.Status.Primary != leads || report.Status.Term >= handover.PauseTerm {
			return true
		}
	}
	return false
}

// primaryAnswers reports whether the primary acts as such.
func (handover *Handover) primaryAnswers() bool {
	primary := handover.report(handover.Primary)
	return primary != nil && primary.Answered && primary.Status.Primary
}

func (handover *Handover) report(server spool.Server) *ServerReport {
	for i := range handover.Reports {
		if handover.Reports[i].Server == server {
			return &handover.Reports[i]
		}
	}
	return nil
}

// leader returns what the primary said if it answered as such, else nil.
func (handover *Handover) leader() *ServerReport {
	if !handover.primaryAnswers() {
		return nil
	}
	return handover.report(handover.Primary)
}

// follows reports whether a server follows the term of the primary, if that answered. One that does not has none of its commits and
// may receive none until the promotion takes effect.
func (handover *Handover) follows(server *ServerReport) bool {
	leader := handover.leader()
	return leader == nil || server.Status.Term >= leader.Status.Term
}

// retained returns the newest position of a replica that no promotion has given up, as far as known: a replica that does not follow
// the primary's term shares at most the log that the primary has.
func (handover *Handover) retained(replica *ServerReport) spool.LogPosition {
	leader := handover.leader()
	if leader == nil || handover.follows(replica) || replica.Status.Received.Less(leader.Status.Received) {
		return replica.Status.Received
	}
	return leader.Status.Received
}

// others returns the newest position that the replicas except the chosen one have received, and how many servers may confirm
// a commit that the chosen one lacks. One that stays ahead of the chosen one counts among them if it is never promoted, or follows
// an older term, so that what it has beyond the chosen one may have been given up.
func (handover *Handover) others(chosen spool.ReplicaStatus) (newest spool.LogPosition, independent int) {
	if !handover.RegistryRead {
		independent++
	}
	for i := range handover.Reports {
		report := &handover.Reports[i]
		if report.Server == handover.Primary || report.Server == handover.Chosen {
			continue
		}
		if !report.Answered {
			independent++
			continue
		}
		received := handover.retained(report)
		neverPromoted := report.Evacuated && handover.Cause != CausePlanned || report.Status.Term < chosen.Term
		if chosen.Received.Less(received) && neverPromoted {
			independent++
			continue
		}
		if report.Status.PausedTerm < handover.PauseTerm {
			independent++
		}
		newest = newest.Max(received)
	}
	return newest, independent
}

// stepIfBehind returns the step for a chosen server that lacks commits: while the primary works, it receives them soon.
func (handover *Handover) stepIfBehind() Step {
	if handover.Cause == CauseUnreachable || handover.Cause == CauseStalled {
		return StepGiveUp
	}
	return StepWait
}
