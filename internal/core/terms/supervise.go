package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// supervise orders the replicas to follow the open term, switches over from a leaving primary and keeps the platform's
// record up to date.
func (leader *Leader) supervise(now spool.Instant) {
	leader.orderFollowers(now)
	leader.switchOver(now)
	if leader.phase != phaseOpen {
		return
	}
	platform := &leader.platform
	if platform.pending != nil || platform.readWanted || platform.reading || now < platform.retryAt {
		return
	}
	if leader.laterTermSeen(now) {
		leader.raiseTerm(now)
		return
	}
	if platform.record.GetTerm() == leader.record.Term && platform.record.Opened {
		return
	}
	leader.writeRecord(writeOpened, proto.Clone(leader.record).(*wire.TermRecord), now)
}

// laterTermSeen reports whether the platform or a server shows a later term, which was never opened.
func (leader *Leader) laterTermSeen(now spool.Instant) bool {
	if leader.platform.record.GetTerm() > leader.record.Term {
		return true
	}
	for _, view := range leader.servers {
		if view.fresh(now, leader.config.MaxStatusAge) && uint64(view.status.Term) > leader.record.Term {
			return true
		}
	}
	return false
}

// raiseTerm records a term above all known ones for the same primary, because servers refuse to follow a lower term.
func (leader *Leader) raiseTerm(now spool.Instant) {
	highest := max(leader.record.Term, leader.platform.record.GetTerm(), uint64(leader.servers.highestTerm()))
	leader.writeRecord(writeRaise, &wire.TermRecord{
		Group:   string(leader.group),
		Term:    highest + 1,
		Primary: leader.record.Primary,
		History: historyOf(leader.record),
	}, now)
}

// orderFollowers orders servers with a lower term to replicate from the primary.
func (leader *Leader) orderFollowers(now spool.Instant) {
	for _, name := range leader.servers.names() {
		view := leader.servers[name]
		if name == spool.Server(leader.record.Primary) || !view.fresh(now, leader.config.MaxStatusAge) {
			continue
		}
		if uint64(view.status.Term) >= leader.record.Term {
			continue
		}
		if view.followSent && now.Sub(view.followSentAt) < leader.config.FollowInterval {
			continue
		}
		view.followSent = true
		view.followSentAt = now
		leader.emit(Follow{
			Server:  name,
			Term:    spool.Term(leader.record.Term),
			Primary: spool.Server(leader.record.Primary),
		})
	}
}
