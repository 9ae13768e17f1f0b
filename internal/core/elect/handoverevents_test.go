package elect

import (
	"fmt"
	"math"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// begin starts a handover with a new token. The supervisor may act on a view from before another one's promotion.
func (model *handoverModel) begin(supervisor *modelSupervisor, choose func(int) int) {
	if model.ordered != nil || supervisor.handover != nil || supervisor.resumes {
		return
	}
	primary, term := model.primary.name, model.term
	if choose(3) == 0 {
		primary, term = model.servers[0].name, 1
	}
	cause := []Cause{CausePlanned, CauseUnreachable, CauseStalled, CauseRetired, CauseEvacuated, CauseOrdered}[choose(6)]
	if cause == CauseUnreachable && !model.primary.hidden {
		return
	}
	for _, server := range model.servers {
		server.joined = false
	}
	chosen := model.choose(primary, cause, choose)
	if chosen == "" || chosen == primary {
		return
	}
	for _, server := range model.servers {
		if !server.hidden && server.name != primary {
			term = max(term, server.term)
		}
	}
	model.tokens++
	model.target = chosen
	supervisor.token, supervisor.before = model.tokens, nil
	supervisor.handover = &Handover{Cause: cause, Primary: primary, Chosen: chosen, PauseTerm: term + 1, SyncReplicas: 1}
}

// choose returns a server as the supervisors choose it, or any.
func (model *handoverModel) choose(primary spool.Server, cause Cause, choose func(int) int) spool.Server {
	if choose(3) == 0 {
		return model.servers[choose(len(model.servers))].name
	}
	var candidates []Candidate
	for _, server := range model.servers {
		if server.name != primary && !server.lapsed {
			status := spool.ReplicaStatus{Term: server.term, Received: lastPosition(server.log), PausedTerm: server.paused}
			candidates = append(candidates, Candidate{Server: server.name, Responded: !server.hidden, Status: status})
		}
	}
	if cause != CauseUnreachable && cause != CauseStalled {
		chosen, _ := ChooseSwitchover(candidates)
		return chosen
	}
	bound, known := model.ackedBound()
	chosen, _ := ChooseFailover(FailoverState{Candidates: candidates, SyncReplicas: 1, AckedBound: bound, AckedComplete: known})
	return chosen
}

// ask is one round of a supervisor: it pauses the replicas, queries the others and carries the decision out.
func (model *handoverModel) ask(supervisor *modelSupervisor, rule decide, choose func(int) int) {
	if supervisor.handover == nil {
		return
	}
	known := *supervisor.handover
	lapsed := slices.ContainsFunc(model.servers, func(server *modelServer) bool { return server.lapsed }) &&
		!(known.Cause == CausePlanned && model.rules.lapsePlanned)
	known.RegistryRead, known.TokenUsable = !model.rules.skipJoined && !lapsed, supervisor.token == model.tokens
	known.CommitsClosed, known.AckedBound, known.Before = model.hasClosed(supervisor), supervisor.bound, supervisor.before
	for _, server := range model.servers {
		if server.joined && model.rules.skipJoined || server.lapsed {
			continue
		}
		known.Reports = append(known.Reports, model.report(supervisor, server))
	}
	if model.ordered != nil {
		return // a round after the request
	}
	supervisor.before = known.PrimaryPosition()
	switch rule(known) {
	case StepPromote:
		model.ordered = supervisor
	case StepGiveUp:
		if choose(2) == 0 { // else the request to open them is lost
			model.closures.Open(uint64(supervisor.token))
		}
		model.end(supervisor)
	case StepWait:
		if known.Cause != CauseEvacuated && (known.Cause != CausePlanned || !model.rules.pausePlanned) {
			model.closeCommits(supervisor)
		}
	}
}

// closeCommits has all proxies acknowledge no commits until a supervisor's handover ends.
func (model *handoverModel) closeCommits(supervisor *modelSupervisor) {
	bound, complete := model.ackedBound()
	if !complete {
		return
	}
	handover := supervisor.handover
	closure := Closure{
		Chosen: handover.Chosen, Primary: handover.Primary, Term: handover.PauseTerm - 1, Token: uint64(supervisor.token), Until: math.MaxInt64,
	}
	if model.rules.closePrimary {
		closure.Chosen = ""
	}
	if !model.hasClosed(supervisor) && model.closures.Add(closure, spool.Instant(model.now)) {
		supervisor.bound = bound
	}
}

// end ends a supervisor's handover; it resumes the replicas some events later.
func (model *handoverModel) end(supervisor *modelSupervisor) {
	if model.hasClosed(supervisor) {
		model.closures.newest().Until = spool.Instant(model.now)
	}
	supervisor.handover, supervisor.resumes = nil, true
}

// report sends a server the command of a round and returns what it says of itself.
func (model *handoverModel) report(supervisor *modelSupervisor, server *modelServer) ServerReport {
	handover := supervisor.handover
	if server.hidden {
		return ServerReport{Server: server.name}
	}
	pauses := (handover.Cause != CausePlanned || model.rules.pausePlanned) && server != model.primary && server.name != handover.Chosen && server.name != handover.Primary
	if pauses && handover.PauseTerm > server.term {
		server.paused = max(server.paused, handover.PauseTerm)
		supervisor.pauses[server] = handover.PauseTerm
	}
	return ServerReport{Server: server.name, Answered: true, Status: spool.ReplicaStatus{
		Primary: server == model.primary, Term: server.term, Received: lastPosition(server.log), PausedTerm: server.paused,
	}}
}

// takeEffect makes the chosen server the primary with what it has received.
func (model *handoverModel) takeEffect() {
	supervisor := model.ordered
	if supervisor == nil {
		return
	}
	for _, position := range model.primary.log {
		_, waits := model.waiting[position]
		if _, answered := model.acked[position]; !answered && !waits {
			model.acked[position] = false // its primary leads no longer
		}
	}
	for _, server := range model.servers {
		if server.name == supervisor.handover.Chosen {
			model.primary = server
		}
	}
	for position, acked := range model.acked {
		if acked && !slices.Contains(model.primary.log, position) {
			model.violation = fmt.Sprintf("%s was promoted at %v, commit %v was acknowledged", model.primary.name, lastPosition(model.primary.log), position)
		}
	}
	model.term++
	model.promotions++
	model.primary.term, model.primary.paused = model.term, 0
	model.ordered, supervisor.led = nil, supervisor.handover.PauseTerm
	model.end(supervisor)
}

// resume ends the pauses of a supervisor whose handover has ended, however long ago.
func (model *handoverModel) resume(supervisor *modelSupervisor) {
	if !supervisor.resumes {
		return
	}
	supervisor.resumes = false
	isSole := supervisor.token == model.tokens || model.target == model.primary.name
	for server, term := range supervisor.pauses {
		if server.hidden {
			continue
		}
		pause := Pause{Term: term, Held: server.paused, Led: max(supervisor.led, server.term)}
		switch step := pause.Next(); {
		case step == PauseOver || step == PauseIsOwn && isSole || model.rules.resumeAll:
			server.paused = 0
		case step == PauseOfOther:
			supervisor.pauses[server] = server.paused
			continue
		case step == PauseIsOwn:
			continue
		}
		delete(supervisor.pauses, server)
	}
}
