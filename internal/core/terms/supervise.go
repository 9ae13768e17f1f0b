package terms

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
	"google.golang.org/protobuf/proto"
)

// supervise keeps the platform's record and the replicas in step with the open term.
func (keeper *Keeper) supervise(now spool.Instant) {
	keeper.follow(now)
	keeper.handOver(now)
	if keeper.phase != phaseOpen {
		return
	}
	store := &keeper.store
	if store.pending != nil || store.wanted || store.reading || now < store.retryAt {
		return
	}
	if keeper.outrun(now) {
		keeper.raise(now)
		return
	}
	if store.record.GetTerm() == keeper.record.Term && store.record.Opened {
		return
	}
	keeper.write(writeOpened, proto.Clone(keeper.record).(*wire.TermRecord), now)
}

// outrun tells whether the platform or a server shows a later term, which was never opened.
func (keeper *Keeper) outrun(now spool.Instant) bool {
	if keeper.store.record.GetTerm() > keeper.record.Term {
		return true
	}
	for _, view := range keeper.servers {
		if view.fresh(now, keeper.config.Fresh) && uint64(view.status.Term) > keeper.record.Term {
			return true
		}
	}
	return false
}

// raise records a term above all that were seen for the same primary, so that every server can follow it.
func (keeper *Keeper) raise(now spool.Instant) {
	highest := max(keeper.record.Term, keeper.store.record.GetTerm(), uint64(keeper.servers.highestTerm()))
	keeper.write(writeRaise, &wire.TermRecord{
		Group:   string(keeper.group),
		Term:    highest + 1,
		Primary: keeper.record.Primary,
		History: historyOf(keeper.record),
	}, now)
}

// follow orders servers whose status shows a lower term to replicate from the primary.
func (keeper *Keeper) follow(now spool.Instant) {
	for _, name := range keeper.servers.names() {
		view := keeper.servers[name]
		if name == spool.Server(keeper.record.Primary) || !view.fresh(now, keeper.config.Fresh) {
			continue
		}
		if uint64(view.status.Term) >= keeper.record.Term {
			continue
		}
		if view.ordered && now.Sub(view.orderedAt) < keeper.config.FollowEvery {
			continue
		}
		view.ordered = true
		view.orderedAt = now
		keeper.emit(Follow{
			Server:  name,
			Term:    spool.Term(keeper.record.Term),
			Primary: spool.Server(keeper.record.Primary),
		})
	}
}
