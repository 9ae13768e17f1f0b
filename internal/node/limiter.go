package node

import (
	"context"
	"sync"
	"time"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const maxSleep = 1 * time.Second

// limiter admits one team's requests on this proxy with tokens that the team's issuer grants.
type limiter struct {
	node *Node
	wake chan struct{}

	mutex    sync.Mutex
	client   *share.Client
	waiters  map[uint64]chan *spool.Refusal
	sequence uint64
	wakeAt   spool.Instant
}

func (node *Node) limiter(team spool.Team) *limiter {
	return node.limiters.getOrCreate(team, func() *limiter {
		incarnation := uint64(time.Now().UnixNano())
		limiter := &limiter{
			node: node, wake: make(chan struct{}, 1),
			client:  share.NewClient(team, incarnation, node.timers.Now()),
			waiters: map[uint64]chan *spool.Refusal{},
		}
		go limiter.run()
		return limiter
	})
}

// admit waits for a token until the deadline; its refusals have VerdictNotRun.
func (limiter *limiter) admit(ctx context.Context, deadline spool.Instant) *spool.Refusal {
	limiter.mutex.Lock()
	limiter.sequence++
	id := limiter.sequence
	answer := limiter.client.Acquire(id, deadline, limiter.node.timers.Now())
	if answer.Verdict != share.Queued {
		limiter.wakeBefore(limiter.client.NextStep())
		limiter.mutex.Unlock()
		if answer.Verdict == share.Refused {
			return rateRefusal(answer.RetryAfter)
		}
		return nil
	}
	waiter := make(chan *spool.Refusal, 1)
	limiter.waiters[id] = waiter
	limiter.wakeBefore(0)
	limiter.mutex.Unlock()
	select {
	case refusal := <-waiter:
		return refusal
	case <-ctx.Done():
		return limiter.abandon(id, waiter)
	}
}

func (limiter *limiter) abandon(id uint64, waiter chan *spool.Refusal) *spool.Refusal {
	limiter.mutex.Lock()
	queued := limiter.client.Cancel(id)
	delete(limiter.waiters, id)
	limiter.mutex.Unlock()
	if !queued {
		<-waiter
	}
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeDeadlineExpired,
		Message: "the request was canceled or its deadline passed while it waited for its team's rate",
	}
}

// wakeBefore wakes the limiter if it would sleep past an instant.
func (limiter *limiter) wakeBefore(at spool.Instant) {
	if at >= limiter.wakeAt {
		return
	}
	select {
	case limiter.wake <- struct{}{}:
	default:
	}
}

// run steps the client whenever it is due and sends its requests for tokens.
func (limiter *limiter) run() {
	for limiter.node.ctx.Err() == nil {
		request, sleep := limiter.step()
		if request != nil {
			limiter.node.handle(core.TokensRequested{Request: request})
			continue
		}
		select {
		case <-limiter.wake:
		case <-time.After(sleep):
		case <-limiter.node.ctx.Done():
		}
	}
}

func (limiter *limiter) step() (*wire.GrantRequest, time.Duration) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := limiter.node.timers.Now()
	outcome := limiter.client.Step(now)
	for _, id := range outcome.Admitted {
		limiter.resolve(id, nil)
	}
	for _, refusal := range outcome.Refused {
		limiter.resolve(refusal.ID, rateRefusal(refusal.RetryAfter))
	}
	limiter.wakeAt = min(limiter.client.NextStep(), now.Add(maxSleep))
	return outcome.Request, limiter.wakeAt.Sub(now)
}

func (limiter *limiter) resolve(id uint64, refusal *spool.Refusal) {
	if waiter := limiter.waiters[id]; waiter != nil {
		delete(limiter.waiters, id)
		waiter <- refusal
	}
}

// receiveGrant passes the issuer's answer to the client.
func (limiter *limiter) receiveGrant(answer *wire.GrantAnswer) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.client.Receive(answer, limiter.node.timers.Now())
	limiter.wakeBefore(0)
}

func (limiter *limiter) ownerChanged() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.client.OwnerChanged(limiter.node.timers.Now())
	limiter.wakeBefore(0)
}

func rateRefusal(retryAfter time.Duration) *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeRateExceeded, RetryAfter: retryAfter,
		Message: "the team's rate and burst are used up",
	}
}
