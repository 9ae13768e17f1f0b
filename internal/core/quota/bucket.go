package quota

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Bucket holds one team's tokens at one proxy.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64
	level  float64
	filled spool.Instant
}

// NewBucket returns an empty bucket, so that a restarted proxy does not spend a burst twice.
func NewBucket(now spool.Instant) *Bucket { return &Bucket{filled: now} }

// Resize puts the proxy's part of a rate and burst in force; the level never rises by it.
func (bucket *Bucket) Resize(rate, burst float64, now spool.Instant) {
	bucket.fill(now)
	bucket.rate = rate
	bucket.burst = max(1, burst)
	bucket.level = min(bucket.level, bucket.burst)
}

// Take spends a token if there is one.
func (bucket *Bucket) Take(now spool.Instant) bool {
	bucket.fill(now)
	if bucket.level < 1 {
		return false
	}
	bucket.level--
	return true
}

// Give adds tokens that another proxy minted and gave away.
func (bucket *Bucket) Give(tokens float64, now spool.Instant) {
	bucket.fill(now)
	bucket.level += tokens
}

// Spare takes out up to want tokens but leaves keep, and returns how many.
func (bucket *Bucket) Spare(want, keep float64, now spool.Instant) float64 {
	bucket.fill(now)
	given := min(want, bucket.level-keep)
	if given <= 0 {
		return 0
	}
	bucket.level -= given
	return given
}

// Level returns the tokens at hand.
func (bucket *Bucket) Level(now spool.Instant) float64 {
	bucket.fill(now)
	return bucket.level
}

// Wait returns how long the bucket takes to mint the next whole token.
func (bucket *Bucket) Wait(now spool.Instant) time.Duration {
	bucket.fill(now)
	if bucket.level >= 1 {
		return 0
	}
	if bucket.rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration((1-bucket.level)/bucket.rate*float64(time.Second)))
}

const maxWait = 10 * time.Second // the longest time to come back that a caller is told

func (bucket *Bucket) fill(now spool.Instant) {
	elapsed := now.Sub(bucket.filled)
	bucket.filled = now
	if elapsed <= 0 || bucket.level >= bucket.burst {
		return
	}
	bucket.level = min(bucket.burst, bucket.level+bucket.rate*elapsed.Seconds())
}
