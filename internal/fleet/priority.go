package fleet

import (
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// prioritized reports whether the routes of a configuration differ in priority. Otherwise requests are served in the order of
// their arrival.
func prioritized(config *spool.FleetConfig) bool {
	first, known := 0, false
	for _, route := range config.Routes {
		if known && route.Priority != first {
			return true
		}
		first, known = route.Priority, true
	}
	return false
}

// setPrioritized applies to pool and limiter whether the routes differ in priority.
func (proxy *Proxy) setPrioritized(config *spool.FleetConfig) {
	differ := prioritized(config)
	proxy.pool.SetPrioritized(differ)
	proxy.limiter.setPrioritized(differ)
}

func (limiter *limiter) setPrioritized(prioritized bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.prioritized = prioritized
	limiter.buckets.SetPrioritized(prioritized)
}

// logRefusal logs the inputs of a refusal by the team's rate.
func (limiter *limiter) logRefusal(team spool.Team, priority int, decision quota.Decision) {
	limiter.mutex.Lock()
	waiting := limiter.waiting(team)
	state := limiter.buckets.State(team, limiter.timers.Now())
	limiter.mutex.Unlock()
	event.Log(limiter.logger, event.RateRefused, zap.String("Team", string(team)), zap.Int("Priority", priority),
		zap.Int("Waiting", waiting), zap.Float64("Tokens", state.Tokens), zap.Float64("HeldBack", state.HeldBack),
		zap.Float64("Demand", state.Demand), zap.Float64("UrgentDemand", state.UrgentDemand), zap.Int("UrgentPriority", state.UrgentPriority),
		zap.Float64("Rate", state.Rate), zap.Bool("Exhausted", decision.Exhausted), zap.Duration("RetryAfter", decision.Wait))
}

// encodeTokenRequest returns the message for a request for a team's tokens.
func encodeTokenRequest(team spool.Team, request quota.Request) *wire.TokenRequest {
	return &wire.TokenRequest{
		Team: string(team), Tokens: request.Tokens, Priority: int32(request.Priority), UrgentTokens: request.UrgentTokens,
	}
}

func decodeTokenRequest(request *wire.TokenRequest) quota.Request {
	return quota.Request{Tokens: request.Tokens, Priority: int(request.Priority), UrgentTokens: request.UrgentTokens}
}

// waitObserver counts the waits for connections; it implements pool.Observer.
type waitObserver struct{ metrics *metric.Metrics }

// Waited counts a wait that ended.
func (observer waitObserver) Waited(wait pool.Wait) {
	observer.metrics.CountWait(wait.Priority, wait.Borrower, string(wait.Outcome), wait.Took)
}
