package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// supervise keeps the platform's record and the replicas in step with the open term.
func (leader *Leader) supervise(now spool.Instant) {
	leader.follow(now)
	leader.handOver(now)
	if leader.phase != phaseOpen {
		return
	}
	store := &leader.store
	if store.pending != nil || store.wanted || store.reading || now < store.retryAt {
		return
	}
	if leader.outrun(now) {
		leader.raise(now)
		return
	}
	if store.record.GetTerm() == leader.record.Term && store.record.Opened {
		return
	}
	leader.write(writeOpened, proto.Clone(leader.record).(*wire.TermRecord), now)
}

// outrun tells whether the platform or a server shows a later term, which was never opened.
func (leader *Leader) outrun(now spool.Instant) bool {
	if leader.store.record.GetTerm() > leader.record.Term {
		return true
	}
	for _, view := range leader.servers {
		if view.fresh(now, leader.config.Fresh) && uint64(view.status.Term) > leader.record.Term {
			return true
		}
	}
	return false
}

// raise records a term above all that were seen for the same primary, so that every server can follow it.
func (leader *Leader) raise(now spool.Instant) {
	highest := max(leader.record.Term, leader.store.record.GetTerm(), uint64(leader.servers.highestTerm()))
	leader.write(writeRaise, &wire.TermRecord{
		Group:   string(leader.group),
		Term:    highest + 1,
		Primary: leader.record.Primary,
		History: historyOf(leader.record),
	}, now)
}

// follow orders servers whose status shows a lower term to replicate from the primary.
func (leader *Leader) follow(now spool.Instant) {
	for _, name := range leader.servers.names() {
		view := leader.servers[name]
		if name == spool.Server(leader.record.Primary) || !view.fresh(now, leader.config.Fresh) {
			continue
		}
		if uint64(view.status.Term) >= leader.record.Term {
			continue
		}
		if view.ordered && now.Sub(view.orderedAt) < leader.config.FollowEvery {
			continue
		}
		view.ordered = true
		view.orderedAt = now
		leader.emit(Follow{
			Server:  name,
			Term:    spool.Term(leader.record.Term),
			Primary: spool.Server(leader.record.Primary),
		})
	}
}
