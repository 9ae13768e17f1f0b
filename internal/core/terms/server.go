package terms

import (
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// servers are the group's backend servers as this proxy sees them.
type servers map[spool.Server]*view

type view struct {
	spec         spool.ServerSpec
	status       spool.ServerStatus
	answered     bool
	sentAt       spool.Instant // when the status was asked for
	failedAt     spool.Instant // when the latest poll without an answer was sent
	refusals     int           // polls refused since the last answer
	ordered      bool
	orderedAt    spool.Instant // the latest Follow
	shunnedUntil spool.Instant
}

func (servers servers) set(specs []spool.ServerSpec) {
	named := map[spool.Server]bool{}
	for _, spec := range specs {
		named[spec.Name] = true
		if servers[spec.Name] == nil {
			servers[spec.Name] = &view{}
		}
		servers[spec.Name].spec = spec
	}
	for name := range servers {
		if !named[name] {
			delete(servers, name)
		}
	}
}

func (servers servers) seen(event StatusSeen) {
	view := servers[event.Status.Server]
	if view == nil || (view.answered && event.SentAt < view.sentAt) {
		return
	}
	view.answered = true
	view.status = event.Status
	view.sentAt = event.SentAt
	view.refusals = 0
}

func (servers servers) failed(event StatusFailed) {
	view := servers[event.Server]
	if view == nil || (view.answered && event.SentAt < view.sentAt) {
		return
	}
	view.failedAt = max(view.failedAt, event.SentAt)
	if event.Refused {
		view.refusals++
	}
}

func (servers servers) forgetOrders() {
	for _, view := range servers {
		view.ordered = false
	}
}

func (servers servers) forgetRefusals() {
	for _, view := range servers {
		view.refusals = 0
	}
}

// names returns the servers' names in a stable order.
func (servers servers) names() []spool.Server {
	names := make([]spool.Server, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// heard tells whether every server but one answered or failed a poll that was sent since the instant.
func (servers servers) heard(since spool.Instant, except spool.Server) bool {
	for name, view := range servers {
		if name != except && !view.heardSince(since) {
			return false
		}
	}
	return true
}

// highestTerm returns the highest term that any server has shown.
func (servers servers) highestTerm() spool.Term {
	var highest spool.Term
	for _, view := range servers {
		highest = max(highest, view.status.Term)
	}
	return highest
}

// highestPrimary returns the status of the server that says Primary in the highest term.
func (servers servers) highestPrimary(now spool.Instant, fresh time.Duration) (spool.ServerStatus, bool) {
	var best spool.ServerStatus
	found := false
	for _, name := range servers.names() {
		view := servers[name]
		if !view.fresh(now, fresh) || !view.status.Primary {
			continue
		}
		if !found || view.status.Term > best.Term {
			best, found = view.status, true
		}
	}
	return best, found
}

// followed tells whether a server replicates in the term, which shows that the term was opened.
func (servers servers) followed(term spool.Term) bool {
	for _, view := range servers {
		if view.answered && !view.status.Primary && view.status.Term == term {
			return true
		}
	}
	return false
}

func (view *view) heardSince(since spool.Instant) bool {
	return (view.answered && view.sentAt >= since) || view.failedAt >= since
}

func (view *view) fresh(now spool.Instant, age time.Duration) bool {
	return view.answered && now.Sub(view.sentAt) < age
}
