package share

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const nearlyFullFraction = 0.75 // fraction of the burst from which a bucket counts as nearly full

// bucket is the token bucket of one team; level + outstanding never exceeds the burst.
type bucket struct {
	timing      *Timing
	rate        float64 // tokens per second
	burst       float64
	level       float64       // tokens that are not granted
	outstanding float64       // granted tokens that a client may still spend
	graceUntil  spool.Instant // end of the grace period, in which the previous owner's grants may still be spent
	filledUntil spool.Instant
}

func newBucket(timing *Timing, spec spool.TeamSpec, now spool.Instant) bucket {
	bucket := bucket{
		timing:      timing,
		rate:        spec.RatePerSecond,
		burst:       spec.Burst,
		graceUntil:  now.Add(timing.ownerGrantLifetime()),
		filledUntil: now,
	}
	if timing.faults.fullStart {
		bucket.level = spec.Burst
	}
	if timing.faults.noGrace || timing.faults.fullStart {
		bucket.graceUntil = now
	}
	return bucket
}

// maxOutstanding returns how many tokens may be outstanding: about half the burst, so that a new owner can grant the
// other half while its predecessor's grants may still be spent.
func (bucket *bucket) maxOutstanding() float64 {
	if bucket.timing.faults.noCap {
		return math.Inf(1)
	}
	return min(bucket.burst, math.Ceil(bucket.burst/2))
}

// graceBurst returns the burst of a new owner while its predecessor's grants may still be spent.
func (bucket *bucket) graceBurst() float64 {
	return max(0, bucket.burst-bucket.maxOutstanding())
}

// refill adds the tokens accrued until now, during the grace period at the reduced rate.
func (bucket *bucket) refill(now spool.Instant) {
	if bucket.filledUntil < bucket.graceUntil {
		until := min(now, bucket.graceUntil)
		graceRate := bucket.graceBurst() / bucket.timing.ownerGrantLifetime().Seconds()
		bucket.addTokens(min(bucket.rate, graceRate), bucket.graceBurst(), until)
	}
	bucket.addTokens(bucket.rate, bucket.burst, now)
}

func (bucket *bucket) addTokens(rate, limit float64, until spool.Instant) {
	if until <= bucket.filledUntil {
		return
	}
	elapsed := until.Sub(bucket.filledUntil)
	bucket.filledUntil = until
	bucket.level += rate / (1 + bucket.timing.RateError) * elapsed.Seconds()
	bucket.capLevel(limit)
}

func (bucket *bucket) capLevel(limit float64) {
	if !bucket.timing.faults.noCap {
		limit -= bucket.outstanding
	}
	bucket.level = max(0, min(bucket.level, limit))
}

// grantable returns how many whole tokens may be granted now.
func (bucket *bucket) grantable() float64 {
	return math.Floor(max(0, min(bucket.level, bucket.maxOutstanding()-bucket.outstanding)))
}

// nearlyFull reports whether the bucket is about to overflow, so that a token kept back for another VM would be lost.
func (bucket *bucket) nearlyFull() bool {
	return bucket.level+bucket.outstanding >= bucket.burst*nearlyFullFraction
}

func (bucket *bucket) grant(tokens float64) {
	bucket.level -= tokens
	bucket.outstanding += tokens
}

// endGrant ends a grant and returns its unused tokens to the bucket.
func (bucket *bucket) endGrant(tokens, unused float64) {
	bucket.outstanding -= tokens
	bucket.level += max(0, min(unused, tokens))
	bucket.capLevel(bucket.burst)
}

// resize sets a new rate and burst.
func (bucket *bucket) resize(spec spool.TeamSpec) {
	bucket.rate = spec.RatePerSecond
	bucket.burst = spec.Burst
	bucket.capLevel(bucket.burst)
}

// timeFor returns how long the bucket takes to accrue tokens.
func (bucket *bucket) timeFor(tokens float64) time.Duration {
	if bucket.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(tokens/bucket.rate*float64(time.Second), math.MaxInt64/2))
}
