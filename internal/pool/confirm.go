package pool

import (
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// confirmPeriod is the time between questions to the server that is about to be promoted.
const confirmPeriod = 5 * time.Millisecond

// chosenStatus is a question to the server that is about to be promoted, which all commits that wait share.
type chosenStatus struct {
	done    chan struct{} // closed when it is answered
	replica bool          // the server does not lead yet
}

// ConfirmCommit is for a commit that RecordCommit did not record, since commits are closed. It waits until the server that is about to
// be promoted has received it, or the promotion is given up, and records it. It returns false if that does not happen before the
// deadline, the server's promotion, or the end of the closure. A process that has just started first waits for the orders of before.
func (pool *Pool) ConfirmCommit(
	name spool.Group, server spool.Server, team spool.Team, position spool.LogPosition, sent spool.Instant, deadline time.Time,
) bool {
	for mayCome := true; ; {
		step, chosen := pool.recordConfirmed(name, server, position, sent)
		switch {
		case step == elect.Acknowledge:
			return true
		case step == elect.AnswerUnknown || !mayCome || time.Now().After(deadline):
			return false
		case step == elect.AwaitOrders:
			time.Sleep(confirmPeriod)
		default:
			mayCome = pool.askChosen(name, chosen, team, deadline)
		}
	}
}

// recordConfirmed records a commit if it may be acknowledged by now, and returns the server to ask if that one has to confirm it.
func (pool *Pool) recordConfirmed(
	name spool.Group, server spool.Server, position spool.LogPosition, sent spool.Instant,
) (step elect.AckStep, chosen spool.Server) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(name)
	step, chosen = group.closures.Judge(server, position, sent, pool.timers.Now())
	if step == elect.Acknowledge {
		pool.recordCommit(group, server, position, sent)
	}
	return step, chosen
}

// askChosen asks a server that is about to be promoted for its status, one question of this proxy at a time, and reports whether it
// may still receive more as a replica.
func (pool *Pool) askChosen(name spool.Group, chosen spool.Server, team spool.Team, deadline time.Time) (replica bool) {
	pool.mutex.Lock()
	group := pool.group(name)
	question := group.chosenStatus[chosen]
	first := question == nil
	if first {
		question = &chosenStatus{done: make(chan struct{}), replica: true}
		group.chosenStatus[chosen] = question
	}
	pool.mutex.Unlock()
	if !first {
		<-question.done
		return question.replica
	}
	time.Sleep(confirmPeriod) // more commits may share the question
	status, err := pool.queryStatus(name, chosen, team, min(ProbeTimeout, time.Until(deadline)))
	if err != nil {
		event.Log(pool.logger, event.ServerStatusFailed, zap.String("Group", string(name)), zap.String("Server", string(chosen)), event.Cause(err))
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if err == nil {
		question.replica = group.closures.RecordStatus(chosen, status, pool.timers.Now())
	}
	delete(group.chosenStatus, chosen)
	close(question.done)
	return question.replica
}

func (pool *Pool) queryStatus(name spool.Group, server spool.Server, team spool.Team, timeout time.Duration) (spool.ReplicaStatus, error) {
	answers, err := pool.Execute(name, server, team, timeout, spool.Command{Verb: spool.VerbStatus})
	if err != nil {
		return spool.ReplicaStatus{}, err
	}
	return pool.dialer.ParseStatus(answers[0])
}

// OpenCommits ends the closure of a supervisor that gave its promotion up.
func (pool *Pool) OpenCommits(name spool.Group, token uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.group(name).closures.Open(token)
}
