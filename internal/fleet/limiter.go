package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/pkg/spool"
)

// limiter enforces the rates of teams; it implements engine.Limiter.
type limiter struct {
	timers        spool.Timers
	logger        *zap.Logger
	requestTokens func(team spool.Team, decision quota.Decision, issuers []quota.Proxy)
	sendTokens    func(to spool.VM, team spool.Team, tokens float64)
	self          spool.VM

	mutex       sync.Mutex
	buckets     *quota.BucketSet
	refilled    map[spool.Team]chan struct{} // closed when tokens arrive
	waiters     map[spool.Team]map[int]int   // by priority
	sources     map[spool.Team]spool.VM      // issuers that last sent tokens
	issuing     map[spool.Team]bool          // a look for pending requests that can be met is scheduled
	prioritized bool                         // the routes differ in priority
	candidates  []quota.Proxy                // proxies that may issue tokens in a large fleet; empty if all do
	issuers     map[spool.Team][]quota.Proxy // cache, cleared when the fleet changes
}

func newLimiter(self spool.VM, timers spool.Timers) *limiter {
	return &limiter{
		timers: timers, buckets: quota.NewBucketSet(), self: self, issuers: map[spool.Team][]quota.Proxy{},
		requestTokens: func(spool.Team, quota.Decision, []quota.Proxy) {}, logger: zap.NewNop(),
		sendTokens: func(spool.VM, spool.Team, float64) {}, issuing: map[spool.Team]bool{}, sources: map[spool.Team]spool.VM{},
		refilled: map[spool.Team]chan struct{}{}, waiters: map[spool.Team]map[int]int{},
	}
}

// Admit reserves a token of the team for an operation of a priority. If there is none, it waits up to the quota's timeout for one
// to be issued here or received from another proxy, then refuses.
func (limiter *limiter) Admit(ctx context.Context, team spool.Team, priority int) *spool.Refusal {
	decision, refilled := limiter.decide(team, quota.Operation{Priority: priority})
	if decision.Admitted {
		return nil
	}
	limiter.adjustWaiters(team, priority, 1)
	defer limiter.adjustWaiters(team, priority, -1)
	deadline := time.Now().Add(max(quota.WaitTimeout, decision.AwaitFirst))
	for !decision.Exhausted && time.Now().Before(deadline) {
		timer := time.NewTimer(min(decision.Wait, time.Until(deadline)) + time.Millisecond)
		select {
		case <-refilled:
		case <-timer.C:
		case <-ctx.Done():
			deadline = time.Now()
		}
		timer.Stop()
		if ctx.Err() != nil {
			break // a token for a caller that has left would only be returned
		}
		decision, refilled = limiter.decide(team, quota.Operation{Priority: priority, Retry: true})
		if decision.Admitted {
			return nil
		}
	}
	if ctx.Err() == nil {
		limiter.logRefusal(team, priority, decision)
	}
	return spool.Refuse(spool.CodeRateExceeded, "the team's rate is exceeded").WithRetryAfter(decision.Wait)
}

func (limiter *limiter) adjustWaiters(team spool.Team, priority, change int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	waiting := limiter.waiters[team]
	if waiting == nil {
		waiting = map[int]int{}
		limiter.waiters[team] = waiting
	}
	waiting[priority] += change
	if waiting[priority] == 0 {
		delete(waiting, priority)
	}
	if len(waiting) == 0 {
		delete(limiter.waiters, team)
	}
}

// waiting returns the number of waiting operations of a team. The caller holds the mutex.
func (limiter *limiter) waiting(team spool.Team) int {
	sum := 0
	for _, count := range limiter.waiters[team] {
		sum += count
	}
	return sum
}

func (limiter *limiter) decide(team spool.Team, operation quota.Operation) (quota.Decision, <-chan struct{}) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	operation.CountWaiting(limiter.waiters[team])
	if operation.Retry && limiter.prioritized {
		operation.Waiting-- // the operation itself, for which one token is requested and not two
	}
	decision := limiter.buckets.Admit(team, operation, limiter.timers.Now())
	if decision.TokensToRequest.Tokens > 0 {
		limiter.requestTokens(team, decision, limiter.issuersOf(team))
	}
	if decision.Admitted {
		return decision, nil
	}
	refilled := limiter.refilled[team]
	if refilled == nil {
		refilled = make(chan struct{})
		limiter.refilled[team] = refilled
	}
	return decision, refilled
}

// Finish spends an admitted operation's token if the operation reached a server, else returns it and wakes the waiters.
func (limiter *limiter) Finish(team spool.Team, reached bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.buckets.Settle(team, reached, limiter.timers.Now())
	if !reached {
		limiter.wakeWaiters(team)
		limiter.scheduleReturn(team)
	}
}

// wakeWaiters makes the operations that wait for a token of a team retry; the caller holds the mutex.
func (limiter *limiter) wakeWaiters(team spool.Team) {
	if refilled := limiter.refilled[team]; refilled != nil {
		close(refilled)
		delete(limiter.refilled, team)
	}
}

// grantTokens withdraws up to the requested number of tokens for another proxy and returns how many.
func (limiter *limiter) grantTokens(from spool.VM, team spool.Team, requested quota.Request) float64 {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now, issuers := limiter.timers.Now(), limiter.issuersOf(team)
	if len(issuers) == 0 || slices.ContainsFunc(issuers, func(issuer quota.Proxy) bool { return issuer.VM == from }) {
		return limiter.buckets.TakeSurplus(team, requested, now)
	}
	given, decision := limiter.buckets.Issue(from, team, requested, now)
	if decision.TokensToRequest.Tokens > 0 {
		limiter.requestTokens(team, decision, issuers)
	}
	limiter.issuePending(team, now)
	return given
}

func (limiter *limiter) setTeams(teams map[spool.Team]spool.TeamSpec) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.buckets.SetTeams(teams, limiter.timers.Now())
}

// accrueSince credits the shares of the rates since this process started; see quota.BucketSet.AccrueSince.
func (limiter *limiter) accrueSince(started spool.Instant) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.buckets.AccrueSince(started)
}

// setFleet sets the registered proxies, including this one.
func (limiter *limiter) setFleet(fleet []quota.Proxy) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	clear(limiter.issuers)
	if len(fleet) <= roster.MeshLimit {
		limiter.candidates = nil
		limiter.buckets.SetFleetSize(len(fleet), limiter.timers.Now())
		return
	}
	limiter.candidates = quota.Candidates(fleet)
	limiter.buckets.SetIssuerShare(limiter.share, limiter.timers.Now())
}

// issuersOf returns the proxies that issue a team's tokens, or none if all do; the caller holds the mutex.
func (limiter *limiter) issuersOf(team spool.Team) []quota.Proxy {
	if len(limiter.candidates) == 0 {
		return nil
	}
	issuers, known := limiter.issuers[team]
	if !known {
		issuers = quota.Issuers(team, limiter.candidates)
		limiter.issuers[team] = issuers
	}
	return issuers
}

// share returns the fraction of a team's rate that this proxy issues; the caller holds the mutex.
func (limiter *limiter) share(team spool.Team) float64 {
	issuers := limiter.issuersOf(team)
	for _, issuer := range issuers {
		if issuer.VM == limiter.self {
			return 1 / float64(len(issuers))
		}
	}
	return 0
}
