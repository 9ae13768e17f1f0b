package share

import (
	"time"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	demandSpan      = 100 * time.Millisecond
	roundTripPart   = 8
	longestPerToken = time.Minute
	lostWait        = 250 * time.Millisecond // expected further wait for an owner that is overdue
)

// demand measures how many requests ask per second.
type demand struct {
	asked     int
	perSecond float64
	measured  spool.Instant
}

func (demand *demand) measure(now spool.Instant) {
	elapsed := now.Sub(demand.measured)
	if elapsed < time.Millisecond {
		return
	}
	newest := float64(demand.asked) / elapsed.Seconds()
	weight := elapsed.Seconds() / (elapsed + demandSpan).Seconds()
	demand.perSecond += weight * (newest - demand.perSecond)
	demand.asked = 0
	demand.measured = now
}

// forecast estimates how long queued requests wait for a token.
type forecast struct {
	roundTrip time.Duration
	perToken  time.Duration // zero while the owner gives all that is wanted
	fresh     bool          // changed since the queue was last checked against it
	lost      bool          // the owner does not answer
	lostSince spool.Instant
}

// learn takes what an answer tells of the owner's distance and of the wait for more tokens.
func (forecast *forecast) learn(answer *wire.GrantAnswer, sent sentRequest, now spool.Instant) {
	newest := now.Sub(sent.at)
	if forecast.roundTrip == 0 {
		forecast.roundTrip = newest
	}
	forecast.roundTrip += (newest - forecast.roundTrip) / roundTripPart
	forecast.lost = false
	forecast.fresh = true
	missing := max(1, sent.want-answer.GetTokens())
	perToken := time.Duration(float64(answer.GetRetryNanos()) / missing)
	forecast.perToken = min(perToken, longestPerToken)
}

// lose notes that the owner did not answer a request sent at the given instant.
func (forecast *forecast) lose(sent spool.Instant) {
	if !forecast.lost {
		forecast.lost = true
		forecast.lostSince = sent
	}
	forecast.fresh = true
}

// wait returns how long the request at that place of the queue is expected to wait.
func (forecast *forecast) wait(place int, timing *Timing, now spool.Instant) time.Duration {
	halfTokens := max(2*time.Duration(place-1), 1)
	wait := forecast.roundTrip + halfTokens*forecast.perToken/2
	if forecast.lost {
		overdue := forecast.lostSince.Add(timing.OwnerGap).Sub(now)
		wait += max(overdue, lostWait)
	}
	return wait
}
