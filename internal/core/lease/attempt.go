package lease

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// requestVote returns a vote request for the witness at vm and records when it was sent.
func (holder *Holder) requestVote(vm spool.VM, now spool.Instant) OutgoingRequest {
	request := holder.newRequest()
	request.Quorum = uint64(holder.quorum.Version)
	request.Record = holder.record
	holder.witnessState(vm).recordSent(request.Sequence, pendingRequest{sentAt: now, record: holder.record}, holder.config.holderLifetime())
	return OutgoingRequest{To: vm, Request: request}
}

func (holder *Holder) newRequest() *wire.VoteRequest {
	holder.sequence++
	return &wire.VoteRequest{
		Role:        string(holder.role),
		Sequence:    holder.sequence,
		Incarnation: holder.incarnation,
	}
}

func (holder *Holder) witnessState(vm spool.VM) *witnessState {
	state, ok := holder.witnesses[vm]
	if !ok {
		state = &witnessState{pending: map[uint64]pendingRequest{}}
		holder.witnesses[vm] = state
	}
	return state
}

// expire ends a lease that was not renewed in time and discards the votes behind it.
func (holder *Holder) expire(now spool.Instant) {
	if holder.phase != phaseHolding || now < holder.majorityEnd() {
		return
	}
	holder.reset()
	holder.nextAttemptAt = max(holder.nextAttemptAt, now.Add(holder.rankDelay()))
}

// reset ends the lease or the attempt and discards all votes.
func (holder *Holder) reset() {
	if holder.phase == phaseHolding {
		holder.changes = append(holder.changes, Lost)
	}
	holder.phase = phaseIdle
	holder.reported = false
	holder.witnesses = map[spool.VM]*witnessState{}
}

// releaseVotes resets the holder and queues a release for every witness that was asked.
func (holder *Holder) releaseVotes() {
	if holder.phase != phaseIdle {
		for _, vm := range holder.quorum.Members {
			if !holder.witnessState(vm).requested {
				continue
			}
			request := holder.newRequest()
			request.Release = true
			holder.releases = append(holder.releases, OutgoingRequest{To: vm, Request: request})
		}
	}
	holder.reset()
}

// abandonAttempt releases the votes of an attempt without a majority and schedules the next one.
func (holder *Holder) abandonAttempt(now spool.Instant) {
	previous := holder.witnesses
	next := max(holder.RivalUntil(), now).Add(holder.rankDelay() + holder.jitter())
	holder.releaseVotes()
	holder.nextAttemptAt = max(next, holder.nextAttemptAt)
	for vm, earlier := range previous {
		holder.witnessState(vm).rival = earlier.rival
		holder.witnessState(vm).rivalUntil = earlier.rivalUntil
	}
}

// abandonIfRefused abandons an attempt once too many witnesses have refused for the others to form a majority.
func (holder *Holder) abandonIfRefused(now spool.Instant) {
	refusals := 0
	for _, witnessState := range holder.witnesses {
		if witnessState.refused {
			refusals++
		}
	}
	if holder.phase == phaseCollecting && refusals > len(holder.quorum.Members)-holder.quorum.Majority() {
		holder.abandonAttempt(now)
	}
}

func (holder *Holder) rankDelay() time.Duration {
	return time.Duration(holder.rank) * holder.config.RetryInterval
}

// jitter returns a pseudo-random delay, which keeps candidates of equal rank from colliding repeatedly.
func (holder *Holder) jitter() time.Duration {
	hash := (holder.incarnation + holder.attempts) * 0x9e3779b97f4a7c15
	hash ^= hash >> 32
	limit := uint64(holder.config.RetryInterval)/2 + 1
	return time.Duration(hash % limit)
}
