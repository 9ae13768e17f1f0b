package elect

import (
	"errors"

	"corianderspool.example/spool/pkg/spool"
)

// Candidate is a server that may become the primary.
type Candidate struct {
	Server    spool.Server
	Responded bool // it answered
	Status    spool.ReplicaStatus
	Leaving   bool
	Near      bool
}

// FailoverState is what is known of a group whose primary is to be replaced.
type FailoverState struct {
	Candidates         []Candidate       // all registered servers but the primary
	Preferred          spool.Server      // chosen earlier; stays so among equals
	RegistryIncomplete bool              // the registry may lack a server that runs
	SyncReplicas       int               // replicas that confirm a commit before it is acknowledged
	Acked              spool.LogPosition // newest position that any proxy is known to have acknowledged
	AckedComplete      bool              // every registered proxy has told its newest acknowledged position since the primary fell silent
}

// Decision says why a choice was made or not.
type Decision string

// Verdicts of a choice.
const (
	Safe               Decision = "every acknowledged commit is on the server"
	NoReplica          Decision = "no replica answers"
	ReplicaUnreachable Decision = "a replica that does not answer or is not registered may alone hold an acknowledged commit"
	BehindAcked        Decision = "all replicas that answer lack an acknowledged commit"
)

// ChooseFailover returns the most advanced replica if it provably holds every acknowledged commit.
func ChooseFailover(situation FailoverState) (spool.Server, Decision) {
	best := mostAdvanced(situation.Candidates, situation.Preferred)
	if best == nil {
		return "", NoReplica
	}
	if best.Status.Received.Less(situation.Acked) {
		return "", BehindAcked
	}
	unseen := 0
	if situation.RegistryIncomplete {
		unseen++
	}
	for _, replica := range situation.Candidates {
		if !replica.Responded {
			unseen++
		}
	}
	covered := unseen < max(1, situation.SyncReplicas)
	if !covered && !situation.AckedComplete {
		return "", ReplicaUnreachable
	}
	return best.Server, Safe
}

func mostAdvanced(replicas []Candidate, before spool.Server) *Candidate {
	var best *Candidate
	for i := range replicas {
		replica := &replicas[i]
		if !replica.Responded {
			continue
		}
		if best == nil || better(replica, best) || replica.Server == before && !better(best, replica) {
			best = replica
		}
	}
	return best
}

// better prefers the longer log, then a server that stays, then a near one.
func better(replica, other *Candidate) bool {
	if replica.Status.Received != other.Status.Received {
		return other.Status.Received.Less(replica.Status.Received)
	}
	if replica.Leaving != other.Leaving {
		return !replica.Leaving
	}
	return replica.Near && !other.Near
}

// ChooseSwitchover returns the replica that takes over from a primary that still works: one that stays, with the least lag.
func ChooseSwitchover(replicas []Candidate) (spool.Server, bool) {
	var best *Candidate
	for i := range replicas {
		replica := &replicas[i]
		if !replica.Responded || replica.Leaving {
			continue
		}
		if best == nil || better(replica, best) {
			best = replica
		}
	}
	if best == nil {
		return "", false
	}
	return best.Server, true
}

// ProbeResult is what a proxy learned when it asked a server to act as primary.
type ProbeResult int

// Testimonies about a server.
const (
	Unreachable   ProbeResult = iota // it could not be reached
	ActsAsPrimary                    // it acts as primary
	NotPrimary                       // it is up and not the primary
	Overloaded                       // it is up and has no room to say more
)

// ClassifyProbe tells what an attempt to begin a transaction on a server showed.
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

// PeerPoll is what the other proxies say of a group's primary.
type PeerPoll struct {
	NoPeers   bool              // no other proxy is registered
	Asked     int               // live proxies that were asked
	Reached   int               // of those that answered: reached the primary
	Unreached int               // of those that answered: did not
	Acked     spool.LogPosition // newest position that any proxy acknowledged a commit at
	Complete  bool              // every registered proxy answered
	Commits   CommitStats       // that they sent to the primary
}

// AddAnswer counts the answer of a proxy.
func (canvass *PeerPoll) AddAnswer(reached bool, acked spool.LogPosition) {
	if reached {
		canvass.Reached++
	} else {
		canvass.Unreached++
	}
	canvass.Acked = canvass.Acked.Max(acked)
}

// ConfirmsFailure tells if the primary is to be replaced: nobody reaches it, as most of the live proxies say. A proxy that hears no
// other one may itself be cut off, and leaves it to the registry to tell.
func (canvass PeerPoll) ConfirmsFailure() bool {
	if canvass.Asked == 0 {
		return canvass.NoPeers
	}
	return canvass.Reached == 0 && 2*canvass.Unreached >= canvass.Asked
}
