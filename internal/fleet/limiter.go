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

	mutex   sync.Mutex
	ledger  *quota.Ledger
	arrived map[spool.Team]chan struct{} // closed when tokens come
	waiting map[spool.Team]int
	fleet   []quota.Proxy                // that mint, in a fleet so large that few do; else none
	homes   map[spool.Team][]quota.Proxy // that were looked up since the fleet last changed
}

func newLimiter(self spool.VM, timers spool.Timers) *limiter {
	return &limiter{
		timers: timers, ledger: quota.NewLedger(), self: self, homes: map[spool.Team][]quota.Proxy{},
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
	deadline := time.Now().Add(quota.Patience)
	for !decision.Spent && time.Now().Before(deadline) {
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
	decision := limiter.ledger.Admit(team, again, limiter.waiting[team], limiter.timers.Now())
	if decision.Ask > 0 {
		limiter.request(team, decision.Ask, limiter.homesOf(team), decision.Again)
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
	limiter.ledger.Give(team, tokens, limiter.timers.Now())
	limiter.wake(team)
}

// Settle ends the hold of an admitted operation's token; one that comes back wakes the operations that wait for it.
func (limiter *limiter) Finish(team spool.Team, reached bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.ledger.Settle(team, reached, limiter.timers.Now())
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
	now, homes := limiter.timers.Now(), limiter.homesOf(team)
	if len(homes) == 0 || slices.ContainsFunc(homes, func(home quota.Proxy) bool { return home.VM == from }) {
		return limiter.ledger.Spare(team, want, now)
	}
	given, asked := limiter.ledger.Serve(team, want, now)
	if asked.Ask > 0 {
		limiter.request(team, asked.Ask, homes, asked.Again)
	}
	return given
}

func (limiter *limiter) setTeams(teams map[spool.Team]spool.TeamSpec) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.ledger.SetTeams(teams, limiter.timers.Now())
}

// setFleet takes over the registered proxies, this one among them.
func (limiter *limiter) setFleet(fleet []quota.Proxy) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	clear(limiter.homes)
	if len(fleet) <= roster.MeshLimit {
		limiter.fleet = nil
		limiter.ledger.SetFleet(len(fleet), limiter.timers.Now())
		return
	}
	limiter.fleet = quota.Candidates(fleet)
	limiter.ledger.SetHomes(limiter.part, limiter.timers.Now())
}

// homesOf returns the proxies that mint a team's rate, or none where all do; the caller holds the mutex.
func (limiter *limiter) homesOf(team spool.Team) []quota.Proxy {
	if len(limiter.fleet) == 0 {
		return nil
	}
	homes, known := limiter.homes[team]
	if !known {
		homes = quota.Homes(team, limiter.fleet)
		limiter.homes[team] = homes
	}
	return homes
}

// part returns the part of a team's rate that this proxy mints; the caller holds the mutex.
func (limiter *limiter) part(team spool.Team) float64 {
	homes := limiter.homesOf(team)
	for _, home := range homes {
		if home.VM == limiter.self {
			return 1 / float64(len(homes))
		}
	}
	return 0
}
