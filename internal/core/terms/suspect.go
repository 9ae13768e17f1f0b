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
func (keeper *Keeper) watch(now spool.Instant) {
	if keeper.phase != phaseResuming && keeper.phase != phasePledging && keeper.phase != phaseOpen {
		return
	}
	if keeper.misplaced(now) {
		keeper.replace(ReasonMisplaced, now)
		return
	}
	if !keeper.silent(now) {
		keeper.trust()
		return
	}
	keeper.suspect(now)
	keeper.probe(now)
	keeper.judge(now)
}

// shows tells whether the primary's own status shows it in the recorded term.
func (keeper *Keeper) shows(now spool.Instant) bool {
	view := keeper.servers[spool.Server(keeper.record.Primary)]
	if view == nil || !view.fresh(now, keeper.config.Fresh) || view.sentAt < keeper.checkedAt {
		return false
	}
	return view.status.Primary && view.status.Term == spool.Term(keeper.record.Term)
}

// misplaced tells whether the primary answers, but not as the primary of the recorded term, or is no server any more.
func (keeper *Keeper) misplaced(now spool.Instant) bool {
	view := keeper.servers[spool.Server(keeper.record.Primary)]
	if view == nil {
		return len(keeper.servers) > 0
	}
	if view.sentAt < keeper.checkedAt || !view.fresh(now, keeper.config.Fresh) {
		return false
	}
	return !keeper.shows(now)
}

// silent tells whether the primary has not answered for too long or refuses.
func (keeper *Keeper) silent(now spool.Instant) bool {
	view := keeper.servers[spool.Server(keeper.record.Primary)]
	if view == nil {
		return false
	}
	if view.refusals >= keeper.config.Refusals {
		return true
	}
	last := max(view.sentAt, keeper.gainedAt, keeper.wokenAt, keeper.checkedAt)
	return now.Sub(last) >= keeper.config.SuspectAfter
}

func (keeper *Keeper) trust() {
	if keeper.suspicion.active {
		keeper.suspicion = suspicion{}
		keeper.note(ReasonReturned)
	}
}

func (keeper *Keeper) suspect(now spool.Instant) {
	if keeper.suspicion.active {
		return
	}
	keeper.suspicion = suspicion{
		active: true,
		since:  now,
		sent:   map[uint64]spool.Instant{},
		views:  map[spool.VM]probeView{},
	}
	keeper.note(ReasonSuspected)
}

// probe asks the other witnesses whether they reach the primary.
func (keeper *Keeper) probe(now spool.Instant) {
	suspicion := &keeper.suspicion
	if len(suspicion.sent) > 0 && now.Sub(suspicion.probedAt) < keeper.config.ProbeEvery {
		return
	}
	suspicion.probedAt = now
	for sequence, sentAt := range suspicion.sent {
		if now.Sub(sentAt) >= keeper.config.ProbeTimeout {
			delete(suspicion.sent, sequence)
		}
	}
	for _, vm := range keeper.witnesses {
		if vm == keeper.self {
			continue
		}
		keeper.nonce++
		suspicion.sent[keeper.nonce] = now
		keeper.emit(Probe{To: vm, Request: &wire.ProbeRequest{
			Group:    string(keeper.group),
			Server:   keeper.record.Primary,
			Sequence: keeper.nonce,
		}})
	}
}

// judge acts on the witnesses' views once a majority agrees.
func (keeper *Keeper) judge(now spool.Instant) {
	reached, unreached, elsewhere := keeper.views(now)
	majority := len(keeper.witnesses)/2 + 1
	if keeper.config.noProbes || (unreached >= majority && elsewhere) {
		keeper.replace(ReasonConfirmed, now)
		return
	}
	if reached < majority || now.Sub(keeper.suspicion.since) < keeper.config.YieldAfter {
		return
	}
	keeper.note(ReasonContradicted)
	keeper.lose(ReasonContradicted)
	keeper.emit(Yield{BackOff: keeper.config.BackOff})
}

// views counts the witnesses that reach the primary and that do not, this proxy among them; elsewhere tells whether one
// of the latter is in another failure domain, if there is any other.
func (keeper *Keeper) views(now spool.Instant) (reached, unreached int, elsewhere bool) {
	elsewhere = !slices.ContainsFunc(keeper.witnesses, keeper.isElsewhere)
	for _, vm := range keeper.witnesses {
		if vm == keeper.self {
			unreached++
			continue
		}
		view, ok := keeper.suspicion.views[vm]
		if !ok || now.Sub(view.sentAt) >= keeper.config.ProbeTimeout {
			continue
		}
		if view.reached {
			reached++
			continue
		}
		unreached++
		elsewhere = elsewhere || keeper.isElsewhere(vm)
	}
	return reached, unreached, elsewhere
}

func (keeper *Keeper) isElsewhere(vm spool.VM) bool {
	return keeper.domains[vm] != keeper.domains[keeper.self]
}
