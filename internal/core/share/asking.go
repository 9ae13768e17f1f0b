package share

import (
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// Sizes of the float that a client keeps so that requests need not wait for the owner.
const (
	smallestFloat  = 0.5 // expected requests below which no token is kept
	surplusFactor  = 2
	reportPolls    = 2 // polls for which a report waits for a request that is due anyway
	retiringShares = 3 // a grant in the last third of its life is exchanged
)

// mayAsk reports whether another request may be sent; one that stays without answer counts as lost.
func (client *Client) mayAsk(now spool.Instant) bool {
	if client.asking && now.Sub(client.askedAt) >= client.timing.Timeout {
		client.asking = false
		client.forecast.lose(client.askedAt)
	}
	return !client.asking && now >= client.nextAsk
}

// request returns the request that is due, or nil.
func (client *Client) request(now spool.Instant) *wire.GrantRequest {
	float := client.float()
	if client.queue.Len() == 0 {
		retiring := now.Add(client.timing.Life / retiringShares)
		client.limiter.closeEnded(retiring, &client.ledger, now)
		client.limiter.closeSurplus(surplusFactor*float, &client.ledger, now)
	}
	want := client.queue.Len() + float - client.limiter.total
	if !client.worthAsking(want, float, now) {
		return nil
	}
	client.asking = true
	client.askedAt = now
	client.nextAsk = now.Add(client.timing.Poll)
	request := &wire.GrantRequest{Team: string(client.team), Want: float64(max(want, 0))}
	client.ledger.send(request, now)
	return request
}

// worthAsking reports whether requests wait, the float is half spent, or reports have waited long enough.
func (client *Client) worthAsking(want, float int, now spool.Instant) bool {
	if client.queue.Len() > 0 && want > 0 {
		return true
	}
	if want > 0 && 2*client.limiter.total <= float {
		return true
	}
	closed, found := client.ledger.oldestUnsent()
	return found && now.Sub(closed) >= reportPolls*client.timing.Poll
}

// float returns how many tokens to keep for the requests that arrive while the owner answers.
func (client *Client) float() int {
	if client.queue.Len() > 0 && client.forecast.perToken > 0 {
		return 0
	}
	horizon := client.forecast.roundTrip + 2*client.timing.Poll
	expected := client.demand.perSecond * horizon.Seconds()
	if expected < smallestFloat {
		return 0
	}
	return int(expected) + 1
}
