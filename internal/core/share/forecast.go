package share

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	demandWindow     = 100 * time.Millisecond
	roundTripDivisor = 8
	maxTimePerToken  = time.Minute
	overdueWait      = 250 * time.Millisecond // least expected further wait for an owner that is overdue
)

// demand measures the rate of requests for admission as a moving average.
type demand struct {
	requests   int
	perSecond  float64
	measuredAt spool.Instant
}

func (demand *demand) measure(now spool.Instant) {
	elapsed := now.Sub(demand.measuredAt)
	if elapsed < time.Millisecond {
		return
	}
	sample := float64(demand.requests) / elapsed.Seconds()
	weight := elapsed.Seconds() / (elapsed + demandWindow).Seconds()
	demand.perSecond += weight * (sample - demand.perSecond)
	demand.requests = 0
	demand.measuredAt = now
}

// forecast estimates how long queued requests wait for a token.
type forecast struct {
	roundTrip    time.Duration
	timePerToken time.Duration // zero while the owner grants all that is wanted
	changed      bool          // the forecast changed since the queue was last checked against it
	overdue      bool          // the owner did not answer the latest request in time
	overdueSince spool.Instant
}

// update adjusts the round trip and the time per token to an owner's answer.
func (forecast *forecast) update(answer *wire.GrantAnswer, sent sentRequest, now spool.Instant) {
	sample := now.Sub(sent.sentAt)
	if forecast.roundTrip == 0 {
		forecast.roundTrip = sample
	}
	forecast.roundTrip += (sample - forecast.roundTrip) / roundTripDivisor
	forecast.overdue = false
	forecast.changed = true
	missing := max(1, sent.want-answer.GetTokens())
	perToken := time.Duration(float64(answer.GetRetryNanos()) / missing)
	forecast.timePerToken = min(perToken, maxTimePerToken)
}

// recordTimeout records that the owner did not answer a request sent at the given instant.
func (forecast *forecast) recordTimeout(sent spool.Instant) {
	if !forecast.overdue {
		forecast.overdue = true
		forecast.overdueSince = sent
	}
	forecast.changed = true
}

// wait returns how long the request at a position of the queue, from 1, is expected to wait: the round trip and
// timePerToken for each request before it, or half of timePerToken for the first request.
func (forecast *forecast) wait(position int, timing *Timing, now spool.Instant) time.Duration {
	halfTokens := max(2*time.Duration(position-1), 1)
	wait := forecast.roundTrip + halfTokens*forecast.timePerToken/2
	if forecast.overdue {
		remaining := forecast.overdueSince.Add(timing.OwnerChangeTime).Sub(now)
		wait += max(remaining, overdueWait)
	}
	return wait
}
