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
	auditDuty    = "Audit"
	trailTend    = 500 * time.Millisecond
	trailSettle  = 1 * time.Second
	trailHold    = 30 * time.Second
	trailLimit   = 1024 // entries held
	trailPartTry = 1 * time.Second
	trailPoll    = 10 * time.Millisecond
)

// trail records in the platform what operators need to reconstruct.
//
// What all proxies see is held by each of them and written by one, which ranks first; when that one goes, the next
// writes what it holds, and the names of the entries keep the trail free of doubles.
type trail struct {
	node    *Node
	writer  *audit.Writer
	started spool.Instant

	mutex sync.Mutex
	held  []heldEntry
}

// heldEntry is an entry that another proxy is expected to write.
type heldEntry struct {
	name  string
	entry audit.Entry
	since spool.Instant
}

func newTrail(node *Node) *trail {
	writer := audit.NewWriter(node.platform, string(node.settings.VM),
		audit.WithTimers(node.timers),
		audit.WithLostHandler(func(name string) {
			event.Log(node.logger, event.AuditEntryLost, zap.String("Entry", name))
		}),
	)
	return &trail{node: node, writer: writer, started: node.timers.Now()}
}

func (trail *trail) start(ctx context.Context) {
	go trail.writer.Run(ctx)
	context.AfterFunc(ctx, trail.node.timers.Every(trailTend, spool.TimerFunc(trail.tend)))
}

// tend writes what is held if this proxy ranks first, and else forgets what another one had the time to write.
func (trail *trail) tend(now spool.Instant) {
	if now.Sub(trail.started) < trailSettle {
		return
	}
	trail.node.mutex.Lock()
	rank, may := trail.node.core.Rank(auditDuty)
	confirmed := trail.node.core.PlatformConfirmed(now)
	trail.node.mutex.Unlock()
	if may && rank == 0 {
		trail.write()
		return
	}
	trail.forget(confirmed, now)
}

func (trail *trail) write() {
	trail.mutex.Lock()
	held := trail.held
	trail.held = nil
	trail.mutex.Unlock()
	for _, held := range held {
		trail.writer.RecordOnce(held.name, held.entry)
	}
}

// forget drops entries whose time is up; it does not run while the platform cannot take them.
func (trail *trail) forget(confirmed bool, now spool.Instant) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	kept := trail.held[:0]
	for _, held := range trail.held {
		if !confirmed {
			held.since = now
		}
		if now.Sub(held.since) < trailHold {
			kept = append(kept, held)
		}
	}
	trail.held = kept
}

func (trail *trail) hold(name string, entry audit.Entry) {
	trail.mutex.Lock()
	defer trail.mutex.Unlock()
	if len(trail.held) >= trailLimit {
		trail.held = trail.held[1:]
	}
	entry.At = time.Now()
	trail.held = append(trail.held, heldEntry{name: name, entry: entry, since: trail.node.timers.Now()})
}

// finish gives the last entries of a leaving proxy a moment to be written.
func (trail *trail) finish() {
	deadline := trail.node.timers.Now().Add(trailPartTry)
	for trail.writer.Pending() > 0 && trail.node.timers.Now() < deadline {
		time.Sleep(trailPoll)
	}
}

// accepted records that a manifest is in force, and the keys that it ended.
func (trail *trail) accepted(change policy.Change) {
	entry := audit.Entry{
		Action: audit.ActionAccept, Object: spool.KindManifest + "/" + string(change.Partner), Version: change.Version,
	}
	trail.hold(versionedName(entry.Action, string(change.Partner), change.Version), entry)
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
	trail.hold(versionedName(entry.Action, string(change.Partner), change.Version), entry)
}

func (trail *trail) rejected(note core.Note) {
	if note.Partner == "" {
		return
	}
	trail.hold(versionedName(audit.ActionReject, string(note.Partner), note.Version), audit.Entry{
		Action: audit.ActionReject, Object: spool.KindManifest + "/" + string(note.Partner),
		Version: note.Version, Detail: note.Text,
	})
}

func (trail *trail) quorumChanged(version spool.Version, quorum lease.Quorum) {
	detail := fmt.Sprintf("witnesses %v", quorum.Members)
	if quorum.Changing {
		detail += fmt.Sprintf(", to become %v", quorum.Next)
	}
	trail.hold(versionedName(audit.ActionQuorum, lease.QuorumName, version), audit.Entry{
		Action: audit.ActionQuorum, Object: spool.KindQuorum + "/" + lease.QuorumName, Version: version, Detail: detail,
	})
}

// promoted records a term that this proxy opened after a promotion; no other proxy needs to.
func (trail *trail) promoted(note core.Note) {
	name := fmt.Sprintf("%s-%s-%d", audit.ActionPromote, note.Group, note.Term)
	trail.writer.RecordOnce(name, audit.Entry{
		Action: audit.ActionPromote, Object: spool.KindTerm + "/" + string(note.Group),
		Detail: fmt.Sprintf("term %d opened on %s, hosted by %s", note.Term, note.Server, trail.node.settings.VM),
	})
}

func versionedName(action, name string, version spool.Version) string {
	return fmt.Sprintf("%s-%s-%d", action, name, version)
}
