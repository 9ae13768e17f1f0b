package node

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

const (
	auditRole          = "Audit"
	auditFlushInterval = 500 * time.Millisecond
	auditStartDelay    = 1 * time.Second
	auditHoldTime      = 30 * time.Second
	maxHeldEntries     = 1024
	auditDrainTimeout  = 1 * time.Second
	auditDrainPoll     = 10 * time.Millisecond
)

// auditTrail records decisions in the platform, for operators who reconstruct what happened.
//
// Every proxy holds the entries for decisions that all proxies see, but only the first-ranked proxy writes them.
// If it fails, the next in rank writes the entries that it holds; equal entry names prevent duplicates.
type auditTrail struct {
	node      *Node
	writer    *audit.Writer
	startedAt spool.Instant

	mutex sync.Mutex
	held  []heldEntry
}

// heldEntry is an entry that the first-ranked proxy is expected to write.
type heldEntry struct {
	name      string
	entry     audit.Entry
	heldSince spool.Instant
}

func newAuditTrail(node *Node) *auditTrail {
	writer := audit.NewWriter(node.platform, string(node.settings.VM),
		audit.WithTimers(node.timers),
		audit.WithLostHandler(func(name string) {
			event.Log(node.logger, event.AuditEntryLost, zap.String("Entry", name))
		}),
	)
	return &auditTrail{node: node, writer: writer, startedAt: node.timers.Now()}
}

func (auditTrail *auditTrail) start(ctx context.Context) {
	go auditTrail.writer.Run(ctx)
	context.AfterFunc(ctx, auditTrail.node.timers.Every(auditFlushInterval, spool.TimerFunc(auditTrail.flushOrDrop)))
}

// flushOrDrop writes the held entries if this proxy ranks first, and otherwise drops those whose hold time is over.
func (auditTrail *auditTrail) flushOrDrop(now spool.Instant) {
	if now.Sub(auditTrail.startedAt) < auditStartDelay {
		return
	}
	auditTrail.node.mutex.Lock()
	rank, ranked := auditTrail.node.core.Rank(auditRole)
	platformReachable := auditTrail.node.core.PlatformConfirmed(now)
	auditTrail.node.mutex.Unlock()
	if ranked && rank == 0 {
		auditTrail.flush()
		return
	}
	auditTrail.dropExpired(platformReachable, now)
}

func (auditTrail *auditTrail) flush() {
	auditTrail.mutex.Lock()
	held := auditTrail.held
	auditTrail.held = nil
	auditTrail.mutex.Unlock()
	for _, held := range held {
		auditTrail.writer.RecordOnce(held.name, held.entry)
	}
}

// dropExpired drops entries after their hold time, which restarts while the platform is unreachable.
func (auditTrail *auditTrail) dropExpired(platformReachable bool, now spool.Instant) {
	auditTrail.mutex.Lock()
	defer auditTrail.mutex.Unlock()
	kept := auditTrail.held[:0]
	for _, held := range auditTrail.held {
		if !platformReachable {
			held.heldSince = now
		}
		if now.Sub(held.heldSince) < auditHoldTime {
			kept = append(kept, held)
		}
	}
	auditTrail.held = kept
}

func (auditTrail *auditTrail) hold(name string, entry audit.Entry) {
	auditTrail.mutex.Lock()
	defer auditTrail.mutex.Unlock()
	if len(auditTrail.held) >= maxHeldEntries {
		auditTrail.held = auditTrail.held[1:]
	}
	entry.At = time.Now()
	auditTrail.held = append(auditTrail.held, heldEntry{name: name, entry: entry, heldSince: auditTrail.node.timers.Now()})
}

// drain waits until the pending entries are written, at most for auditDrainTimeout.
func (auditTrail *auditTrail) drain() {
	deadline := auditTrail.node.timers.Now().Add(auditDrainTimeout)
	for auditTrail.writer.Pending() > 0 && auditTrail.node.timers.Now() < deadline {
		time.Sleep(auditDrainPoll)
	}
}

// recordAccepted records that a manifest is in force, and which keys it withdrew, removed or replaced.
func (auditTrail *auditTrail) recordAccepted(change policy.Change) {
	entry := audit.Entry{
		Action: audit.ActionAccept, Object: spool.KindManifest + "/" + string(change.Partner), Version: change.Version,
	}
	auditTrail.hold(versionedEntryName(entry.Action, string(change.Partner), change.Version), entry)
	parts := []string{}
	if len(change.Withdrawn) > 0 {
		parts = append(parts, "withdrawn or removed: "+strings.Join(change.Withdrawn, " "))
	}
	if len(change.Replaced) > 0 {
		parts = append(parts, "replaced: "+strings.Join(change.Replaced, " "))
	}
	if len(parts) == 0 {
		return
	}
	entry.Action = audit.ActionEndKeys
	entry.Detail = strings.Join(parts, "; ")
	auditTrail.hold(versionedEntryName(entry.Action, string(change.Partner), change.Version), entry)
}

func (auditTrail *auditTrail) recordRejected(note core.Note) {
	if note.Partner == "" {
		return
	}
	auditTrail.hold(versionedEntryName(audit.ActionReject, string(note.Partner), note.Version), audit.Entry{
		Action: audit.ActionReject, Object: spool.KindManifest + "/" + string(note.Partner),
		Version: note.Version, Detail: note.Text,
	})
}

func (auditTrail *auditTrail) recordQuorumChange(version spool.Version, quorum lease.Quorum) {
	detail := fmt.Sprintf("witnesses %v", quorum.Members)
	if quorum.Changing {
		detail += fmt.Sprintf(", to become %v", quorum.Next)
	}
	auditTrail.hold(versionedEntryName(audit.ActionQuorum, lease.QuorumName, version), audit.Entry{
		Action: audit.ActionQuorum, Object: spool.KindQuorum + "/" + lease.QuorumName, Version: version, Detail: detail,
	})
}

// recordPromotion records a term that this proxy opened after a promotion; no other proxy holds such an entry.
func (auditTrail *auditTrail) recordPromotion(note core.Note) {
	name := fmt.Sprintf("%s-%s-%d", audit.ActionPromote, note.Group, note.Term)
	auditTrail.writer.RecordOnce(name, audit.Entry{
		Action: audit.ActionPromote, Object: spool.KindTerm + "/" + string(note.Group),
		Detail: fmt.Sprintf("term %d opened on %s, hosted by %s", note.Term, note.Server, auditTrail.node.settings.VM),
	})
}

func versionedEntryName(action, name string, version spool.Version) string {
	return fmt.Sprintf("%s-%s-%d", action, name, version)
}
