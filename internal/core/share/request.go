package share

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Limits of the reserve, the tokens that a client keeps so that requests need not wait for the owner.
const (
	minReserve      = 0.5 // expected requests below which no token is kept
	surplusFactor   = 2   // multiple of the reserve above which tokens are returned
	reportIntervals = 2   // request intervals for which a report waits for a request that is sent anyway
	exchangeDivisor = 3   // a grant in the last third of its lifetime is exchanged for a new one
)

// mayRequest reports whether another request may be sent; a request without an answer within Timeout counts as lost.
func (client *Client) mayRequest(now spool.Instant) bool {
	if client.inFlight && now.Sub(client.requestedAt) >= client.timing.Timeout {
		client.inFlight = false
		client.forecast.recordTimeout(client.requestedAt)
	}
	return !client.inFlight && now >= client.nextRequestAt
}

// dueRequest returns the request to send now, or nil.
func (client *Client) dueRequest(now spool.Instant) *wire.GrantRequest {
	reserve := client.reserve()
	if client.queue.Len() == 0 {
		exchangeBefore := now.Add(client.timing.GrantLifetime / exchangeDivisor)
		client.limiter.closeEnded(exchangeBefore, &client.ledger, now)
		client.limiter.closeSurplus(surplusFactor*reserve, &client.ledger, now)
	}
	want := client.queue.Len() + reserve - client.limiter.tokens
	if !client.shouldRequest(want, reserve, now) {
		return nil
	}
	client.inFlight = true
	client.requestedAt = now
	client.nextRequestAt = now.Add(client.timing.RequestInterval)
	request := &wire.GrantRequest{Team: string(client.team), Want: float64(max(want, 0))}
	client.ledger.prepare(request, now)
	return request
}

// shouldRequest reports whether requests are queued, half of the reserve is spent, or reports have waited long enough.
func (client *Client) shouldRequest(want, reserve int, now spool.Instant) bool {
	if client.queue.Len() > 0 && want > 0 {
		return true
	}
	if want > 0 && 2*client.limiter.tokens <= reserve {
		return true
	}
	closedAt, found := client.ledger.oldestUnsent()
	return found && now.Sub(closedAt) >= reportIntervals*client.timing.RequestInterval
}

// reserve returns how many tokens to keep for the requests that arrive while the owner answers.
func (client *Client) reserve() int {
	if client.queue.Len() > 0 && client.forecast.timePerToken > 0 {
		return 0
	}
	horizon := client.forecast.roundTrip + 2*client.timing.RequestInterval
	expected := client.demand.perSecond * horizon.Seconds()
	if expected < minReserve {
		return 0
	}
	return int(expected) + 1
}
