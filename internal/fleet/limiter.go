package fleet

import (
	"context"
	"sync"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/pkg/spool"
)

// limiter admits operations of teams; it implements engine.Limiter.
type limiter struct {
	timers spool.Timers
	mutex  sync.Mutex
	ledger *quota.Ledger
}

func newLimiter(timers spool.Timers) *limiter {
	return &limiter{timers: timers, ledger: quota.NewLedger()}
}

// Admit spends a token of the team or refuses.
func (limiter *limiter) Admit(_ context.Context, team spool.Team) *spool.Refusal {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	admitted, wait := limiter.ledger.Admit(team, limiter.timers.Now())
	if admitted {
		return nil
	}
	return &spool.Refusal{Code: spool.CodeRateExceeded, Message: "the team's rate is exceeded", RetryAfter: wait}
}

func (limiter *limiter) setTeams(teams map[spool.Team]spool.TeamSpec) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.ledger.SetTeams(teams, limiter.timers.Now())
}

func (limiter *limiter) setFleet(proxies int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.ledger.SetFleet(proxies, limiter.timers.Now())
}
