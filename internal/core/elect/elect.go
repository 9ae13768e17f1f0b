package elect

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Replica is a server that may become the primary.
type Replica struct {
	Server  spool.Server
	Seen    bool // it answered
	Status  spool.ReplicaStatus
	Leaving bool
	Near    bool
}

// Situation is what is known of a group whose primary is to be replaced.
type Situation struct {
	Replicas      []Replica         // all registered servers but the primary
	SyncReplicas  int               // replicas that confirm a commit before it is acknowledged
	Acked         spool.LogPosition // newest position that any proxy is known to have acknowledged
	AckedComplete bool              // every registered proxy has told its newest acknowledged position since the primary fell silent
}

// Verdict says why a choice was made or not.
type Verdict string

// Verdicts of a choice.
const (
	Safe          Verdict = "every acknowledged commit is on the server"
	NoReplica     Verdict = "no replica answers"
	ReplicaUnseen Verdict = "a replica that does not answer may alone hold an acknowledged commit"
	BehindAcked   Verdict = "all replicas that answer lack an acknowledged commit"
)

// Choose returns the most advanced replica if it provably holds every acknowledged commit.
func Choose(situation Situation) (spool.Server, Verdict) {
	best := mostAdvanced(situation.Replicas)
	if best == nil {
		return "", NoReplica
	}
	if best.Status.Received.Less(situation.Acked) {
		return "", BehindAcked
	}
	unseen := 0
	for _, replica := range situation.Replicas {
		if !replica.Seen {
			unseen++
		}
	}
	covered := unseen < max(1, situation.SyncReplicas)
	if !covered && !situation.AckedComplete {
		return "", ReplicaUnseen
	}
	return best.Server, Safe
}

func mostAdvanced(replicas []Replica) *Replica {
	var best *Replica
	for i := range replicas {
		replica := &replicas[i]
		if !replica.Seen {
			continue
		}
		if best == nil || better(replica, best) {
			best = replica
		}
	}
	return best
}

// better prefers the longer log, then a server that stays, then a near one.
func better(replica, other *Replica) bool {
	if replica.Status.Received != other.Status.Received {
		return other.Status.Received.Less(replica.Status.Received)
	}
	if replica.Leaving != other.Leaving {
		return !replica.Leaving
	}
	return replica.Near && !other.Near
}

// Planned returns the replica that takes over from a primary that still works: one that stays, with the least lag.
func Planned(replicas []Replica) (spool.Server, bool) {
	var best *Replica
	for i := range replicas {
		replica := &replicas[i]
		if !replica.Seen || replica.Leaving {
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

// Suspicion decides if a primary is to be replaced from what all proxies see of it.
type Suspicion struct {
	Failed    spool.Instant // when this proxy's newest attempt to reach the primary failed; zero if it succeeded
	Contact   spool.Instant // when any proxy last reached the primary
	Alone     bool          // no other proxy is registered
	Asked     int           // live proxies that were asked to try
	Unreached int           // of those that answered: not reached
	Reached   int           // of those that answered: reached
}

// shortestSilence is how long nobody may have reached the primary: two heartbeats, so that a proxy that reaches it has
// told so.
const shortestSilence = 900 * time.Millisecond

// Suspect tells if the silence is worth asking the other proxies.
func (suspicion Suspicion) Suspect(now spool.Instant) bool {
	return suspicion.Failed > suspicion.Contact && now.Sub(suspicion.Contact) >= shortestSilence/2
}

// Dead tells if the primary is to be replaced: nobody reaches it, as most of the live proxies say. A proxy that hears no
// other one may itself be cut off, and leaves it to the registry to tell.
func (suspicion Suspicion) Dead() bool {
	if suspicion.Asked == 0 {
		return suspicion.Alone
	}
	return suspicion.Reached == 0 && 2*suspicion.Unreached >= suspicion.Asked
}
