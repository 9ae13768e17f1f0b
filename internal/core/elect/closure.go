package elect

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// CommitHold is how long a proxy that was asked to close a group's commits acknowledges none: until a promotion that is
// requested soon after takes effect, which takes up to 1 s.
const CommitHold = 3 * time.Second

// Closure is a supervisor's request to acknowledge no commit of a group that the server which is about to be promoted may lack.
// Which server leads now does not matter: the supervisor may not know it, and one that starts again has another ID.
type Closure struct {
	Chosen  spool.Server  // that is to be promoted; empty if a proxy of an older version asks
	Primary spool.Server  // that is to be replaced; empty if it is not known
	Term    spool.Term    // newest one that the supervisor knows, so that the chosen server leads a later one
	Token   uint64        // fencing token of the supervisor; zero if a proxy of an older version asks
	Until   spool.Instant // when it ends
}

// Covers reports whether a commit that was sent to a server must not be acknowledged, however late its answer comes.
func (closure *Closure) Covers(server spool.Server, term spool.Term, sent spool.Instant) bool {
	return sent < closure.Until && (term <= closure.Term || closure.excludes(server))
}

// Refuses reports whether a commit that is sent to a server now would not be acknowledged. The term does not tell: the position of a
// server that was just promoted is of the term before until its first commit.
func (closure *Closure) Refuses(server spool.Server, now spool.Instant) bool {
	return now < closure.Until && closure.excludes(server)
}

func (closure *Closure) excludes(server spool.Server) bool {
	return server == closure.Primary || closure.Chosen != "" && server != closure.Chosen
}

// Replace puts another closure in the place of this one and reports whether it did; one of a newer token stays until it ends. The
// holder of a newer token closes commits only once what earlier holders requested has taken effect.
func (closure *Closure) Replace(other Closure, now spool.Instant) bool {
	if now < closure.Until && other.Token < closure.Token {
		return false
	}
	*closure = other
	return true
}
