package terms

import (
	"slices"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// suspicion is the doubt about the recorded primary, and what other proxies say of it.
type suspicion struct {
	active   bool
	since    spool.Instant
	probedAt spool.Instant
	sent     map[uint64]spool.Instant
	views    map[spool.VM]probeView
}

type probeView struct {
	sentAt  spool.Instant
	reached bool
}

func (suspicion *suspicion) answer(event ProbeSeen) {
	sentAt, ok := suspicion.sent[event.Answer.Sequence]
	if !ok || sentAt < suspicion.views[event.From].sentAt {
		return
	}
	suspicion.views[event.From] = probeView{sentAt: sentAt, reached: event.Answer.Reached}
}

// watch suspects the recorded primary and replaces it once a majority of the witnesses does not reach it.
func (leader *Leader) watch(now spool.Instant) {
	if leader.phase != phaseResuming && leader.phase != phaseVoting && leader.phase != phaseOpen {
		return
	}
	if leader.misplaced(now) {
		leader.replace(ReasonMisplaced, now)
		return
	}
	if !leader.silent(now) {
		leader.trust()
		return
	}
	leader.suspect(now)
	leader.probe(now)
	leader.judge(now)
}

// shows tells whether the primary's own status shows it in the recorded term.
func (leader *Leader) shows(now spool.Instant) bool {
	view := leader.servers[spool.Server(leader.record.Primary)]
	if view == nil || !view.fresh(now, leader.config.Fresh) || view.sentAt < leader.checkedAt {
		return false
	}
	return view.status.Primary && view.status.Term == spool.Term(leader.record.Term)
}

// misplaced tells whether the primary answers, but not as the primary of the recorded term, or is no server any more.
func (leader *Leader) misplaced(now spool.Instant) bool {
	view := leader.servers[spool.Server(leader.record.Primary)]
	if view == nil {
		return len(leader.servers) > 0
	}
	if view.sentAt < leader.checkedAt || !view.fresh(now, leader.config.Fresh) {
		return false
	}
	return !leader.shows(now)
}

// silent tells whether the primary has not answered for too long or refuses.
func (leader *Leader) silent(now spool.Instant) bool {
	view := leader.servers[spool.Server(leader.record.Primary)]
	if view == nil {
		return false
	}
	if view.refusals >= leader.config.Refusals {
		return true
	}
	last := max(view.sentAt, leader.gainedAt, leader.wokenAt, leader.checkedAt)
	return now.Sub(last) >= leader.config.SuspectAfter
}

func (leader *Leader) trust() {
	if leader.suspicion.active {
		leader.suspicion = suspicion{}
		leader.note(ReasonReturned)
	}
}

func (leader *Leader) suspect(now spool.Instant) {
	if leader.suspicion.active {
		return
	}
	leader.suspicion = suspicion{
		active: true,
		since:  now,
		sent:   map[uint64]spool.Instant{},
		views:  map[spool.VM]probeView{},
	}
	leader.note(ReasonSuspected)
}

// probe asks the other witnesses whether they reach the primary.
func (leader *Leader) probe(now spool.Instant) {
	suspicion := &leader.suspicion
	if len(suspicion.sent) > 0 && now.Sub(suspicion.probedAt) < leader.config.ProbeEvery {
		return
	}
	suspicion.probedAt = now
	for sequence, sentAt := range suspicion.sent {
		if now.Sub(sentAt) >= leader.config.ProbeTimeout {
			delete(suspicion.sent, sequence)
		}
	}
	for _, vm := range leader.witnesses {
		if vm == leader.self {
			continue
		}
		leader.nonce++
		suspicion.sent[leader.nonce] = now
		leader.emit(Probe{To: vm, Request: &wire.ProbeRequest{
			Group:    string(leader.group),
			Server:   leader.record.Primary,
			Sequence: leader.nonce,
		}})
	}
}

// judge acts on the witnesses' views once a majority agrees.
func (leader *Leader) judge(now spool.Instant) {
	reached, unreached, elsewhere := leader.views(now)
	majority := len(leader.witnesses)/2 + 1
	if leader.config.noProbes || (unreached >= majority && elsewhere) {
		leader.replace(ReasonConfirmed, now)
		return
	}
	if reached < majority || now.Sub(leader.suspicion.since) < leader.config.YieldAfter {
		return
	}
	leader.note(ReasonContradicted)
	leader.lose(ReasonContradicted)
	leader.emit(Yield{BackOff: leader.config.BackOff})
}

// views counts the witnesses that reach the primary and that do not, this proxy among them; elsewhere tells whether one
// of the latter is in another failure domain, if there is any other.
func (leader *Leader) views(now spool.Instant) (reached, unreached int, elsewhere bool) {
	elsewhere = !slices.ContainsFunc(leader.witnesses, leader.isElsewhere)
	for _, vm := range leader.witnesses {
		if vm == leader.self {
			unreached++
			continue
		}
		view, ok := leader.suspicion.views[vm]
		if !ok || now.Sub(view.sentAt) >= leader.config.ProbeTimeout {
			continue
		}
		if view.reached {
			reached++
			continue
		}
		unreached++
		elsewhere = elsewhere || leader.isElsewhere(vm)
	}
	return reached, unreached, elsewhere
}

func (leader *Leader) isElsewhere(vm spool.VM) bool {
	return leader.domains[vm] != leader.domains[leader.self]
}
