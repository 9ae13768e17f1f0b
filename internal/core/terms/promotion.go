package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// promotion is the state of the promote orders to the recorded primary.
type promotion struct {
	startedAt spool.Instant
	sentAt    spool.Instant
	sent      bool
	waiting   bool
	failures  int
}

func (leader *Leader) startPromotion(now spool.Instant) {
	leader.phase = phasePromoting
	leader.promotion = promotion{startedAt: now}
	leader.note(ReasonPromoting)
	leader.sendPromote(now)
}

// sendPromote repeats the promote order, which is idempotent, and chooses another candidate after too many failures.
func (leader *Leader) sendPromote(now spool.Instant) {
	promotion := &leader.promotion
	if promotion.waiting && now.Sub(promotion.sentAt) >= leader.config.PromoteTimeout {
		promotion.waiting = false
		promotion.failures++
	}
	if promotion.failures >= leader.config.MaxPromoteFailures {
		if view := leader.servers[spool.Server(leader.record.Primary)]; view != nil {
			view.backoffUntil = now.Add(leader.config.CandidateBackoff)
		}
		leader.replacePrimary(ReasonCandidateFailed, now)
		return
	}
	if promotion.waiting || (promotion.sent && now.Sub(promotion.sentAt) < leader.config.PromoteRetry) {
		return
	}
	promotion.sent = true
	promotion.waiting = true
	promotion.sentAt = now
	leader.emit(Promote{Server: spool.Server(leader.record.Primary), Term: spool.Term(leader.record.Term)})
}

func (leader *Leader) promoteFailed(event PromoteFailed) {
	if leader.phase != phasePromoting || uint64(event.Term) != leader.record.Term {
		return
	}
	if event.Server != spool.Server(leader.record.Primary) || !leader.promotion.waiting {
		return
	}
	leader.promotion.waiting = false
	leader.promotion.failures++
}

// reopenIfReturned reopens the recorded term if its primary answers again before the platform confirms the claim.
func (leader *Leader) reopenIfReturned(now spool.Instant) {
	pending := leader.platform.pending
	if pending == nil || pending.waiting || !leader.record.GetOpened() || !leader.primaryConfirmed(now) {
		return
	}
	leader.platform.abortWrite()
	leader.platform.readWanted = true
	leader.note(ReasonPrimaryReturned)
	leader.requestVotes()
}

// checkPromoted requests votes once the candidate's status shows it as the primary of the recorded term.
func (leader *Leader) checkPromoted(status spool.ServerStatus, sentAt, now spool.Instant) {
	if leader.phase != phasePromoting || sentAt < leader.promotion.startedAt {
		return
	}
	if status.Server != spool.Server(leader.record.Primary) || uint64(status.Term) != leader.record.Term || !status.Primary {
		return
	}
	record := proto.Clone(leader.record).(*wire.TermRecord)
	record.Start = uint64(status.Start)
	record.Opened = true
	leader.record = record
	leader.checkSince = now
	if leader.config.noVote {
		leader.openTerm(now)
		return
	}
	leader.requestVotes()
}
