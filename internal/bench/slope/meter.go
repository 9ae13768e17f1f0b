package slope

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

const (
	shortestBatch = 10 * time.Millisecond // long enough to measure
	batchGrowth   = 4
)

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &spec); err != nil {
		panic(err)
	}
	return time.Duration(spec.Nano())
}

func micros(duration time.Duration) float64 { return float64(duration) / float64(time.Microsecond) }

// microsPerCall returns the mean CPU time of a call; it grows the batch of calls until one takes at least shortestBatch.
func microsPerCall(call func()) float64 {
	call()
	for calls := 1; ; calls *= batchGrowth {
		start := processCPUTime()
		for range calls {
			call()
		}
		if spent := processCPUTime() - start; spent >= shortestBatch {
			return micros(spent) / float64(calls)
		}
	}
}

// meter sums the CPU time of calls.
type meter struct {
	spent time.Duration
	calls int
}

func (meter *meter) measure(call func()) {
	start := processCPUTime()
	call()
	meter.spent += processCPUTime() - start
	meter.calls++
}

func (meter *meter) add(other meter) {
	meter.spent += other.spent
	meter.calls += other.calls
}

func (meter *meter) mean() float64 { return micros(meter.spent) / float64(max(meter.calls, 1)) }

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// retainedBytes returns the memory retained by the value that create returns.
func retainedBytes(create func() (any, error)) (float64, error) {
	before := memoryInUse()
	value, err := create()
	grown := memoryInUse() - before
	runtime.KeepAlive(value)
	return grown, err
}
