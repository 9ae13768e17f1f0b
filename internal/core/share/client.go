package share

import (
	"time"

	"corianderspool.example/spool/internal/core/fifo"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// waitDivisor divides the expected wait of a queued request before it is compared with the deadline, so that a forecast
// that is too long by less than this factor refuses no request that would get its token in time.
const waitDivisor = 2

// queuedRequest is a request that waits for a token.
type queuedRequest struct {
	id       uint64
	deadline spool.Instant
}

// Client admits one team's requests on one proxy with tokens that the team's owner has granted.
type Client struct {
	timing        Timing
	team          spool.Team
	limiter       limiter
	ledger        ledger
	queue         fifo.Queue[queuedRequest]
	demand        demand
	forecast      forecast
	inFlight      bool // a request to the owner has no answer yet
	requestedAt   spool.Instant
	nextRequestAt spool.Instant
	steppedAt     spool.Instant
	admitted      []uint64
	refused       []Refusal
}

// NewClient returns a client without tokens that numbers its requests from first on.
//
// First must be above every number that earlier clients of the VM used; the wall clock in nanoseconds is.
func NewClient(team spool.Team, first uint64, now spool.Instant, options ...Option) *Client {
	client := &Client{timing: newTiming(options), team: team, nextRequestAt: now, steppedAt: now}
	client.ledger.sequence = first
	client.demand.measuredAt = now
	return client
}

// Acquire admits a request, queues it until its deadline or refuses it; after Queued the caller must call Step at once.
func (client *Client) Acquire(id uint64, deadline, now spool.Instant) Answer {
	client.demand.requests++
	if client.queue.Len() == 0 && client.limiter.spend(now) {
		return Answer{Verdict: Admitted}
	}
	wait := client.forecast.wait(client.queue.Len()+1, &client.timing, now)
	if now.Add(wait) >= deadline {
		return Answer{Verdict: Refused, RetryAfter: client.retryAfter(wait, deadline, now)}
	}
	client.queue.Push(queuedRequest{id: id, deadline: deadline})
	return Answer{Verdict: Queued}
}

// Cancel removes a queued request and reports whether it was still queued.
func (client *Client) Cancel(id uint64) bool {
	before := client.queue.Len()
	client.queue.Filter(func(queued queuedRequest) bool { return queued.id != id })
	return client.queue.Len() < before
}

// Step admits or refuses queued requests and returns the request to send to the owner if one is due.
func (client *Client) Step(now spool.Instant) Outcome {
	client.steppedAt = now
	client.demand.measure(now)
	client.ledger.dropReports(now.Add(-2 * client.timing.ownerGrantLifetime()))
	client.admitQueued(now)
	client.refuseQueued(now)
	client.limiter.closeEnded(now, &client.ledger, now)
	outcome := Outcome{Admitted: client.admitted, Refused: client.refused}
	if client.mayRequest(now) {
		outcome.Request = client.dueRequest(now)
	}
	return outcome
}

// NextStep returns the instant at which Step must be called next.
func (client *Client) NextStep() spool.Instant {
	if client.queue.Len() > 0 || client.limiter.tokens > 0 || client.inFlight || len(client.ledger.reports) > 0 {
		return client.steppedAt.Add(client.timing.RequestInterval)
	}
	return client.steppedAt.Add(time.Second)
}

// Receive handles an owner's answer; the caller must call Step at once.
func (client *Client) Receive(answer *wire.GrantAnswer, now spool.Instant) {
	sent, first := client.ledger.recordAnswer(answer.GetSequence())
	if !first {
		return
	}
	if answer.GetSequence() == client.ledger.sequence {
		client.inFlight = false
	}
	if answer.GetNotOwner() {
		client.nextRequestAt = now.Add(client.timing.Timeout)
		return
	}
	client.forecast.update(answer, sent, now)
	if answer.GetTokens() < 1 {
		return
	}
	countedFrom := sent.sentAt
	if client.timing.faults.lifetimeFromArrival {
		countedFrom = now
	}
	client.limiter.add(heldGrant{
		grant:     answer.GetGrant(),
		remaining: int(answer.GetTokens()),
		endsAt:    countedFrom.Add(time.Duration(answer.GetLifeNanos())),
	})
}

// OwnerChanged handles a change of the proxy that holds the team's role: reports to the old owner are dropped.
func (client *Client) OwnerChanged(now spool.Instant) {
	client.inFlight = false
	client.nextRequestAt = now
	client.ledger.reports = client.ledger.reports[:0]
	client.forecast.overdue = false
}

// Tokens returns the number of unspent tokens.
func (client *Client) Tokens() int { return client.limiter.tokens }

func (client *Client) admitQueued(now spool.Instant) {
	client.admitted = client.admitted[:0]
	for client.queue.Len() > 0 {
		if client.queue.First().deadline <= now || !client.limiter.spend(now) {
			return
		}
		client.admitted = append(client.admitted, client.queue.Pop().id)
	}
}

// refuseQueued refuses the queued requests that are not expected to get a token before their deadline.
func (client *Client) refuseQueued(now spool.Instant) {
	client.refused = client.refused[:0]
	kept := 0
	client.queue.Filter(func(queued queuedRequest) bool {
		wait := client.forecast.wait(kept+1, &client.timing, now)
		if now < queued.deadline && (!client.forecast.changed || now.Add(wait/waitDivisor) < queued.deadline) {
			kept++
			return true
		}
		refusal := Refusal{ID: queued.id, RetryAfter: client.retryAfter(wait, queued.deadline, now)}
		client.refused = append(client.refused, refusal)
		return false
	})
	client.forecast.changed = false
}

// retryAfter returns the delay after which a request with the same time until its deadline is expected to get a token.
func (client *Client) retryAfter(wait time.Duration, deadline, now spool.Instant) time.Duration {
	return max(wait-max(0, deadline.Sub(now)), client.timing.RequestInterval)
}
