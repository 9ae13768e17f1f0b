package share

import (
	"time"

	"corianderspool.example/spool/internal/core/fifo"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const doubt = 2 // a queued request is refused when even this part of its expected wait is too long

// waiting is a queued request.
type waiting struct {
	id       uint64
	deadline spool.Instant
}

// Client admits one team's requests on one proxy with tokens that the team's owner granted.
type Client struct {
	timing   Timing
	team     spool.Team
	limiter  limiter
	ledger   ledger
	queue    fifo.Queue[waiting]
	demand   demand
	forecast forecast
	asking   bool // a request is on its way
	askedAt  spool.Instant
	nextAsk  spool.Instant
	stepped  spool.Instant
	admitted []uint64
	refused  []Refusal
}

// NewClient returns a client without tokens that numbers its requests from first on.
//
// First must be above every number that earlier clients of the VM used, such as the wall clock in nanoseconds.
func NewClient(team spool.Team, first uint64, now spool.Instant, options ...Option) *Client {
	client := &Client{timing: newTiming(options), team: team, nextAsk: now, stepped: now}
	client.ledger.sequence = first
	client.demand.measured = now
	return client
}

// Ask admits a request, queues it until its deadline or refuses it; after Queued the caller steps the client at once.
func (client *Client) Ask(id uint64, deadline, now spool.Instant) Answer {
	client.demand.asked++
	if client.queue.Len() == 0 && client.limiter.take(now) {
		return Answer{Verdict: Admitted}
	}
	wait := client.forecast.wait(client.queue.Len()+1, &client.timing, now)
	if now.Add(wait) >= deadline {
		return Answer{Verdict: Refused, RetryAfter: client.retryAfter(wait, deadline, now)}
	}
	client.queue.Push(waiting{id: id, deadline: deadline})
	return Answer{Verdict: Queued}
}

// Cancel drops a queued request and reports whether it was still queued.
func (client *Client) Cancel(id uint64) bool {
	before := client.queue.Len()
	client.queue.Filter(func(waiting waiting) bool { return waiting.id != id })
	return client.queue.Len() < before
}

// Step decides on queued requests and returns the request to send when one is due.
func (client *Client) Step(now spool.Instant) Outcome {
	client.stepped = now
	client.demand.measure(now)
	client.ledger.forget(now.Add(-2 * client.timing.ownerLife()))
	client.admit(now)
	client.refuse(now)
	client.limiter.closeEnded(now, &client.ledger, now)
	outcome := Outcome{Admitted: client.admitted, Refused: client.refused}
	if client.mayAsk(now) {
		outcome.Request = client.request(now)
	}
	return outcome
}

// Due returns the instant at which the client wants to be stepped next.
func (client *Client) Due() spool.Instant {
	if client.queue.Len() > 0 || client.limiter.total > 0 || client.asking || len(client.ledger.uses) > 0 {
		return client.stepped.Add(client.timing.Poll)
	}
	return client.stepped.Add(time.Second)
}

// Receive takes an owner's answer; the caller steps the client at once.
func (client *Client) Receive(answer *wire.GrantAnswer, now spool.Instant) {
	sent, first := client.ledger.answered(answer.GetSequence())
	if !first {
		return
	}
	if answer.GetSequence() == client.ledger.sequence {
		client.asking = false
	}
	if answer.GetNotOwner() {
		client.nextAsk = now.Add(client.timing.Timeout)
		return
	}
	client.forecast.learn(answer, sent, now)
	if answer.GetTokens() < 1 {
		return
	}
	starts := sent.at
	if client.timing.faults.lifeFromArrival {
		starts = now
	}
	client.limiter.put(holding{
		grant: answer.GetGrant(),
		left:  int(answer.GetTokens()),
		ends:  starts.Add(time.Duration(answer.GetLifeNanos())),
	})
}

// OwnerChanged tells that another proxy holds the team's role now.
func (client *Client) OwnerChanged(now spool.Instant) {
	client.asking = false
	client.nextAsk = now
	client.ledger.uses = client.ledger.uses[:0]
	client.forecast.lost = false
}

// Tokens returns the number of tokens that are left of the grants.
func (client *Client) Tokens() int { return client.limiter.total }

func (client *Client) admit(now spool.Instant) {
	client.admitted = client.admitted[:0]
	for client.queue.Len() > 0 {
		if client.queue.First().deadline <= now || !client.limiter.take(now) {
			return
		}
		client.admitted = append(client.admitted, client.queue.Pop().id)
	}
}

// refuse refuses the queued requests that get no token before their deadline.
func (client *Client) refuse(now spool.Instant) {
	client.refused = client.refused[:0]
	kept := 0
	client.queue.Filter(func(waiting waiting) bool {
		wait := client.forecast.wait(kept+1, &client.timing, now)
		if now < waiting.deadline && (!client.forecast.fresh || now.Add(wait/doubt) < waiting.deadline) {
			kept++
			return true
		}
		refusal := Refusal{ID: waiting.id, RetryAfter: client.retryAfter(wait, waiting.deadline, now)}
		client.refused = append(client.refused, refusal)
		return false
	})
	client.forecast.fresh = false
}

// retryAfter returns when a request with as much time left as this one can hope for a token.
func (client *Client) retryAfter(wait time.Duration, deadline, now spool.Instant) time.Duration {
	return max(wait-max(0, deadline.Sub(now)), client.timing.Poll)
}
