package elect

import (
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// CommitHold is how long a closure lasts: until a promotion that is requested soon after takes effect, which takes up to 1 s.
const CommitHold = 3 * time.Second

// Closure is a supervisor's request to acknowledge no commit of a group unless the server that is about to be promoted has received it.
// Which server leads now, and which ones confirm its commits, does not matter: the supervisor may know neither.
type Closure struct {
	Chosen  spool.Server  // that is to be promoted; empty if a proxy of an older version asks, so that no commit is acknowledged
	Primary spool.Server  // that is to be replaced; empty if it is not known
	Term    spool.Term    // newest one that the supervisor knows, so that the chosen server leads a later one
	Token   uint64        // fencing token of the supervisor; zero if a proxy of an older version asks
	MaySend bool          // commits are sent to the primary meanwhile
	Until   spool.Instant // when it ends

	received spool.LogPosition // newest that the chosen server has told
}

// covers reports whether a commit that was sent to a server must not be acknowledged, however late its answer comes, unless the chosen
// server has it.
func (closure *Closure) covers(server spool.Server, term spool.Term, sent spool.Instant) bool {
	return sent < closure.Until && (term <= closure.Term || closure.excludes(server))
}

func (closure *Closure) excludes(server spool.Server) bool {
	return server == closure.Primary || closure.Chosen != "" && server != closure.Chosen
}

// confirms reports whether the chosen server has received a commit: a position of its log names the same commit as in the primary's
// if it is of the same term.
func (closure *Closure) confirms(position spool.LogPosition) bool {
	return closure.received.Term == position.Term && !closure.received.Less(position)
}

// AckStep is what a proxy does about a commit that a server has completed.
type AckStep int

// Steps for a completed commit.
const (
	Acknowledge   AckStep = iota
	AwaitChosen           // ask the chosen server whether it has the commit
	AnswerUnknown         // it may be lost, and nobody will know
)

// closureTTL is how long after its end a closure is kept, for the late answers of commits that were sent before. Requests between
// proxies and servers end sooner.
const closureTTL = time.Minute

// Closures are the requests to close the commits of a group, oldest first; those of supervisors that gave up are not among them. Each
// ends when the next one begins.
type Closures []Closure

// Add adds a closure, and reports whether it did: none is added while one of a newer token lasts. The holder of a newer token closes
// commits only once what earlier holders requested has taken effect.
func (closures *Closures) Add(closure Closure, now spool.Instant) bool {
	if newest := closures.newest(); newest != nil && now < newest.Until && closure.Token < newest.Token {
		return false
	}
	kept := (*closures)[:0]
	for _, earlier := range *closures {
		if earlier.Token == closure.Token && earlier.Chosen == closure.Chosen {
			closure.received = earlier.received
			continue
		}
		if now.Sub(earlier.Until) < closureTTL {
			earlier.Until = min(earlier.Until, now)
			kept = append(kept, earlier)
		}
	}
	*closures = append(kept, closure)
	return true
}

// Open ends the closures of a token, whose holder gives its promotion up.
func (closures *Closures) Open(token uint64) {
	*closures = slices.DeleteFunc(*closures, func(closure Closure) bool { return closure.Token == token })
}

// Chosen returns the server that is to be promoted while commits are closed, or an empty name.
func (closures *Closures) Chosen(now spool.Instant) spool.Server {
	if newest := closures.newest(); newest != nil && now < newest.Until {
		return newest.Chosen
	}
	return ""
}

// Judge returns what to do about a commit that was sent to a server. A commit that an earlier closure covers may only be acknowledged
// if the server that was chosen then is known to have it: whether that one was promoted is not known.
func (closures *Closures) Judge(server spool.Server, position spool.LogPosition, sent spool.Instant) AckStep {
	for i := range *closures {
		closure := &(*closures)[i]
		if !closure.covers(server, position.Term, sent) || closure.confirms(position) {
			continue
		}
		if i < len(*closures)-1 || closure.Chosen == "" {
			return AnswerUnknown
		}
		return AwaitChosen
	}
	return Acknowledge
}

// Refuse returns for how long no commit is to be sent to a server. The term does not tell: the position of a server that was just
// promoted is of the term before until its first commit.
func (closures *Closures) Refuse(server spool.Server, now spool.Instant) time.Duration {
	newest := closures.newest()
	if server == "" || newest == nil || newest.MaySend || !newest.excludes(server) {
		return 0
	}
	return max(0, newest.Until.Sub(now))
}

// RecordStatus records what a chosen server said of itself, and reports whether it still is a replica, so that it may receive more.
func (closures *Closures) RecordStatus(chosen spool.Server, status spool.ReplicaStatus) (replica bool) {
	for i := range *closures {
		if closure := &(*closures)[i]; closure.Chosen == chosen {
			closure.received = closure.received.Max(status.Received)
		}
	}
	return !status.Primary
}

func (closures *Closures) newest() *Closure {
	if len(*closures) == 0 {
		return nil
	}
	return &(*closures)[len(*closures)-1]
}
