package share

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Limits on what an owner remembers of the proxies that ask.
const (
	wantLife    = 100 * time.Millisecond
	servedDecay = time.Second
	holderLife  = time.Minute
)

// Owner mints the tokens of one team on the proxy that holds the team's role.
type Owner struct {
	timing  Timing
	team    spool.Team
	bucket  bucket
	holders []*holder // in the order of their first request
	grants  []*grant  // in the order of their end
}

// holder is a VM that asks for tokens.
type holder struct {
	vm       spool.VM
	sequence uint64
	answer   *wire.GrantAnswer
	grants   []*grant
	want     float64 // tokens that the last request asked for and did not get
	asked    spool.Instant
	served   float64 // tokens granted lately, with exponential decay
	decayed  spool.Instant
}

// grant is a number of tokens that a holder may still spend; its name is the sequence of the holder's request.
type grant struct {
	sequence uint64
	tokens   float64
	ends     spool.Instant
	settled  bool
}

// NewOwner returns an owner that took the team's role at now, with an empty bucket.
func NewOwner(spec spool.TeamSpec, now spool.Instant, options ...Option) *Owner {
	owner := &Owner{timing: newTiming(options), team: spec.Name}
	owner.bucket = newBucket(&owner.timing, spec, now)
	return owner
}

// Grant answers a client's request; it returns nil when the request is older than one answered before.
//
// The caller must have checked at now that it holds the team's role.
func (owner *Owner) Grant(from spool.VM, request *wire.GrantRequest, now spool.Instant) *wire.GrantAnswer {
	if request.GetTeam() != string(owner.team) {
		return &wire.GrantAnswer{Team: request.GetTeam(), Sequence: request.GetSequence(), NotOwner: true}
	}
	owner.advance(now)
	holder := owner.holder(from, now)
	if request.GetSequence() < holder.sequence {
		return nil
	}
	if request.GetSequence() == holder.sequence {
		return holder.answer
	}
	holder.sequence = request.GetSequence()
	for _, use := range request.GetReturned() {
		owner.settle(holder, use)
	}
	holder.answer = owner.answer(holder, request, now)
	return holder.answer
}

// Resize puts a new rate and burst in force from now on.
func (owner *Owner) Resize(spec spool.TeamSpec, now spool.Instant) {
	owner.advance(now)
	owner.bucket.resize(spec)
}

func (owner *Owner) answer(holder *holder, request *wire.GrantRequest, now spool.Instant) *wire.GrantAnswer {
	holder.fade(now)
	holder.want = max(0, request.GetWant())
	holder.asked = now
	tokens := owner.part(holder, now)
	holder.want -= tokens
	holder.served += tokens
	answer := &wire.GrantAnswer{
		Team:      request.GetTeam(),
		Sequence:  request.GetSequence(),
		Grant:     request.GetSequence(),
		Tokens:    tokens,
		LifeNanos: int64(owner.timing.Life),
	}
	if holder.want > 0 {
		answer.RetryNanos = int64(owner.wait(now))
	}
	if tokens > 0 {
		owner.mint(holder, tokens, now)
	}
	return answer
}

func (owner *Owner) mint(holder *holder, tokens float64, now spool.Instant) {
	owner.bucket.mint(tokens)
	grant := &grant{
		sequence: holder.sequence,
		tokens:   tokens,
		ends:     now.Add(owner.timing.ownerLife()),
	}
	owner.grants = append(owner.grants, grant)
	holder.grants = append(holder.grants, grant)
}

// settle ends the grant that a client has closed; reports of grants that ended before change nothing.
func (owner *Owner) settle(holder *holder, use *wire.GrantUse) {
	for _, grant := range holder.grants {
		if grant.sequence == use.GetGrant() && !grant.settled {
			grant.settled = true
			owner.bucket.settle(grant.tokens, use.GetUnused())
		}
	}
}

// advance ends the grants that died until now and fills the bucket, in the order of time.
func (owner *Owner) advance(now spool.Instant) {
	for len(owner.grants) > 0 {
		oldest := owner.grants[0]
		if !oldest.settled {
			if oldest.ends > now {
				break
			}
			owner.bucket.fill(oldest.ends)
			owner.bucket.settle(oldest.tokens, 0)
			oldest.settled = true
		}
		owner.grants[0] = nil
		owner.grants = owner.grants[1:]
	}
	owner.bucket.fill(now)
}

// holder finds or adds a VM and forgets the VMs that have not asked for long.
func (owner *Owner) holder(vm spool.VM, now spool.Instant) *holder {
	for _, holder := range owner.holders {
		if holder.vm == vm {
			holder.forget()
			return holder
		}
	}
	kept := owner.holders[:0]
	for _, holder := range owner.holders {
		if now.Sub(holder.asked) < holderLife {
			kept = append(kept, holder)
		}
	}
	added := &holder{vm: vm, asked: now, decayed: now}
	owner.holders = append(kept, added)
	return added
}

// forget drops the holder's settled grants.
func (holder *holder) forget() {
	kept := holder.grants[:0]
	for _, grant := range holder.grants {
		if !grant.settled {
			kept = append(kept, grant)
		}
	}
	clear(holder.grants[len(kept):])
	holder.grants = kept
}
