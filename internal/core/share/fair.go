package share

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const bisectionSteps = 40

// grantSize returns how many whole tokens a client gets now; the client with the least served share comes first.
func (owner *Owner) grantSize(clientState *clientState, now spool.Instant) float64 {
	ready := owner.bucket.grantable()
	wanted := 0.0
	leastServed := clientState
	for _, other := range owner.clients {
		if !other.waiting(now) {
			continue
		}
		other.decay(now)
		wanted += other.want
		if other.servedShare() < leastServed.servedShare() {
			leastServed = other
		}
	}
	if wanted <= ready {
		return math.Floor(clientState.want)
	}
	size := clientState.tokensToReach(owner.fairShare(ready, now))
	if leastServed == clientState || owner.bucket.nearlyFull() {
		size = max(size, 1)
	}
	return math.Floor(min(size, ready, clientState.want))
}

// fairShare returns, by bisection, the equal served share to which ready tokens raise all waiting clients.
func (owner *Owner) fairShare(ready float64, now spool.Instant) float64 {
	low := 0.0
	high := 1.0
	for range bisectionSteps {
		share := (low + high) / 2
		sum := 0.0
		for _, other := range owner.clients {
			if other.waiting(now) {
				sum += other.tokensToReach(share)
			}
		}
		if sum > ready {
			high = share
		} else {
			low = share
		}
	}
	return high
}

// waitTime returns how long the bucket takes to serve all waiting clients, which are served at the same pace.
func (owner *Owner) waitTime(now spool.Instant) time.Duration {
	tokens := 0.0
	for _, other := range owner.clients {
		if other.waiting(now) {
			tokens += other.want
		}
	}
	tokens -= owner.bucket.level
	return max(owner.timing.RequestInterval, owner.bucket.timeFor(tokens))
}

func (clientState *clientState) waiting(now spool.Instant) bool {
	return clientState.want > 0 && now.Sub(clientState.requestedAt) <= wantLifetime
}

// demand returns how many tokens the client wanted recently, granted or not.
func (clientState *clientState) demand() float64 { return clientState.served + clientState.want }

// servedShare returns the fraction of the demand that was granted.
func (clientState *clientState) servedShare() float64 {
	return clientState.served / max(1, clientState.demand())
}

// tokensToReach returns how many tokens raise the served share to the given one, at most those wanted.
func (clientState *clientState) tokensToReach(share float64) float64 {
	return max(0, min(clientState.want, share*clientState.demand()-clientState.served))
}

// decay applies the exponential decay from decayedAt to now to the served tokens.
func (clientState *clientState) decay(now spool.Instant) {
	elapsed := now.Sub(clientState.decayedAt)
	if elapsed <= 0 {
		return
	}
	clientState.served *= math.Exp(-elapsed.Seconds() / servedDecay.Seconds())
	clientState.decayedAt = now
}
