package policy

import (
	"fmt"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// replicationLog is the log of the group's primary, which the replicas apply with a delay.
type replicationLog struct {
	trial       *trial
	commits     []spool.Instant
	primary     int
	term        spool.Term
	termStart   spool.Position
	serverTerms []spool.Term // by server
}

// execution is a request that a server has started.
type execution struct {
	log      *replicationLog
	server   int
	term     spool.Term
	primary  bool
	position spool.Position // last write that is visible to the request
}

func newReplicationLog(trial *trial) *replicationLog {
	replicationLog := &replicationLog{trial: trial, term: 1}
	for range trial.deployment.Servers {
		replicationLog.serverTerms = append(replicationLog.serverTerms, 1)
	}
	return replicationLog
}

func (replicationLog *replicationLog) specs() []spool.ServerSpec {
	var specs []spool.ServerSpec
	for i := range replicationLog.trial.deployment.Servers {
		specs = append(specs, spool.ServerSpec{
			Name:        spool.Server(fmt.Sprint("server", i)),
			Slots:       replicationLog.trial.deployment.Slots,
			Connections: replicationLog.trial.deployment.Connections,
		})
	}
	return specs
}

// isDown reports whether a server does not answer; only the first server ever fails.
func (replicationLog *replicationLog) isDown(server int) bool {
	return server == 0 && replicationLog.trial.scenario.ServerDown.contains(replicationLog.trial.elapsed())
}

func (replicationLog *replicationLog) position(server int) spool.Position {
	if server == replicationLog.primary {
		return spool.Position(len(replicationLog.commits))
	}
	visibleUntil := replicationLog.trial.clock.Now().Add(-replicationLog.trial.deployment.ReplicaLag)
	count, _ := slices.BinarySearch(replicationLog.commits, visibleUntil)
	return spool.Position(count)
}

func (replicationLog *replicationLog) status(server int) spool.ServerStatus {
	return spool.ServerStatus{
		Server:   replicationLog.specs()[server].Name,
		Term:     replicationLog.serverTerms[server],
		Position: replicationLog.position(server),
		Primary:  server == replicationLog.primary,
		Start:    replicationLog.termStart,
	}
}

// promote makes a server the primary; writes that it has not received are lost.
func (replicationLog *replicationLog) promote(server int, term spool.Term) {
	if term <= replicationLog.term {
		return
	}
	replicationLog.commits = replicationLog.commits[:replicationLog.position(server)]
	replicationLog.primary = server
	replicationLog.term = term
	replicationLog.termStart = spool.Position(len(replicationLog.commits))
	replicationLog.serverTerms[server] = term
}

func (replicationLog *replicationLog) startExecution(server int) *execution {
	return &execution{
		log:      replicationLog,
		server:   server,
		term:     replicationLog.term,
		primary:  server == replicationLog.primary,
		position: replicationLog.position(server),
	}
}

// serverAnswers reports whether the server is still up and in the same role.
func (execution *execution) serverAnswers() bool {
	return !execution.log.isDown(execution.server) && execution.primary == (execution.server == execution.log.primary)
}

// commit appends a write and returns a session token with its position.
func (replicationLog *replicationLog) commit() spool.SessionToken {
	replicationLog.commits = append(replicationLog.commits, replicationLog.trial.clock.Now())
	return spool.SessionToken{Group: groupName, Term: replicationLog.term, Position: spool.Position(len(replicationLog.commits))}
}

// hasEligibleReplica reports whether a replica that is up is recent enough for a read.
func (replicationLog *replicationLog) hasEligibleReplica(request *request) bool {
	for i := range replicationLog.serverTerms {
		if i == replicationLog.primary || replicationLog.isDown(i) || replicationLog.serverTerms[i] != replicationLog.term {
			continue
		}
		fresh := request.maxAge == 0 || replicationLog.trial.deployment.ReplicaLag <= request.maxAge
		if fresh && replicationLog.position(i) >= request.session.token.Position {
			return true
		}
	}
	return false
}
