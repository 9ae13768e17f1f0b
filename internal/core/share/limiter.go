package share

import "corianderspool.example/spool/pkg/spool"

// limiter holds the granted tokens that a client may spend.
type limiter struct {
	grants []heldGrant // ordered by end
	tokens int
}

// heldGrant is the unspent rest of one grant.
type heldGrant struct {
	grant     uint64
	remaining int
	endsAt    spool.Instant
}

// spend spends one token that has not expired at now and reports whether there was one.
func (limiter *limiter) spend(now spool.Instant) bool {
	for i := range limiter.grants {
		heldGrant := &limiter.grants[i]
		if heldGrant.remaining > 0 && now < heldGrant.endsAt {
			heldGrant.remaining--
			limiter.tokens--
			return true
		}
	}
	return false
}

// add inserts a grant in the order of ends.
func (limiter *limiter) add(added heldGrant) {
	index := len(limiter.grants)
	for index > 0 && limiter.grants[index-1].endsAt > added.endsAt {
		index--
	}
	limiter.grants = append(limiter.grants, heldGrant{})
	copy(limiter.grants[index+1:], limiter.grants[index:])
	limiter.grants[index] = added
	limiter.tokens += added.remaining
}

// closeEnded closes and reports the grants that are spent or end by the given instant.
func (limiter *limiter) closeEnded(before spool.Instant, ledger *ledger, now spool.Instant) {
	kept := limiter.grants[:0]
	for _, heldGrant := range limiter.grants {
		if heldGrant.remaining > 0 && heldGrant.endsAt > before {
			kept = append(kept, heldGrant)
			continue
		}
		limiter.tokens -= heldGrant.remaining
		ledger.addReport(heldGrant, now)
	}
	limiter.grants = kept
}

// closeSurplus closes and reports the grants with the latest ends while more than limit tokens are left.
func (limiter *limiter) closeSurplus(limit int, ledger *ledger, now spool.Instant) {
	for limiter.tokens > limit {
		last := len(limiter.grants) - 1
		limiter.tokens -= limiter.grants[last].remaining
		ledger.addReport(limiter.grants[last], now)
		limiter.grants = limiter.grants[:last]
	}
}
