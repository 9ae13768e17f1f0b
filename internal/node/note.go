package node

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

var topicEvents = map[core.Topic]event.Number{
	core.TopicGroupLeaseAcquired: event.GroupLeaseAcquired,
	core.TopicGroupLeaseLost:     event.GroupLeaseLost,
	core.TopicTeamLeaseAcquired:  event.TeamLeaseAcquired,
	core.TopicTeamLeaseLost:      event.TeamLeaseLost,
	core.TopicTermOpened:         event.TermOpened,
	core.TopicQuorumChanged:      event.QuorumChanged,
	core.TopicManifestAccepted:   event.ManifestAccepted,
	core.TopicObjectRejected:     event.ManifestRejected,
	core.TopicKeyWithdrawn:       event.KeyWithdrawn,
}

// termEvents maps the reasons of term steps to events; acquired leases and opened terms have topics of their own.
var termEvents = map[terms.Reason]event.Number{
	terms.ReasonPrimarySuspected:    event.TermPrimarySuspected,
	terms.ReasonPrimaryReturned:     event.FailoverAborted,
	terms.ReasonSuspicionRefuted:    event.FailoverAborted,
	terms.ReasonFailureConfirmed:    event.PromotionStarted,
	terms.ReasonNewerTerm:           event.PromotionStarted,
	terms.ReasonPrimaryMismatch:     event.PromotionStarted,
	terms.ReasonPrimaryLeaving:      event.PromotionStarted,
	terms.ReasonCandidateFailed:     event.PromotionStarted,
	terms.ReasonPromoting:           event.TermPromotionRequested,
	terms.ReasonNoCandidate:         event.PromotionBlocked,
	terms.ReasonWriteUnknown:        event.TermUpdateUnknown,
	terms.ReasonPlatformUnreachable: event.PromotionBlocked,
}

// recordNote writes a decision of the core to the log and the audit trail; calls must not overlap.
func (node *Node) recordNote(note core.Note) {
	number := topicEvents[note.Topic]
	if note.Topic == core.TopicTermStep {
		number = termEvents[terms.Reason(note.Text)]
	}
	if number > 0 {
		event.Log(node.logger, number, noteFields(note)...)
	}
	switch note.Topic {
	case core.TopicTermStep:
		if terms.Reason(note.Text) == terms.ReasonPromoting {
			node.promotions[note.Group] = note.Term
		}
	case core.TopicTermOpened:
		node.recordTermOpened(note)
	case core.TopicQuorumChanged:
		node.auditTrail.recordQuorumChange(note.Version, node.core.Quorum())
	case core.TopicObjectRejected:
		node.auditTrail.recordRejected(note)
	}
}

// recordTermOpened counts and records a failover; a term continued by a new leader without a promotion is not counted.
func (node *Node) recordTermOpened(note core.Note) {
	if node.promotions[note.Group] != note.Term {
		return
	}
	delete(node.promotions, note.Group)
	node.metrics.CountFailover(note.Group)
	node.auditTrail.recordPromotion(note)
}

func noteFields(note core.Note) []zap.Field {
	fields := []zap.Field{}
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, zap.String(name, value))
		}
	}
	add("Group", string(note.Group))
	add("Team", string(note.Team))
	add("Server", string(note.Server))
	add("Partner", string(note.Partner))
	add("Key", note.Key)
	add("Text", note.Text)
	if note.Term > 0 {
		fields = append(fields, zap.Uint64("Term", uint64(note.Term)))
	}
	if note.Version > 0 {
		fields = append(fields, zap.Uint64("Version", uint64(note.Version)))
	}
	return fields
}

// logFollowing logs once per term that a server follows the primary.
func (node *Node) logFollowing(group spool.Group, server spool.Server, term spool.Term) {
	if logged, _ := node.followedTerms.get(server); logged == term {
		return
	}
	node.followedTerms.set(server, term)
	event.Log(node.logger, event.ServerDemoted, noteFields(core.Note{Group: group, Server: server, Term: term})...)
}
