package terms

import (
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// servers holds the latest status of the group's backend servers.
type servers map[spool.Server]*serverView

type serverView struct {
	spec         spool.ServerSpec
	status       spool.ServerStatus
	answered     bool
	sentAt       spool.Instant // when the poll that returned the status was sent
	failedAt     spool.Instant // when the latest failed poll was sent
	refusals     int           // refused polls since the last answer
	followSent   bool
	followSentAt spool.Instant // when the latest Follow was sent
	backoffUntil spool.Instant // until then the server is promoted only as a last resort
}

func (servers servers) update(specs []spool.ServerSpec) {
	listed := map[spool.Server]bool{}
	for _, spec := range specs {
		listed[spec.Name] = true
		if servers[spec.Name] == nil {
			servers[spec.Name] = &serverView{}
		}
		servers[spec.Name].spec = spec
	}
	for name := range servers {
		if !listed[name] {
			delete(servers, name)
		}
	}
}

func (servers servers) recordStatus(event StatusReceived) {
	view := servers[event.Status.Server]
	if view == nil || (view.answered && event.SentAt < view.sentAt) {
		return
	}
	view.answered = true
	view.status = event.Status
	view.sentAt = event.SentAt
	view.refusals = 0
}

func (servers servers) recordFailure(event StatusFailed) {
	view := servers[event.Server]
	if view == nil || (view.answered && event.SentAt < view.sentAt) {
		return
	}
	view.failedAt = max(view.failedAt, event.SentAt)
	if event.Refused {
		view.refusals++
	}
}

func (servers servers) resetFollows() {
	for _, view := range servers {
		view.followSent = false
	}
}

func (servers servers) resetRefusals() {
	for _, view := range servers {
		view.refusals = 0
	}
}

// names returns the servers' names in sorted order.
func (servers servers) names() []spool.Server {
	names := make([]spool.Server, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// polledSince reports whether every server except one answered or failed a poll that was sent at or after since.
func (servers servers) polledSince(since spool.Instant, except spool.Server) bool {
	for name, view := range servers {
		if name != except && !view.polledSince(since) {
			return false
		}
	}
	return true
}

// highestTerm returns the highest term in any server's status.
func (servers servers) highestTerm() spool.Term {
	var highest spool.Term
	for _, view := range servers {
		highest = max(highest, view.status.Term)
	}
	return highest
}

// highestPrimary returns the status of the server that reports to be the primary of the highest term.
func (servers servers) highestPrimary(now spool.Instant, maxAge time.Duration) (spool.ServerStatus, bool) {
	var best spool.ServerStatus
	found := false
	for _, name := range servers.names() {
		view := servers[name]
		if !view.fresh(now, maxAge) || !view.status.Primary {
			continue
		}
		if !found || view.status.Term > best.Term {
			best, found = view.status, true
		}
	}
	return best, found
}

// hasReplica reports whether a server replicates in the term, which proves that the term was opened.
func (servers servers) hasReplica(term spool.Term) bool {
	for _, view := range servers {
		if view.answered && !view.status.Primary && view.status.Term == term {
			return true
		}
	}
	return false
}

func (view *serverView) polledSince(since spool.Instant) bool {
	return (view.answered && view.sentAt >= since) || view.failedAt >= since
}

func (view *serverView) fresh(now spool.Instant, maxAge time.Duration) bool {
	return view.answered && now.Sub(view.sentAt) < maxAge
}
