package terms

import (
	"slices"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// suspicion is the state of a suspected primary failure and the probe results of other proxies.
type suspicion struct {
	active     bool
	since      spool.Instant
	probedAt   spool.Instant
	sentProbes map[uint64]spool.Instant // when each probe whose answer counts was sent, by sequence
	results    map[spool.VM]probeResult
}

type probeResult struct {
	sentAt  spool.Instant
	reached bool
}

func (suspicion *suspicion) recordAnswer(event ProbeAnswered) {
	sentAt, ok := suspicion.sentProbes[event.Answer.Sequence]
	if !ok || sentAt < suspicion.results[event.From].sentAt {
		return
	}
	suspicion.results[event.From] = probeResult{sentAt: sentAt, reached: event.Answer.Reached}
}

// watchPrimary replaces a primary that answers in another role or term. It suspects an unresponsive one and has the
// other witnesses probe it.
func (leader *Leader) watchPrimary(now spool.Instant) {
	if leader.phase != phaseResuming && leader.phase != phaseVoting && leader.phase != phaseOpen {
		return
	}
	if leader.primaryMismatch(now) {
		leader.replacePrimary(ReasonPrimaryMismatch, now)
		return
	}
	if !leader.primaryUnresponsive(now) {
		leader.clearSuspicion()
		return
	}
	leader.suspect(now)
	leader.sendProbes(now)
	leader.evaluateProbes(now)
}

// primaryConfirmed reports whether the primary's own fresh status shows it as primary of the recorded term.
func (leader *Leader) primaryConfirmed(now spool.Instant) bool {
	view := leader.servers[spool.Server(leader.record.Primary)]
	if view == nil || !view.fresh(now, leader.config.MaxStatusAge) || view.sentAt < leader.checkSince {
		return false
	}
	return view.status.Primary && view.status.Term == spool.Term(leader.record.Term)
}

// primaryMismatch reports whether the primary answers in another role or term, or is no longer among the servers.
func (leader *Leader) primaryMismatch(now spool.Instant) bool {
	view := leader.servers[spool.Server(leader.record.Primary)]
	if view == nil {
		return len(leader.servers) > 0
	}
	if view.sentAt < leader.checkSince || !view.fresh(now, leader.config.MaxStatusAge) {
		return false
	}
	return !leader.primaryConfirmed(now)
}

// primaryUnresponsive reports whether the primary has not answered within SuspectAfter or refused MaxRefusals polls.
func (leader *Leader) primaryUnresponsive(now spool.Instant) bool {
	view := leader.servers[spool.Server(leader.record.Primary)]
	if view == nil {
		return false
	}
	if view.refusals >= leader.config.MaxRefusals {
		return true
	}
	last := max(view.sentAt, leader.gainedAt, leader.pauseEndedAt, leader.checkSince)
	return now.Sub(last) >= leader.config.SuspectAfter
}

func (leader *Leader) clearSuspicion() {
	if leader.suspicion.active {
		leader.suspicion = suspicion{}
		leader.note(ReasonPrimaryReturned)
	}
}

func (leader *Leader) suspect(now spool.Instant) {
	if leader.suspicion.active {
		return
	}
	leader.suspicion = suspicion{
		active:     true,
		since:      now,
		sentProbes: map[uint64]spool.Instant{},
		results:    map[spool.VM]probeResult{},
	}
	leader.note(ReasonPrimarySuspected)
}

// sendProbes asks the other witnesses whether they reach the primary.
func (leader *Leader) sendProbes(now spool.Instant) {
	suspicion := &leader.suspicion
	if len(suspicion.sentProbes) > 0 && now.Sub(suspicion.probedAt) < leader.config.ProbeInterval {
		return
	}
	suspicion.probedAt = now
	for sequence, sentAt := range suspicion.sentProbes {
		if now.Sub(sentAt) >= leader.config.ProbeTimeout {
			delete(suspicion.sentProbes, sequence)
		}
	}
	for _, vm := range leader.witnesses {
		if vm == leader.self {
			continue
		}
		leader.nonce++
		suspicion.sentProbes[leader.nonce] = now
		leader.emit(Probe{To: vm, Request: &wire.ProbeRequest{
			Group:    string(leader.group),
			Server:   leader.record.Primary,
			Sequence: leader.nonce,
		}})
	}
}

// evaluateProbes replaces the primary if a majority of the witnesses does not reach it, and yields the lease if a
// majority does.
func (leader *Leader) evaluateProbes(now spool.Instant) {
	reached, unreached, otherDomain := leader.countProbeResults(now)
	majority := len(leader.witnesses)/2 + 1
	if leader.config.noProbes || (unreached >= majority && otherDomain) {
		leader.replacePrimary(ReasonFailureConfirmed, now)
		return
	}
	if reached < majority || now.Sub(leader.suspicion.since) < leader.config.YieldAfter {
		return
	}
	leader.note(ReasonSuspicionRefuted)
	leader.stepDown(ReasonSuspicionRefuted)
	leader.emit(Yield{Backoff: leader.config.YieldBackoff})
}

// countProbeResults counts the witnesses that reach the primary and those that do not, this proxy included; otherDomain
// reports whether one of the latter is in another failure domain, or that no witness is.
func (leader *Leader) countProbeResults(now spool.Instant) (reached, unreached int, otherDomain bool) {
	otherDomain = !slices.ContainsFunc(leader.witnesses, leader.inOtherDomain)
	for _, vm := range leader.witnesses {
		if vm == leader.self {
			unreached++
			continue
		}
		result, ok := leader.suspicion.results[vm]
		if !ok || now.Sub(result.sentAt) >= leader.config.ProbeTimeout {
			continue
		}
		if result.reached {
			reached++
			continue
		}
		unreached++
		otherDomain = otherDomain || leader.inOtherDomain(vm)
	}
	return reached, unreached, otherDomain
}

func (leader *Leader) inOtherDomain(vm spool.VM) bool {
	return leader.domains[vm] != leader.domains[leader.self]
}
