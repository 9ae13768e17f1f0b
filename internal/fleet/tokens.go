package fleet

import (
	"slices"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// addTokens adds tokens that another proxy sent, wakes the operations that wait for them and meets requests that wait for them
// here. An issuer gets tokens from other issuers, and those that proxies did not use; a proxy whose bucket does not refill returns
// what it does not use.
func (limiter *limiter) addTokens(from spool.VM, team spool.Team, tokens float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now, issuers := limiter.timers.Now(), limiter.issuersOf(team)
	issues := func(vm spool.VM) bool {
		return slices.ContainsFunc(issuers, func(issuer quota.Proxy) bool { return issuer.VM == vm })
	}
	if issues(limiter.self) && !issues(from) {
		limiter.buckets.CreditReturned(team, tokens, now)
	} else {
		limiter.buckets.Credit(team, tokens, now)
	}
	limiter.wakeWaiters(team)
	switch {
	case issues(limiter.self):
		limiter.issuePending(team, now)
	case len(issuers) > 0:
		limiter.sources[team] = from
		limiter.scheduleReturn(team)
	}
}

// scheduleReturn has this proxy return the tokens of a team that it does not use, if its bucket does not refill. The caller holds
// the mutex.
func (limiter *limiter) scheduleReturn(team spool.Team) {
	if issuer, known := limiter.sources[team]; known {
		limiter.timers.After(quota.ReturnDelay, spool.TimerFunc(func(now spool.Instant) { limiter.returnUnused(issuer, team, now) }))
	}
}

// returnUnused returns the tokens that no operation used to the issuer that sent the last ones.
func (limiter *limiter) returnUnused(issuer spool.VM, team spool.Team, now spool.Instant) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if unused := limiter.buckets.TakeUnused(team, limiter.waiting(team), now); unused > 0 {
		limiter.sendTokens(issuer, team, unused)
	}
}

// issuePending meets requests of other proxies that could not be met before, now and while any of them may still be met. The
// caller holds the mutex.
func (limiter *limiter) issuePending(team spool.Team, now spool.Instant) {
	transfers, next := limiter.buckets.IssuePending(team, now)
	for _, transfer := range transfers {
		limiter.sendTokens(transfer.To, team, transfer.Tokens)
	}
	if next == 0 || limiter.issuing[team] {
		return
	}
	limiter.issuing[team] = true
	limiter.timers.After(next, spool.TimerFunc(func(now spool.Instant) {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		delete(limiter.issuing, team)
		limiter.issuePending(team, now)
	}))
}

// encodeTransfer returns the message that gives tokens of a team away.
func encodeTransfer(team spool.Team, tokens float64) *wire.Envelope {
	transfer := &wire.TokenTransfer{Team: string(team), Tokens: tokens}
	return &wire.Envelope{Body: &wire.Envelope_TokenTransfer{TokenTransfer: transfer}}
}
