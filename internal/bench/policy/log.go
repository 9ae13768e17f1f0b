package policy

import (
	"fmt"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// replicationLog is the log of the group's primary, which the replicas follow with a lag.
type replicationLog struct {
	trial   *trial
	commits []spool.Instant
	primary int
	term    spool.Term
	start   spool.Position
	terms   []spool.Term // by server
}

// running is a request that a server has begun.
type running struct {
	log      *replicationLog
	server   int
	term     spool.Term
	primary  bool
	position spool.Position // what the request sees
}

func newLog(trial *trial) *replicationLog {
	log := &replicationLog{trial: trial, term: 1}
	for range trial.size.Servers {
		log.terms = append(log.terms, 1)
	}
	return log
}

func (log *replicationLog) specs() []spool.ServerSpec {
	var specs []spool.ServerSpec
	for i := range log.trial.size.Servers {
		specs = append(specs, spool.ServerSpec{
			Name:        spool.Server(fmt.Sprint("server", i)),
			Slots:       log.trial.size.Slots,
			Connections: log.trial.size.Connections,
		})
	}
	return specs
}

// down reports whether a server does not answer; the first server is the one that fails.
func (log *replicationLog) down(server int) bool {
	return server == 0 && log.trial.scenario.ServerDown.covers(log.trial.elapsed())
}

func (log *replicationLog) position(server int) spool.Position {
	if server == log.primary {
		return spool.Position(len(log.commits))
	}
	seen := log.trial.clock.Now().Add(-log.trial.size.Lag)
	count, _ := slices.BinarySearch(log.commits, seen)
	return spool.Position(count)
}

func (log *replicationLog) status(server int) spool.ServerStatus {
	return spool.ServerStatus{
		Server:   log.specs()[server].Name,
		Term:     log.terms[server],
		Position: log.position(server),
		Primary:  server == log.primary,
		Start:    log.start,
	}
}

// promote makes a server the primary; what it has not seen is lost.
func (log *replicationLog) promote(server int, term spool.Term) {
	if term <= log.term {
		return
	}
	log.commits = log.commits[:log.position(server)]
	log.primary = server
	log.term = term
	log.start = spool.Position(len(log.commits))
	log.terms[server] = term
}

func (log *replicationLog) begin(server int) *running {
	return &running{
		log:      log,
		server:   server,
		term:     log.term,
		primary:  server == log.primary,
		position: log.position(server),
	}
}

// answers reports whether the server is still up and in the same role.
func (running *running) answers() bool {
	return !running.log.down(running.server) && running.primary == (running.server == running.log.primary)
}

// commit appends a write and returns the session's token.
func (log *replicationLog) commit() spool.SessionToken {
	log.commits = append(log.commits, log.trial.clock.Now())
	return spool.SessionToken{Group: groupName, Term: log.term, Position: spool.Position(len(log.commits))}
}

// replicaCould reports whether a replica that is up has what a read asks for.
func (log *replicationLog) replicaCould(request *request) bool {
	for i := range log.terms {
		if i == log.primary || log.down(i) || log.terms[i] != log.term {
			continue
		}
		fresh := request.maxAge == 0 || log.trial.size.Lag <= request.maxAge
		if fresh && log.position(i) >= request.session.token.Position {
			return true
		}
	}
	return false
}
