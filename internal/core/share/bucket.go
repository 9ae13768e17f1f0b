package share

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const brimPart = 0.75 // part of the burst at which a bucket counts as about to overflow

// bucket holds the tokens of one team; level + outstanding never exceeds the burst.
type bucket struct {
	timing      *Timing
	rate        float64 // tokens per second
	burst       float64
	level       float64 // tokens ready to be granted
	outstanding float64 // granted tokens that a client may still spend
	grace       spool.Instant
	filled      spool.Instant
}

func newBucket(timing *Timing, spec spool.TeamSpec, now spool.Instant) bucket {
	bucket := bucket{
		timing: timing,
		rate:   spec.RatePerSecond,
		burst:  spec.Burst,
		grace:  now.Add(timing.ownerLife()),
		filled: now,
	}
	if timing.faults.fullStart {
		bucket.level = spec.Burst
	}
	if timing.faults.noGrace || timing.faults.fullStart {
		bucket.grace = now
	}
	return bucket
}

// cap returns how many tokens may be outstanding: about half the burst, so that the other half outlasts an owner's end.
func (bucket *bucket) cap() float64 {
	if bucket.timing.faults.noCap {
		return math.Inf(1)
	}
	return min(bucket.burst, math.Ceil(bucket.burst/2))
}

// reserve returns how many tokens a new owner may have while its predecessor's grants may be alive.
func (bucket *bucket) reserve() float64 {
	return max(0, bucket.burst-bucket.cap())
}

// fill lets tokens flow in until now.
func (bucket *bucket) fill(now spool.Instant) {
	if bucket.filled < bucket.grace {
		until := min(now, bucket.grace)
		slow := bucket.reserve() / bucket.timing.ownerLife().Seconds()
		bucket.pour(min(bucket.rate, slow), bucket.reserve(), until)
	}
	bucket.pour(bucket.rate, bucket.burst, now)
}

func (bucket *bucket) pour(rate, limit float64, until spool.Instant) {
	if until <= bucket.filled {
		return
	}
	elapsed := until.Sub(bucket.filled)
	bucket.filled = until
	bucket.level += rate / (1 + bucket.timing.RateError) * elapsed.Seconds()
	bucket.trim(limit)
}

func (bucket *bucket) trim(limit float64) {
	if !bucket.timing.faults.noCap {
		limit -= bucket.outstanding
	}
	bucket.level = max(0, min(bucket.level, limit))
}

// ready returns how many whole tokens may be granted now.
func (bucket *bucket) ready() float64 {
	return math.Floor(max(0, min(bucket.level, bucket.cap()-bucket.outstanding)))
}

// brimming reports whether the bucket is about to overflow, so that a token kept back for another VM would be lost.
func (bucket *bucket) brimming() bool {
	return bucket.level+bucket.outstanding >= bucket.burst*brimPart
}

func (bucket *bucket) mint(tokens float64) {
	bucket.level -= tokens
	bucket.outstanding += tokens
}

// settle ends a grant of which unused tokens come back.
func (bucket *bucket) settle(tokens, unused float64) {
	bucket.outstanding -= tokens
	bucket.level += max(0, min(unused, tokens))
	bucket.trim(bucket.burst)
}

// resize puts a new rate and burst in force.
func (bucket *bucket) resize(spec spool.TeamSpec) {
	bucket.rate = spec.RatePerSecond
	bucket.burst = spec.Burst
	bucket.trim(bucket.burst)
}

// timeFor returns how long the bucket takes to gain tokens.
func (bucket *bucket) timeFor(tokens float64) time.Duration {
	if bucket.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(tokens/bucket.rate*float64(time.Second), math.MaxInt64/2))
}
