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

const longestSleep = 1 * time.Second

// purse admits one team's requests on this proxy.
type purse struct {
	node *Node
	wake chan struct{}

	mutex    sync.Mutex
	client   *share.Client
	waiters  map[uint64]chan *spool.Refusal
	sequence uint64
	wakeAt   spool.Instant
}

func (node *Node) purse(team spool.Team) *purse {
	return node.purses.make(team, func() *purse {
		incarnation := uint64(time.Now().UnixNano())
		purse := &purse{
			node: node, wake: make(chan struct{}, 1),
			client:  share.NewClient(team, incarnation, node.timers.Now()),
			waiters: map[uint64]chan *spool.Refusal{},
		}
		go purse.run()
		return purse
	})
}

// admit waits for a token; a refusal says that the request did not run.
func (purse *purse) admit(ctx context.Context, deadline spool.Instant) *spool.Refusal {
	purse.mutex.Lock()
	purse.sequence++
	id := purse.sequence
	answer := purse.client.Ask(id, deadline, purse.node.timers.Now())
	if answer.Verdict != share.Queued {
		purse.rouse(purse.client.Due())
		purse.mutex.Unlock()
		if answer.Verdict == share.Refused {
			return overRate(answer.RetryAfter)
		}
		return nil
	}
	waiter := make(chan *spool.Refusal, 1)
	purse.waiters[id] = waiter
	purse.rouse(0)
	purse.mutex.Unlock()
	select {
	case refusal := <-waiter:
		return refusal
	case <-ctx.Done():
		return purse.abandon(id, waiter)
	}
}

func (purse *purse) abandon(id uint64, waiter chan *spool.Refusal) *spool.Refusal {
	purse.mutex.Lock()
	waiting := purse.client.Cancel(id)
	delete(purse.waiters, id)
	purse.mutex.Unlock()
	if !waiting {
		<-waiter
	}
	return &spool.Refusal{
		Verdict: spool.NotRun, Code: spool.CodeDeadlineExpired,
		Message: "the request was canceled or its deadline passed while it waited for its team's rate",
	}
}

// rouse wakes the purse if it would sleep past an instant.
func (purse *purse) rouse(at spool.Instant) {
	if at >= purse.wakeAt {
		return
	}
	select {
	case purse.wake <- struct{}{}:
	default:
	}
}

// run steps the client whenever it is due.
func (purse *purse) run() {
	for purse.node.ctx.Err() == nil {
		request, sleep := purse.step()
		if request != nil {
			purse.node.handle(core.TokensWanted{Request: request})
			continue
		}
		select {
		case <-purse.wake:
		case <-time.After(sleep):
		case <-purse.node.ctx.Done():
		}
	}
}

func (purse *purse) step() (*wire.GrantRequest, time.Duration) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	now := purse.node.timers.Now()
	outcome := purse.client.Step(now)
	for _, id := range outcome.Admitted {
		purse.tell(id, nil)
	}
	for _, refusal := range outcome.Refused {
		purse.tell(refusal.ID, overRate(refusal.RetryAfter))
	}
	purse.wakeAt = min(purse.client.Due(), now.Add(longestSleep))
	return outcome.Request, purse.wakeAt.Sub(now)
}

func (purse *purse) tell(id uint64, refusal *spool.Refusal) {
	if waiter := purse.waiters[id]; waiter != nil {
		delete(purse.waiters, id)
		waiter <- refusal
	}
}

// give takes in the owner's answer.
func (purse *purse) give(answer *wire.GrantAnswer) {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.client.Receive(answer, purse.node.timers.Now())
	purse.rouse(0)
}

func (purse *purse) ownerChanged() {
	purse.mutex.Lock()
	defer purse.mutex.Unlock()
	purse.client.OwnerChanged(purse.node.timers.Now())
	purse.rouse(0)
}

func overRate(retryAfter time.Duration) *spool.Refusal {
	return &spool.Refusal{
		Verdict: spool.NotRun, Code: spool.CodeRateExceeded, RetryAfter: retryAfter,
		Message: "the team's rate and burst are used up",
	}
}
