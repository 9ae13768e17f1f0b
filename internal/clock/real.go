package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"corianderspool.example/spool/pkg/spool"
)

// Real implements spool.Timers with the machine's clock, which includes the time that the VM was suspended.
type Real struct{}

// Now returns the time since the machine's boot.
func (real Real) Now() spool.Instant {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic(err)
	}
	return spool.Instant(spec.Nano())
}

// Every calls receiver once per period from a separate goroutine.
func (real Real) Every(period time.Duration, receiver spool.TimerReceiver) (stop func()) {
	ticker := time.NewTicker(period)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				receiver.Fire(real.Now())
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

// After calls receiver once after delay from a separate goroutine.
func (real Real) After(delay time.Duration, receiver spool.TimerReceiver) (stop func()) {
	timer := time.AfterFunc(delay, func() { receiver.Fire(real.Now()) })
	return func() { timer.Stop() }
}
