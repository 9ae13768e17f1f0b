package share

import "corianderspool.example/spool/pkg/spool"

// purse holds the granted tokens that a client may spend.
type purse struct {
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
func (purse *purse) take(now spool.Instant) bool {
	for i := range purse.holdings {
		holding := &purse.holdings[i]
		if holding.left > 0 && now < holding.ends {
			holding.left--
			purse.total--
			return true
		}
	}
	return false
}

// put adds a grant.
func (purse *purse) put(added holding) {
	place := len(purse.holdings)
	for place > 0 && purse.holdings[place-1].ends > added.ends {
		place--
	}
	purse.holdings = append(purse.holdings, holding{})
	copy(purse.holdings[place+1:], purse.holdings[place:])
	purse.holdings[place] = added
	purse.total += added.left
}

// closeEnded closes the grants that are spent or end before the given instant.
func (purse *purse) closeEnded(before spool.Instant, ledger *ledger, now spool.Instant) {
	kept := purse.holdings[:0]
	for _, holding := range purse.holdings {
		if holding.left > 0 && holding.ends > before {
			kept = append(kept, holding)
			continue
		}
		purse.total -= holding.left
		ledger.report(holding, now)
	}
	purse.holdings = kept
}

// closeSurplus closes the newest grants while more than limit tokens are left.
func (purse *purse) closeSurplus(limit int, ledger *ledger, now spool.Instant) {
	for purse.total > limit {
		last := len(purse.holdings) - 1
		purse.total -= purse.holdings[last].left
		ledger.report(purse.holdings[last], now)
		purse.holdings = purse.holdings[:last]
	}
}
