package share

import "corianderspool.example/spool/pkg/spool"

// limiter holds the granted tokens that a client may spend.
type limiter struct {
	holdings []holding // in the order of their end
	total    int
}

// holding is what is left of one grant.
type holding struct {
	grant uint64
	left  int
	ends  spool.Instant
}

// take spends one token that is alive at now.
func (limiter *limiter) take(now spool.Instant) bool {
	for i := range limiter.holdings {
		holding := &limiter.holdings[i]
		if holding.left > 0 && now < holding.ends {
			holding.left--
			limiter.total--
			return true
		}
	}
	return false
}

// put adds a grant.
func (limiter *limiter) put(added holding) {
	place := len(limiter.holdings)
	for place > 0 && limiter.holdings[place-1].ends > added.ends {
		place--
	}
	limiter.holdings = append(limiter.holdings, holding{})
	copy(limiter.holdings[place+1:], limiter.holdings[place:])
	limiter.holdings[place] = added
	limiter.total += added.left
}

// closeEnded closes the grants that are spent or end before the given instant.
func (limiter *limiter) closeEnded(before spool.Instant, ledger *ledger, now spool.Instant) {
	kept := limiter.holdings[:0]
	for _, holding := range limiter.holdings {
		if holding.left > 0 && holding.ends > before {
			kept = append(kept, holding)
			continue
		}
		limiter.total -= holding.left
		ledger.report(holding, now)
	}
	limiter.holdings = kept
}

// closeSurplus closes the newest grants while more than limit tokens are left.
func (limiter *limiter) closeSurplus(limit int, ledger *ledger, now spool.Instant) {
	for limiter.total > limit {
		last := len(limiter.holdings) - 1
		limiter.total -= limiter.holdings[last].left
		ledger.report(limiter.holdings[last], now)
		limiter.holdings = limiter.holdings[:last]
	}
}
