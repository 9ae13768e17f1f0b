package elect

import "corianderspool.example/spool/pkg/spool"

// Pause is what a supervisor knows of a replica that it may resume. Several supervisors may pause one replica, each for the term
// that its own promotion begins; the replica tells the newest of these terms alone.
type Pause struct {
	Term spool.Term // for which this supervisor paused it, or found it paused
	Held spool.Term // for which the replica said since that it is paused; zero if it is not
	Led  spool.Term // newest term that is known to have a primary
}

// PauseStep is what a supervisor does about a paused replica.
type PauseStep int

// Steps for a paused replica.
const (
	PauseEnded   PauseStep = iota // not paused any more
	PauseOfOther                  // another supervisor paused it since; leave it
	PauseIsOwn                    // resume it unless another supervisor may rely on the same pause
	PauseOver                     // resume it: the promotion for which anyone paused it has taken effect
)

// Next returns what to do about the replica. Between its answer and the command that resumes it another supervisor may pause it;
// that one asks again before it requests a promotion.
func (pause Pause) Next() PauseStep {
	switch {
	case pause.Held == 0:
		return PauseEnded
	case pause.Held <= pause.Led:
		return PauseOver
	case pause.Held == pause.Term:
		return PauseIsOwn
	}
	return PauseOfOther
}
