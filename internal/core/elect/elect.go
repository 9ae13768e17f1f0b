package elect

import (
	"errors"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// Candidate is a replica that may become the primary.
type Candidate struct {
	Server     spool.Server
	Responded  bool // to the status query
	Status     spool.ReplicaStatus
	Leaving    bool
	Near       bool // in the supervisor's region, by round-trip time
	Evacuated  bool // in an evacuated failure domain, so never promoted
	HomeRoutes int  // routes of the group that have home regions and may run there
	Cold       bool // it warms up and gets a limited number of requests
	Ordered    bool // an earlier request may still promote it, so that pausing it could lose commits
}

// FailoverState is the known state of a group whose primary is to be replaced.
type FailoverState struct {
	Candidates         []Candidate       // all registered servers except the primary
	RegistryIncomplete bool              // the registry may lack a running server
	SyncReplicas       int               // replicas that confirm a commit before it is acknowledged
	Acked              spool.LogPosition // newest position known to have been acknowledged by any proxy
	AckedBound         spool.LogPosition // at or above every acknowledged commit, if AckedComplete
	AckedComplete      bool              // every registered proxy was asked for AckedBound after the primary stopped answering
}

// Decision is the reason why a candidate was chosen or not.
type Decision string

// Decisions of a choice.
const (
	Safe               Decision = "every acknowledged commit is on the server"
	NoReplica          Decision = "no replica answers"
	ReplicaUnreachable Decision = "a replica that does not answer or is not registered may alone hold an acknowledged commit"
	BehindAcked        Decision = "all replicas that answer lack an acknowledged commit"
	NotCaughtUp        Decision = "the chosen server has not received all commits of the other replicas"
	NotFollowing       Decision = "the chosen server does not follow the primary's term and receives none of its commits"
	CommitsOpen        Decision = "commits that the chosen server lacks may be acknowledged"
	Superseded         Decision = "another promotion took effect meanwhile"
	PrimaryAnswers     Decision = "the primary answers again"
	TokenExpired       Decision = "the fencing token is too old or of an older era"
)

// ChooseFailover returns the highest-ranking candidate that provably holds every acknowledged commit, else why the highest-ranking
// one of all may not.
func ChooseFailover(state FailoverState) (spool.Server, Decision) {
	ranked := rankCandidates(state.Candidates)
	if len(ranked) == 0 {
		return "", NoReplica
	}
	for _, candidate := range ranked {
		if state.judge(candidate) == Safe {
			return candidate.Server, Safe
		}
	}
	return "", state.judge(ranked[0])
}

// judge decides whether a candidate provably holds every acknowledged commit. One of the replicas that confirmed it holds each
// commit, so the candidate does if fewer than SyncReplicas servers may hold one that it lacks.
func (state *FailoverState) judge(candidate *Candidate) Decision {
	received := candidate.Status.Received
	if received.Less(state.Acked) {
		return BehindAcked
	}
	others := 0
	if state.RegistryIncomplete {
		others++
	}
	for _, other := range state.Candidates {
		if !other.Responded || received.Less(other.Status.Received) {
			others++
		}
	}
	switch {
	case others < max(1, state.SyncReplicas):
		return Safe
	case !state.AckedComplete:
		return ReplicaUnreachable
	case received.Less(state.AckedBound):
		return BehindAcked
	}
	return Safe
}

// rankCandidates returns the candidates that may be promoted, the highest-ranking first.
func rankCandidates(candidates []Candidate) []*Candidate {
	var ranked []*Candidate
	for i := range candidates {
		if candidate := &candidates[i]; candidate.Responded && !candidate.Evacuated {
			ranked = append(ranked, candidate)
		}
	}
	slices.SortStableFunc(ranked, func(left, right *Candidate) int {
		switch {
		case ranksHigher(left, right):
			return -1
		case ranksHigher(right, left):
			return 1
		}
		return 0
	})
	return ranked
}

// ranksHigher prefers the longer log, then a server that an earlier request may still promote, then one that is not leaving, then
// one in the home regions of more routes, then one that does not warm up, then a near one. A log counts as longer if its server
// follows a newer term, whatever the positions: one that did not follow that term may hold commits that were given up when the term
// began, and receives nothing of its primary.
func ranksHigher(candidate, other *Candidate) bool {
	if candidate.Status.Term != other.Status.Term {
		return candidate.Status.Term > other.Status.Term
	}
	if candidate.Status.Received != other.Status.Received {
		return other.Status.Received.Less(candidate.Status.Received)
	}
	if candidate.Ordered != other.Ordered {
		return candidate.Ordered
	}
	if candidate.Leaving != other.Leaving {
		return !candidate.Leaving
	}
	if candidate.HomeRoutes != other.HomeRoutes {
		return candidate.HomeRoutes > other.HomeRoutes
	}
	if candidate.Cold != other.Cold {
		return !candidate.Cold
	}
	return candidate.Near && !other.Near
}

// UnreachableReplicas reports whether so many replicas do not answer that they may confirm a commit alone.
func UnreachableReplicas(candidates []Candidate, syncReplicas int) bool {
	unreachable := 0
	for _, candidate := range candidates {
		if !candidate.Responded {
			unreachable++
		}
	}
	return unreachable >= max(1, syncReplicas)
}

// ChooseSwitchover returns the replica that takes over from a working primary, which is not leaving and not evacuated: the one
// that an earlier request may still promote, else the one with the least lag.
func ChooseSwitchover(candidates []Candidate) (spool.Server, bool) {
	var chosen spool.Server
	for _, candidate := range rankCandidates(candidates) {
		switch {
		case candidate.Leaving:
		case candidate.Ordered:
			return candidate.Server, true
		case chosen == "":
			chosen = candidate.Server
		}
	}
	return chosen, chosen != ""
}

// ProbeResult is the result of an attempt to use a server as primary.
type ProbeResult int

// Results of a probe.
const (
	Unreachable   ProbeResult = iota // could not be reached
	ActsAsPrimary                    // acts as primary
	NotPrimary                       // is up and not the primary
	Overloaded                       // is up but rejected the probe, for example for lack of capacity, so its role is unknown
)

// ClassifyProbe returns the probe result for the error of an attempt to begin a transaction on a server.
func ClassifyProbe(err error) ProbeResult {
	if err == nil {
		return ActsAsPrimary
	}
	var refusal *spool.Refusal
	if !errors.As(err, &refusal) {
		return Unreachable
	}
	if refusal.Code == spool.CodeReadOnly {
		return NotPrimary
	}
	return Overloaded
}

// PeerPoll aggregates the answers of the other proxies about a group's primary.
type PeerPoll struct {
	NoPeers    bool              // no other proxy is registered
	Asked      int               // live proxies that were asked
	Reached    int               // answers of proxies that reach the primary
	Unreached  int               // answers of proxies that do not reach the primary
	Acked      spool.LogPosition // newest position at which any proxy is known to have acknowledged a commit
	AckedBound spool.LogPosition // at or above every commit that any proxy has ever acknowledged, if Complete
	Complete   bool              // every registered proxy answered, and AckedBound is known
	Commits    CommitStats       // outcomes of the commits that they sent to the primary
	Known      AckedKnowledge    // of all that answered
	Members    uint64            // state of the membership by which the proxies were asked
}

// AddAnswer adds the answer of a proxy.
func (poll *PeerPoll) AddAnswer(reached bool, acked spool.LogPosition) {
	if reached {
		poll.Reached++
	} else {
		poll.Unreached++
	}
	poll.Acked = poll.Acked.Max(acked)
}

// ConfirmsFailure reports whether the primary is to be replaced: no proxy reaches it, and at least half of those asked
// answered that they do not. A proxy that found no live one to ask may itself be partitioned; it confirms a failure only if
// no other proxy is registered.
func (poll PeerPoll) ConfirmsFailure() bool {
	if poll.Asked == 0 {
		return poll.NoPeers
	}
	return poll.Reached == 0 && 2*poll.Unreached >= poll.Asked
}
