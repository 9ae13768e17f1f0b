package share

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Limits of the state that an owner keeps of its clients.
const (
	wantLifetime   = 100 * time.Millisecond // time for which a request counts as waiting
	servedDecay    = time.Second            // time constant of the decay of served tokens
	clientLifetime = time.Minute            // idle time after which a client may be dropped
)

// Owner grants the tokens of one team on the proxy that holds the team's role.
type Owner struct {
	timing  Timing
	team    spool.Team
	bucket  bucket
	clients []*clientState // in the order of their first request
	grants  []*grant       // ordered by end
}

// clientState is an owner's state of the client on one VM.
type clientState struct {
	vm          spool.VM
	sequence    uint64
	answer      *wire.GrantAnswer
	grants      []*grant
	want        float64 // tokens that the last request asked for but did not get
	requestedAt spool.Instant
	served      float64 // tokens granted recently, with exponential decay
	decayedAt   spool.Instant
}

// grant is a number of tokens that a client may spend until it ends; the sequence of the client's request identifies it.
type grant struct {
	sequence uint64
	tokens   float64
	endsAt   spool.Instant
	ended    bool
}

// NewOwner returns an owner with an empty bucket for a proxy that gained the team's role at now.
func NewOwner(spec spool.TeamSpec, now spool.Instant, options ...Option) *Owner {
	owner := &Owner{timing: newTiming(options), team: spec.Name}
	owner.bucket = newBucket(&owner.timing, spec, now)
	return owner
}

// Grant answers a client's request, a repeated one with the same answer; it returns nil if a newer one was answered.
//
// The caller must hold the team's role at now.
func (owner *Owner) Grant(from spool.VM, request *wire.GrantRequest, now spool.Instant) *wire.GrantAnswer {
	if request.GetTeam() != string(owner.team) {
		return &wire.GrantAnswer{Team: request.GetTeam(), Sequence: request.GetSequence(), NotOwner: true}
	}
	owner.advance(now)
	clientState := owner.client(from, now)
	if request.GetSequence() < clientState.sequence {
		return nil
	}
	if request.GetSequence() == clientState.sequence {
		return clientState.answer
	}
	clientState.sequence = request.GetSequence()
	for _, report := range request.GetReturned() {
		owner.endGrant(clientState, report)
	}
	clientState.answer = owner.answer(clientState, request, now)
	return clientState.answer
}

// Resize sets a new rate and burst from now on.
func (owner *Owner) Resize(spec spool.TeamSpec, now spool.Instant) {
	owner.advance(now)
	owner.bucket.resize(spec)
}

func (owner *Owner) answer(clientState *clientState, request *wire.GrantRequest, now spool.Instant) *wire.GrantAnswer {
	clientState.decay(now)
	clientState.want = max(0, request.GetWant())
	clientState.requestedAt = now
	tokens := owner.grantSize(clientState, now)
	clientState.want -= tokens
	clientState.served += tokens
	answer := &wire.GrantAnswer{
		Team:      request.GetTeam(),
		Sequence:  request.GetSequence(),
		Grant:     request.GetSequence(),
		Tokens:    tokens,
		LifeNanos: int64(owner.timing.GrantLifetime),
	}
	if clientState.want > 0 {
		answer.RetryNanos = int64(owner.waitTime(now))
	}
	if tokens > 0 {
		owner.addGrant(clientState, tokens, now)
	}
	return answer
}

func (owner *Owner) addGrant(clientState *clientState, tokens float64, now spool.Instant) {
	owner.bucket.grant(tokens)
	grant := &grant{
		sequence: clientState.sequence,
		tokens:   tokens,
		endsAt:   now.Add(owner.timing.ownerGrantLifetime()),
	}
	owner.grants = append(owner.grants, grant)
	clientState.grants = append(clientState.grants, grant)
}

// endGrant ends the grant that a client has closed; a report of a grant that has ended already has no effect.
func (owner *Owner) endGrant(clientState *clientState, report *wire.GrantUse) {
	for _, grant := range clientState.grants {
		if grant.sequence == report.GetGrant() && !grant.ended {
			grant.ended = true
			owner.bucket.endGrant(grant.tokens, report.GetUnused())
		}
	}
}

// advance ends the grants that expired until now and refills the bucket, in the order of time.
func (owner *Owner) advance(now spool.Instant) {
	for len(owner.grants) > 0 {
		oldest := owner.grants[0]
		if !oldest.ended {
			if oldest.endsAt > now {
				break
			}
			owner.bucket.refill(oldest.endsAt)
			owner.bucket.endGrant(oldest.tokens, 0)
			oldest.ended = true
		}
		owner.grants[0] = nil
		owner.grants = owner.grants[1:]
	}
	owner.bucket.refill(now)
}

// client returns the state of a VM's client, or adds it and then drops clients that have been idle for too long.
func (owner *Owner) client(vm spool.VM, now spool.Instant) *clientState {
	for _, clientState := range owner.clients {
		if clientState.vm == vm {
			clientState.dropEnded()
			return clientState
		}
	}
	kept := owner.clients[:0]
	for _, clientState := range owner.clients {
		if now.Sub(clientState.requestedAt) < clientLifetime {
			kept = append(kept, clientState)
		}
	}
	added := &clientState{vm: vm, requestedAt: now, decayedAt: now}
	owner.clients = append(kept, added)
	return added
}

// dropEnded drops the client's ended grants.
func (clientState *clientState) dropEnded() {
	kept := clientState.grants[:0]
	for _, grant := range clientState.grants {
		if !grant.ended {
			kept = append(kept, grant)
		}
	}
	clear(clientState.grants[len(kept):])
	clientState.grants = kept
}
