package clock

import (
	"context"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Wait returns after delay, or earlier with the context's error.
func Wait(ctx context.Context, timers spool.Timers, delay time.Duration) error {
	fired := make(chan struct{})
	stop := timers.After(delay, spool.TimerFunc(func(spool.Instant) { close(fired) }))
	defer stop()
	select {
	case <-fired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
