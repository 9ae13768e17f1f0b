package lease

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// ask sends one request and remembers when.
func (holder *Holder) ask(vm spool.VM, now spool.Instant) Out {
	request := holder.request()
	request.Quorum = uint64(holder.quorum.Version)
	request.Record = holder.record
	holder.support(vm).send(request.Sequence, flight{sentAt: now, record: holder.record}, holder.config.counted())
	return Out{To: vm, Request: request}
}

func (holder *Holder) request() *wire.VoteRequest {
	holder.sequence++
	return &wire.VoteRequest{
		Role:        string(holder.role),
		Sequence:    holder.sequence,
		Incarnation: holder.incarnation,
	}
}

func (holder *Holder) support(vm spool.VM) *support {
	found, ok := holder.supports[vm]
	if !ok {
		found = &support{flights: map[uint64]flight{}}
		holder.supports[vm] = found
	}
	return found
}

// expire notices that the lease has ended by itself; what was voted before counts no more.
func (holder *Holder) expire(now spool.Instant) {
	if holder.phase != phaseHolding || now < holder.end() {
		return
	}
	holder.drop()
	holder.nextAt = max(holder.nextAt, now.Add(holder.stagger()))
}

// drop ends the lease or the attempt and forgets all votes.
func (holder *Holder) drop() {
	if holder.phase == phaseHolding {
		holder.changes = append(holder.changes, Lost)
	}
	holder.phase = phaseIdle
	holder.told = false
	holder.supports = map[spool.VM]*support{}
}

// release is drop with a release for every witness that was asked.
func (holder *Holder) release() {
	if holder.phase != phaseIdle {
		for _, vm := range holder.quorum.Members {
			if !holder.support(vm).asked {
				continue
			}
			request := holder.request()
			request.Release = true
			holder.releases = append(holder.releases, Out{To: vm, Request: request})
		}
	}
	holder.drop()
}

// abandon gives back the votes of an attempt without a majority and plans the next one.
func (holder *Holder) abandon(now spool.Instant) {
	rivals := holder.supports
	next := max(holder.RivalUntil(), now).Add(holder.stagger() + holder.jitter())
	holder.release()
	holder.nextAt = max(next, holder.nextAt)
	for vm, earlier := range rivals {
		holder.support(vm).rival = earlier.rival
		holder.support(vm).rivalUntil = earlier.rivalUntil
	}
}

// abandonIfHopeless ends an attempt once so many witnesses have refused that the others are no majority.
func (holder *Holder) abandonIfHopeless(now spool.Instant) {
	refusals := 0
	for _, support := range holder.supports {
		if support.refused {
			refusals++
		}
	}
	if holder.phase == phaseAsking && refusals > len(holder.quorum.Members)-holder.quorum.Majority() {
		holder.abandon(now)
	}
}

func (holder *Holder) stagger() time.Duration {
	return time.Duration(holder.rank) * holder.config.Retry
}

// jitter keeps candidates that share a rank by mistake from colliding again and again.
func (holder *Holder) jitter() time.Duration {
	mixed := (holder.incarnation + holder.attempts) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 32
	span := uint64(holder.config.Retry)/2 + 1
	return time.Duration(mixed % span)
}
