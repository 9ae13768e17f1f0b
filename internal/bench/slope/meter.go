package slope

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	shortestBatch = 10 * time.Millisecond
	batchGrowth   = 4
)

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &spec); err != nil {
		panic(err)
	}
	return time.Duration(spec.Nano())
}

func micros(duration time.Duration) float64 { return float64(duration) / float64(time.Microsecond) }

// microsPerCall returns the processor time of one call, from a batch that is long enough to measure.
func microsPerCall(call func()) float64 {
	call()
	for calls := 1; ; calls *= batchGrowth {
		begin := cpu()
		for range calls {
			call()
		}
		if spent := cpu() - begin; spent >= shortestBatch {
			return micros(spent) / float64(calls)
		}
	}
}

// meter sums the processor time of calls.
type meter struct {
	spent time.Duration
	calls int
}

func (meter *meter) time(call func()) {
	begin := cpu()
	call()
	meter.spent += cpu() - begin
	meter.calls++
}

func (meter *meter) add(other meter) {
	meter.spent += other.spent
	meter.calls += other.calls
}

func (meter *meter) mean() float64 { return micros(meter.spent) / float64(max(meter.calls, 1)) }

// memory returns the bytes of heap and stacks in use after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// bytesOf returns the memory that the values made by create keep in use.
func bytesOf(create func() (any, error)) (float64, error) {
	before := memory()
	kept, err := create()
	grown := memory() - before
	runtime.KeepAlive(kept)
	return grown, err
}
