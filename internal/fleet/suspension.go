package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// Await returns at once unless the VM was suspended and the evacuated failure domains have not been learned since; then it waits
// for them, at most place.ResumeWait.
func (evacuations *evacuations) Await(now spool.Instant) {
	if place.Suspended(spool.Instant(evacuations.lastTick.Load()), now) {
		evacuations.noticeSuspension(now)
	}
	done := evacuations.suspended.Load()
	if done == nil {
		return
	}
	timer := time.NewTimer(place.ResumeWait)
	defer timer.Stop()
	select {
	case <-*done:
	case <-timer.C:
	}
}

// noticeSuspension starts to learn the evacuated failure domains anew if the VM was suspended since the last tick.
func (evacuations *evacuations) noticeSuspension(now spool.Instant) {
	evacuations.mutex.Lock()
	last := spool.Instant(evacuations.lastTick.Load())
	noticed := place.Suspended(last, now)
	if noticed {
		evacuations.lastTick.Store(int64(now))
		evacuations.resumedAt = now
		done := make(chan struct{})
		if previous := evacuations.suspended.Swap(&done); previous != nil {
			close(*previous)
		}
		evacuations.proxy.timers.After(place.ResumeWait, spool.TimerFunc(func(spool.Instant) { evacuations.release(&done) }))
	}
	evacuations.mutex.Unlock()
	if !noticed {
		return
	}
	event.Log(evacuations.proxy.logger, event.ClockJumped, zap.Duration("Gap", now.Sub(last)))
	go func() { _ = evacuations.list(context.Background()) }() // list logs the error
	go evacuations.proxy.peers.notifyAll()
}

// settle ends the wait after a suspension, since the evacuated failure domains are known again.
func (evacuations *evacuations) settle() {
	if done := evacuations.suspended.Load(); done != nil {
		evacuations.release(done)
	}
}

func (evacuations *evacuations) release(done *chan struct{}) {
	if evacuations.suspended.CompareAndSwap(done, nil) {
		close(*done)
	}
}

// evacuationGuard returns the option that makes the pool wait after a suspension if operators evacuate failure domains.
func (proxy *Proxy) evacuationGuard() pool.Option {
	if !proxy.evacuations.enabled() {
		return pool.WithGuard(nil)
	}
	return pool.WithGuard(proxy.evacuations)
}
