package elect

import (
	"fmt"
	"slices"

	"corianderspool.example/spool/pkg/spool"
)

// begin starts a handover with a new token. The supervisor may act on a view from before another one's promotion.
func (model *handoverModel) begin(supervisor *modelSupervisor, choose func(int) int) {
	if model.isEffectDue() || supervisor.handover != nil || supervisor.resumes || supervisor.proxy.down {
		return
	}
	primary, term := model.primary.name, model.term
	if choose(3) == 0 {
		primary, term = model.servers[0].name, 1
	}
	causes := []Cause{CausePlanned, CauseUnreachable, CauseStalled, CauseRetired, CauseEvacuated, CauseOrdered, CauseConfirmed}
	cause := causes[choose(len(causes))]
	if cause == CauseUnreachable && !model.primary.hidden {
		return
	}
	for _, server := range model.servers {
		server.joined = false
	}
	chosen := model.choose(supervisor, primary, cause, choose)
	if chosen == "" || (chosen == primary) != (cause == CauseConfirmed) {
		return
	}
	for _, server := range model.servers {
		if !server.hidden && server.name != primary {
			term = max(term, server.term)
		}
	}
	supervisor.before, supervisor.closed = nil, false
	supervisor.handover = &Handover{Cause: cause, Primary: primary, Chosen: chosen, PauseTerm: term + 1, SyncReplicas: 1}
	model.acquireToken(supervisor)
}

// acquireToken stores the order of a supervisor's handover, with the earlier ones that may still be carried out.
func (model *handoverModel) acquireToken(supervisor *modelSupervisor) {
	now, handover := spool.Instant(model.now), supervisor.handover
	if !supervisor.issued[uint64(model.tokens)] {
		supervisor.proxy.closures.Learn(model.stored, now)
	}
	supervisor.orders = supervisor.proxy.closures.Pending(now)
	model.tokens++
	model.target, supervisor.token = handover.Chosen, model.tokens
	supervisor.issued[uint64(model.tokens)] = true
	model.stored = append(slices.Clone(supervisor.orders), supervisor.order())
}

// order returns the order of a supervisor's handover.
func (supervisor *modelSupervisor) order() Order {
	handover := supervisor.handover
	return Order{
		Server: handover.Chosen, Term: handover.PauseTerm - 1, Token: uint64(supervisor.token), Leads: handover.Chosen == handover.Primary,
	}
}

// isEffectDue reports whether an accepted request, or one that relies on pauses, has not taken effect.
func (model *handoverModel) isEffectDue() bool {
	return slices.ContainsFunc(model.requests, func(request *modelRequest) bool { return request.accepted || !request.closed })
}

// choose returns a server as the supervisors choose it, or any.
func (model *handoverModel) choose(
	supervisor *modelSupervisor, primary spool.Server, cause Cause, choose func(int) int,
) spool.Server {
	if cause == CauseConfirmed {
		return primary
	}
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
	bound, known := model.ackedBound(supervisor.proxy)
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
	known.CommitsClosed, known.AckedBound, known.Before = supervisor.closed, supervisor.bound, supervisor.before
	for _, server := range model.servers {
		if server.joined && model.rules.skipJoined || server.lapsed {
			continue
		}
		known.Reports = append(known.Reports, model.report(supervisor, server))
	}
	if supervisor.waits {
		model.settle(supervisor)
		return // a round after the request
	}
	supervisor.before = known.PrimaryPosition()
	switch rule(known) {
	case StepPromote:
		model.request(supervisor, choose)
	case StepGiveUp:
		model.open(supervisor, choose)
		model.end(supervisor)
	case StepWait:
		if known.Cause != CauseEvacuated && (known.Cause != CausePlanned || !model.rules.pausePlanned) {
			model.closeCommits(supervisor)
		}
	}
}

// open ends the closure of a supervisor whose promotion is not carried out, at the proxies that the message reaches.
func (model *handoverModel) open(supervisor *modelSupervisor, choose func(int) int) {
	supervisor.proxy.closures.Open(uint64(supervisor.token))
	for _, proxy := range model.proxies {
		if choose(2) == 0 {
			proxy.closures.Open(uint64(supervisor.token))
		}
	}
	model.answer()
}

// request sends the request of a promotion. It may arrive later, so that the supervisor gets no answer.
func (model *handoverModel) request(supervisor *modelSupervisor, choose func(int) int) {
	supervisor.proxy.closures.Learn([]Order{supervisor.order()}, spool.Instant(model.now))
	request := &modelRequest{
		supervisor: supervisor, chosen: supervisor.handover.Chosen, token: supervisor.token, closed: supervisor.closed,
	}
	if !request.closed && len(model.requests) > 0 {
		model.open(supervisor, choose)
		model.end(supervisor)
		return
	}
	model.requests = append(model.requests, request)
	if request.closed && choose(3) == 0 {
		model.end(supervisor)
		return
	}
	supervisor.waits = true
	model.accept(request, choose)
}

// arrive has a request arrive that got no answer.
func (model *handoverModel) arrive(choose func(int) int) {
	for _, request := range model.requests {
		if !request.accepted {
			model.accept(request, choose)
			return
		}
	}
}

// accept has the platform accept a request, or refuse it if a newer token was seen. For the present primary nothing changes.
func (model *handoverModel) accept(request *modelRequest, choose func(int) int) {
	if request.token >= model.seen {
		request.accepted, model.seen = true, request.token
		if request.chosen != model.primary.name {
			return
		}
	}
	model.requests = slices.DeleteFunc(model.requests, func(other *modelRequest) bool { return other == request })
	supervisor := request.supervisor
	if !supervisor.waits || supervisor.token != request.token {
		return
	}
	if !request.accepted {
		model.open(supervisor, choose)
	}
	if !request.accepted || supervisor.handover.Cause != CauseConfirmed {
		model.end(supervisor)
	}
}

// end ends a supervisor's handover; it resumes the replicas some events later.
func (model *handoverModel) end(supervisor *modelSupervisor) {
	supervisor.handover, supervisor.waits, supervisor.resumes = nil, false, true
}

// report sends a server the command of a round and returns what it says of itself.
func (model *handoverModel) report(supervisor *modelSupervisor, server *modelServer) ServerReport {
	handover := supervisor.handover
	if server.hidden {
		return ServerReport{Server: server.name}
	}
	pauses := handover.Cause.PausesReplicas() || model.rules.pausePlanned && handover.Cause == CausePlanned
	keeps := server == model.primary || server.name == handover.Chosen || server.name == handover.Primary
	if pauses && !keeps && handover.PauseTerm > server.term {
		server.paused = max(server.paused, handover.PauseTerm)
		supervisor.pauses[server] = handover.PauseTerm
	}
	return ServerReport{Server: server.name, Answered: true, Status: spool.ReplicaStatus{
		Primary: server == model.primary, Term: server.term, Received: lastPosition(server.log), PausedTerm: server.paused,
	}}
}

// takeEffect makes the chosen server of the request that was accepted first the primary with what it has received.
func (model *handoverModel) takeEffect() {
	i := slices.IndexFunc(model.requests, func(request *modelRequest) bool { return request.accepted })
	if i < 0 {
		return
	}
	request := model.requests[i]
	model.requests = slices.Delete(model.requests, i, i+1)
	if model.primary.name != request.chosen {
		model.promote(request.chosen)
	}
	supervisor := request.supervisor
	if !supervisor.waits || supervisor.token != request.token {
		return
	}
	supervisor.led = supervisor.handover.PauseTerm
	supervisor.proxy.closures.RecordLead(model.primary.name, model.primary.term, spool.Instant(model.now))
	model.end(supervisor)
	model.answer()
}

// settle has a supervisor tell the proxies that its request for the present primary has changed nothing, once requests that were
// accepted before would have taken effect.
func (model *handoverModel) settle(supervisor *modelSupervisor) {
	if !supervisor.waits || supervisor.handover.Cause != CauseConfirmed || model.isEffectDue() && !model.rules.settleAtOnce {
		return
	}
	unchanged := model.primary.name == supervisor.handover.Chosen && model.primary.term < supervisor.handover.PauseTerm
	for _, proxy := range model.proxies {
		if unchanged && !model.primary.hidden && !proxy.down && !proxy.cut {
			proxy.closures.Settle(uint64(supervisor.token))
		}
	}
	model.end(supervisor)
	model.answer()
}

// promote makes a server the primary of the next term.
func (model *handoverModel) promote(chosen spool.Server) {
	for _, position := range model.primary.log {
		_, waits := model.waiting[position]
		if _, answered := model.acked[position]; !answered && !waits {
			model.acked[position] = false // its primary leads no longer
		}
	}
	for _, server := range model.servers {
		if server.name == chosen {
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
