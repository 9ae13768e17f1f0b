package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	maxWait       = 10 * time.Second       // longest time to come back that a caller is told
	demandMemory  = 1 * time.Second        // over which a team's demand at this proxy is averaged
	reserveTime   = 300 * time.Millisecond // of demand that a proxy keeps for itself when it gives tokens away
	askTime       = 400 * time.Millisecond // of demand that a proxy asks for at once: a round trip between regions, ten times
	shortestPause = 50 * time.Millisecond  // between requests for tokens of a team: a round trip between regions
	longestPause  = 800 * time.Millisecond // between requests that brought nothing
	spentPause    = 4 * shortestPause      // two requests in a row brought nothing
	// WaitTimeout is how long an operation waits for a token.
	WaitTimeout = 120 * time.Millisecond // three round trips between regions
	leastAsked  = 2                      // tokens

	// homePause takes the place of shortestPause where few proxies mint: an operation waits for them each time, first for one
	// in the region and then for all, within Patience.
	homePause = 20 * time.Millisecond
	giftLife  = time.Second // after which a proxy that mints none drops what it was given and did not use
)

// Bucket holds one team's tokens at one proxy.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64
	level  float64
	held   float64 // tokens of admitted operations of which nothing has reached a server
	filled spool.Instant
	demand float64 // operations a second
	asked  spool.Instant
	pause  time.Duration
	given  spool.Instant // when another proxy last gave tokens
	homes  bool          // only few proxies mint
	team   float64       // tokens a second that the whole fleet mints
}

// NewBucket returns an empty bucket, so that a restarted proxy does not spend a burst twice.
func NewBucket(now spool.Instant) *Bucket { return &Bucket{filled: now, pause: shortestPause} }

// Resize puts the proxy's part of a team's rate and burst in force; the level never rises by it.
func (bucket *Bucket) Resize(rate, burst, part float64, now spool.Instant) {
	bucket.fill(now)
	bucket.team = rate
	bucket.rate = rate * part
	bucket.burst = 0
	if part > 0 {
		bucket.burst = max(1, burst*part)
	}
	bucket.level = min(bucket.level, max(0, bucket.burst-bucket.held))
}

// gather tells if only few proxies mint the team's rate.
func (bucket *Bucket) gather(homes bool) {
	if bucket.homes != homes {
		bucket.homes = homes
		bucket.pause = bucket.shortest()
	}
}

// shortest returns the time between requests for tokens that are met.
func (bucket *Bucket) shortest() time.Duration {
	if bucket.homes {
		return homePause
	}
	return shortestPause
}

// RecordDemand counts an operation that asks for a token.
func (bucket *Bucket) RecordDemand(now spool.Instant) {
	bucket.fill(now)
	bucket.demand += 1 / demandMemory.Seconds()
}

// Reserve holds a token for an operation if there is one; Settle ends the hold.
func (bucket *Bucket) Reserve(now spool.Instant) bool {
	bucket.fill(now)
	if bucket.level < 1 {
		return false
	}
	bucket.level--
	bucket.held++
	return true
}

// TokensToRequest returns how many tokens to ask other proxies for now, or zero, for so many operations that wait; again tells that the
// last request brought nothing.
func (bucket *Bucket) TokensToRequest(waiting int, now spool.Instant) (tokens float64, again bool) {
	bucket.fill(now)
	low := max(1, bucket.demand*bucket.shortest().Seconds()*2)
	if bucket.level >= low || bucket.asked != 0 && now.Sub(bucket.asked) < bucket.pause {
		return 0, false
	}
	bucket.asked = now
	again = bucket.pause > bucket.shortest()
	bucket.pause = min(2*bucket.pause, longestPause)
	if bucket.homes {
		return math.Ceil(max(float64(waiting), bucket.demand*askTime.Seconds())), again
	}
	return max(leastAsked, bucket.demand*askTime.Seconds()), again
}

// Credit adds tokens that another proxy minted and gave away.
func (bucket *Bucket) Credit(tokens float64, now spool.Instant) {
	bucket.fill(now)
	bucket.level += tokens
	bucket.given = now
	bucket.pause = bucket.shortest()
}

// Settle ends the hold of a token: it is spent if the operation reached a server, else it comes back.
func (bucket *Bucket) Settle(reached bool, now spool.Instant) {
	bucket.fill(now)
	if bucket.held < 1 {
		return // the bucket was made after the operation was admitted
	}
	bucket.held--
	if !reached {
		bucket.level++
	}
}

// TakeSurplus takes out up to want tokens for another proxy that mints, but keeps what this one needs soon, and returns how many.
func (bucket *Bucket) TakeSurplus(want float64, now spool.Instant) float64 {
	bucket.fill(now)
	return bucket.takeOut(min(want, bucket.level-bucket.demand*reserveTime.Seconds()))
}

// Issue is like Spare for a proxy that mints none, whose demand is met from here: it counts as this one's own.
func (bucket *Bucket) Issue(want float64, now spool.Instant) float64 {
	bucket.fill(now)
	bucket.demand += want / demandMemory.Seconds()
	return bucket.takeOut(math.Floor(min(want, bucket.level))) // a part of a token would never become whole there
}

func (bucket *Bucket) takeOut(given float64) float64 {
	if given <= 0 {
		return 0
	}
	bucket.level -= given
	return given
}

// mints tells if the bucket has or mints some tokens within a time.
func (bucket *Bucket) mints(tokens int, within time.Duration) bool {
	return bucket.level+bucket.rate*within.Seconds() >= float64(tokens)
}

// TimeToNextToken returns how long the bucket takes to mint the next whole token.
func (bucket *Bucket) TimeToNextToken(now spool.Instant) time.Duration {
	bucket.fill(now)
	if bucket.level >= 1 {
		return 0
	}
	if bucket.team <= 0 {
		return maxWait
	}
	if bucket.rate <= 0 {
		return min(maxWait, max(bucket.pause, time.Duration(float64(time.Second)/bucket.team)))
	}
	return min(maxWait, time.Duration((1-bucket.level)/bucket.rate*float64(time.Second)))
}

func (bucket *Bucket) fill(now spool.Instant) {
	elapsed := now.Sub(bucket.filled)
	if elapsed <= 0 {
		return
	}
	bucket.filled = now
	bucket.demand *= math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
	if bucket.burst == 0 && now.Sub(bucket.given) > giftLife {
		bucket.level = 0
	}
	// Held tokens count as part of the level: those that come back do not add to a full bucket.
	if full := bucket.burst - bucket.held; bucket.level < full {
		bucket.level = min(full, bucket.level+bucket.rate*elapsed.Seconds())
	}
}
