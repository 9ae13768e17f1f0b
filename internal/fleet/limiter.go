package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/pkg/spool"
)

// limiter admits operations of teams; it implements engine.Limiter.
type limiter struct {
	timers  spool.Timers
	request func(team spool.Team, tokens float64, homes []quota.Proxy, again bool)
	self    spool.VM

	mutex      sync.Mutex
	buckets    *quota.BucketSet
	arrived    map[spool.Team]chan struct{} // closed when tokens come
	waiting    map[spool.Team]int
	candidates []quota.Proxy                // that mint, in a fleet so large that few do; else none
	issuers    map[spool.Team][]quota.Proxy // that were looked up since the fleet last changed
}

func newLimiter(self spool.VM, timers spool.Timers) *limiter {
	return &limiter{
		timers: timers, buckets: quota.NewBucketSet(), self: self, issuers: map[spool.Team][]quota.Proxy{},
		request: func(spool.Team, float64, []quota.Proxy, bool) {},
		arrived: map[spool.Team]chan struct{}{}, waiting: map[spool.Team]int{},
	}
}

// Admit holds a token of the team, waits shortly for one to be minted here or given by another proxy, or refuses.
func (limiter *limiter) Admit(ctx context.Context, team spool.Team) *spool.Refusal {
	decision, arrived := limiter.decide(team, false)
	if decision.Admitted {
		return nil
	}
	limiter.wait(team, 1)
	defer limiter.wait(team, -1)
	deadline := time.Now().Add(quota.WaitTimeout)
	for !decision.Exhausted && time.Now().Before(deadline) {
		timer := time.NewTimer(min(decision.Wait, time.Until(deadline)) + time.Millisecond)
		select {
		case <-arrived:
		case <-timer.C:
		case <-ctx.Done():
			deadline = time.Now()
		}
		timer.Stop()
		decision, arrived = limiter.decide(team, true)
		if decision.Admitted {
			return nil
		}
	}
	return spool.Refuse(spool.CodeRateExceeded, "the team's rate is exceeded").WithRetryAfter(decision.Wait)
}

func (limiter *limiter) wait(team spool.Team, change int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.waiting[team] += change
}

func (limiter *limiter) decide(team spool.Team, again bool) (quota.Decision, <-chan struct{}) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	decision := limiter.buckets.Admit(team, again, limiter.waiting[team], limiter.timers.Now())
	if decision.TokensToRequest > 0 {
		limiter.request(team, decision.TokensToRequest, limiter.issuersOf(team), decision.LastRequestFailed)
	}
	if decision.Admitted {
		return decision, nil
	}
	arrived := limiter.arrived[team]
	if arrived == nil {
		arrived = make(chan struct{})
		limiter.arrived[team] = arrived
	}
	return decision, arrived
}

// give adds tokens of another proxy and wakes the operations that wait for them.
func (limiter *limiter) give(team spool.Team, tokens float64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.buckets.Credit(team, tokens, limiter.timers.Now())
	limiter.wake(team)
}

// Settle ends the hold of an admitted operation's token; one that comes back wakes the operations that wait for it.
func (limiter *limiter) Finish(team spool.Team, reached bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.buckets.Settle(team, reached, limiter.timers.Now())
	if !reached {
		limiter.wake(team)
	}
}

// wake lets the operations that wait for a token of a team try again.
func (limiter *limiter) wake(team spool.Team) {
	if arrived := limiter.arrived[team]; arrived != nil {
		close(arrived)
		delete(limiter.arrived, team)
	}
}

// spare takes out tokens for another proxy.
func (limiter *limiter) spare(from spool.VM, team spool.Team, want float64) float64 {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now, issuers := limiter.timers.Now(), limiter.issuersOf(team)
	if len(issuers) == 0 || slices.ContainsFunc(issuers, func(issuer quota.Proxy) bool { return issuer.VM == from }) {
		return limiter.buckets.TakeSurplus(team, want, now)
	}
	given, asked := limiter.buckets.Issue(team, want, now)
	if asked.TokensToRequest > 0 {
		limiter.request(team, asked.TokensToRequest, issuers, asked.LastRequestFailed)
	}
	return given
}

func (limiter *limiter) setTeams(teams map[spool.Team]spool.TeamSpec) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.buckets.SetTeams(teams, limiter.timers.Now())
}

// setFleet takes over the registered proxies, this one among them.
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

// homesOf returns the proxies that mint a team's rate, or none where all do; the caller holds the mutex.
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

// part returns the part of a team's rate that this proxy mints; the caller holds the mutex.
func (limiter *limiter) share(team spool.Team) float64 {
	issuers := limiter.issuersOf(team)
	for _, issuer := range issuers {
		if issuer.VM == limiter.self {
			return 1 / float64(len(issuers))
		}
	}
	return 0
}
