package node

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

var noteEvents = map[core.Topic]event.Number{
	core.TopicLeaderTaken: event.GroupLeaseAcquired,
	core.TopicLeaderLost:  event.GroupLeaseLost,
	core.TopicOwnerTaken:  event.TeamLeaseAcquired,
	core.TopicOwnerLost:   event.TeamLeaseLost,
	core.TopicTermOpened:  event.TermOpened,
	core.TopicQuorum:      event.QuorumChanged,
	core.TopicAccepted:    event.ManifestAccepted,
	core.TopicRejected:    event.ManifestRejected,
	core.TopicWithdrawn:   event.KeyWithdrawn,
}

// termEvents are the events of a leader's steps; the gain of the lease and an opened term have notes of their own.
var termEvents = map[terms.Reason]event.Number{
	terms.ReasonSuspected:     event.TermPrimarySuspected,
	terms.ReasonReturned:      event.FailoverAborted,
	terms.ReasonContradicted:  event.FailoverAborted,
	terms.ReasonConfirmed:     event.PromotionStarted,
	terms.ReasonReplaced:      event.PromotionStarted,
	terms.ReasonMisplaced:     event.PromotionStarted,
	terms.ReasonLeaving:       event.PromotionStarted,
	terms.ReasonCandidateGone: event.PromotionStarted,
	terms.ReasonPromoting:     event.TermPromotionRequested,
	terms.ReasonNoCandidate:   event.PromotionBlocked,
	terms.ReasonWriteUnknown:  event.TermUpdateUnknown,
	terms.ReasonPlatformGone:  event.PromotionBlocked,
}

// note writes a decision to the log and the audit trail; calls come one at a time.
func (node *Node) note(note core.Note) {
	number := noteEvents[note.Topic]
	if note.Topic == core.TopicTerm {
		number = termEvents[terms.Reason(note.Text)]
	}
	if number > 0 {
		event.Log(node.logger, number, noteFields(note)...)
	}
	switch note.Topic {
	case core.TopicTerm:
		if terms.Reason(note.Text) == terms.ReasonPromoting {
			node.promotions[note.Group] = note.Term
		}
	case core.TopicTermOpened:
		node.termOpened(note)
	case core.TopicQuorum:
		node.trail.quorumChanged(note.Version, node.core.Quorum())
	case core.TopicRejected:
		node.trail.rejected(note)
	}
}

// termOpened counts and records a term that a promotion brought about, unlike one that a new leader goes on with.
func (node *Node) termOpened(note core.Note) {
	if node.promotions[note.Group] != note.Term {
		return
	}
	delete(node.promotions, note.Group)
	node.metrics.CountFailover(note.Group)
	node.trail.promoted(note)
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

// followed logs once for each term that a server follows its primary.
func (node *Node) followed(group spool.Group, server spool.Server, term spool.Term) {
	if logged, _ := node.follows.get(server); logged == term {
		return
	}
	node.follows.set(server, term)
	event.Log(node.logger, event.ServerDemoted, noteFields(core.Note{Group: group, Server: server, Term: term})...)
}
