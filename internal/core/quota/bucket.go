package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	maxRetryAfter      = 10 * time.Second       // longest retry time that is returned to a caller
	demandWindow       = 1 * time.Second        // over which a team's demand at this proxy is averaged
	reserveWindow      = 300 * time.Millisecond // of demand that a proxy keeps tokens for when it transfers tokens to others
	requestWindow      = 400 * time.Millisecond // of demand that one request covers: ten round trips between regions
	minRequestInterval = 50 * time.Millisecond  // between requests for tokens of a team: a round trip between regions
	maxRequestInterval = 800 * time.Millisecond // between requests that brought no tokens
	exhaustedInterval  = 4 * minRequestInterval // reached when two requests in a row brought no tokens, four where only issuers refill
	// WaitTimeout is how long an operation waits for a token.
	WaitTimeout = 120 * time.Millisecond // three round trips between regions
	minRequest  = 2                      // tokens

	// issuerRequestInterval replaces minRequestInterval where only issuers refill: each operation needs a request, first to the
	// issuer of the region and then to all issuers, within WaitTimeout.
	issuerRequestInterval = 20 * time.Millisecond
	// firstTokenTimeout bounds the first wait for tokens of a team at a proxy: until the proxies agree on the size of the
	// fleet and on the issuers, and are connected, no answer does not mean that the rate is exceeded.
	firstTokenTimeout = 1500 * time.Millisecond // three heartbeats
	creditLifetime    = time.Second             // after which a proxy whose bucket does not refill drops received tokens that it did not use
)

// Bucket is the token bucket of one team at one proxy.
type Bucket struct {
	rate            float64 // tokens a second
	burst           float64
	level           float64 // tokens
	reserved        float64 // tokens of admitted operations that have not reached a server yet
	filledAt        spool.Instant
	demand          float64 // operations a second
	urgent          urgentDemand
	pending         []pendingRequest // of other proxies, by priority and age
	requestedAt     spool.Instant
	requestInterval time.Duration
	// requestedPriority is the priority of the operation that caused the last request.
	requestedPriority int
	unanswered        int           // requests in a row that brought no tokens
	creditedAt        spool.Instant // when tokens of another proxy last arrived
	issuersOnly       bool          // only the buckets of issuers refill
	teamRate          float64       // tokens a second in the whole fleet
	supplied          bool          // an operation got a token, or another proxy sent some
	awaitedSince      spool.Instant // when the first operation needed a token
}

// NewBucket returns an empty bucket, so that a restarted proxy does not spend a burst twice.
func NewBucket(now spool.Instant) *Bucket {
	return &Bucket{filledAt: now, requestInterval: minRequestInterval}
}

// Resize applies the proxy's share of a team's rate, in tokens a second, and burst; it never raises the level.
func (bucket *Bucket) Resize(rate, burst, share float64, now spool.Instant) {
	bucket.refill(now)
	bucket.teamRate = rate
	bucket.rate = rate * share
	bucket.burst = 0
	if share > 0 {
		bucket.burst = max(1, burst*share)
	}
	if bucket.burst > 0 { // received tokens of a bucket that does not refill expire by themselves
		bucket.level = min(bucket.level, max(0, bucket.burst-bucket.reserved))
	}
}

// accrue adds the tokens that the bucket refills with in a time.
func (bucket *Bucket) accrue(elapsed time.Duration) { bucket.fill(bucket.rate * elapsed.Seconds()) }

// fill adds tokens up to the capacity, and none above it. Reserved tokens count towards the capacity, so that returned ones never
// exceed it.
func (bucket *Bucket) fill(tokens float64) {
	if capacity := bucket.burst - bucket.reserved; bucket.level < capacity {
		bucket.level = min(capacity, bucket.level+tokens)
	}
}

// setIssuersOnly sets whether only the buckets of issuers refill.
func (bucket *Bucket) setIssuersOnly(issuersOnly bool) {
	if bucket.issuersOnly != issuersOnly {
		bucket.issuersOnly = issuersOnly
		bucket.requestInterval = bucket.minInterval()
	}
}

// minInterval returns the time between requests for tokens as long as they are met.
func (bucket *Bucket) minInterval() time.Duration {
	if bucket.issuersOnly {
		return issuerRequestInterval
	}
	return minRequestInterval
}

// RecordDemand counts an operation that needs a token.
func (bucket *Bucket) RecordDemand(priority int, now spool.Instant) {
	bucket.refill(now)
	bucket.demand += 1 / demandWindow.Seconds()
	bucket.urgent.record(priority, 1, now)
	if bucket.awaitedSince == 0 {
		bucket.awaitedSince = now
	}
}

// awaitsFirst returns how much longer an operation may wait for the team's first tokens at this proxy, or zero if some arrived.
func (bucket *Bucket) awaitsFirst(now spool.Instant) time.Duration {
	if bucket.supplied || bucket.teamRate <= 0 || bucket.awaitedSince == 0 {
		return 0
	}
	return max(0, firstTokenTimeout-now.Sub(bucket.awaitedSince))
}

// Reserve reserves a token for an operation and returns false if there is none; Settle ends the reservation.
func (bucket *Bucket) Reserve(operation Operation, now spool.Instant) bool {
	bucket.refill(now)
	if bucket.level < bucket.needed(operation, now) {
		return false
	}
	bucket.level--
	bucket.reserved++
	bucket.supplied = true
	return true
}

// TokensToRequest returns which tokens to request from other proxies now, if any; lastFailed reports that the last request
// brought no tokens. Requests that bring none become rarer, except for operations more urgent than those of the last one.
func (bucket *Bucket) TokensToRequest(need need, now spool.Instant) (request Request, lastFailed bool) {
	bucket.refill(now)
	threshold := max(1, bucket.demand*bucket.minInterval().Seconds()*2)
	interval := bucket.requestInterval
	if need.priority < bucket.requestedPriority {
		interval = bucket.minInterval()
	}
	if bucket.level >= threshold || bucket.requestedAt != 0 && now.Sub(bucket.requestedAt) < interval {
		return Request{}, false
	}
	bucket.requestedAt, bucket.requestedPriority = now, need.priority
	bucket.unanswered++
	lastFailed = interval > bucket.minInterval()
	bucket.requestInterval = min(2*interval, maxRequestInterval)
	if bucket.awaitsFirst(now) > 0 {
		bucket.requestInterval = min(bucket.requestInterval, 2*minRequestInterval)
	}
	return bucket.request(need), lastFailed
}

// Credit adds tokens that another proxy sent.
func (bucket *Bucket) Credit(tokens float64, now spool.Instant) {
	bucket.refill(now)
	bucket.level += tokens
	bucket.creditedAt = now
	bucket.supplied, bucket.unanswered = true, 0
	bucket.requestInterval = bucket.minInterval()
}

// Settle ends the reservation of a token: it is spent if the operation reached a server, else it returns to the bucket.
func (bucket *Bucket) Settle(reached bool, now spool.Instant) {
	bucket.refill(now)
	if bucket.reserved < 1 {
		return // the bucket was created after the operation was admitted
	}
	bucket.reserved--
	if !reached {
		bucket.level++
	}
}

// TakeSurplus removes up to the requested tokens for another proxy whose bucket refills and returns how many; it keeps the tokens
// that this proxy needs within reserveWindow, for the most urgent tokens only those that its own operations of that priority need.
func (bucket *Bucket) TakeSurplus(request Request, now spool.Instant) float64 {
	bucket.refill(now)
	available := bucket.level - bucket.demand*reserveWindow.Seconds()
	urgentAvailable := available
	if request.Priority < bucket.urgent.priority {
		urgentAvailable = bucket.level
	} else if request.Priority == bucket.urgent.priority {
		urgentAvailable = bucket.level - min(bucket.demand, bucket.urgent.rate)*reserveWindow.Seconds()
	}
	return bucket.debit(request.split(urgentAvailable, available, false))
}

// Issue removes up to the requested tokens for a proxy whose bucket does not refill and returns how many. The demand of that
// proxy counts as this one's own, so no tokens are kept back but those for more urgent operations.
func (bucket *Bucket) Issue(request Request, now spool.Instant) float64 {
	bucket.refill(now)
	bucket.demand += request.Tokens / demandWindow.Seconds()
	bucket.urgent.record(request.Priority, request.UrgentTokens, now)
	return bucket.take(request, now)
}

// take removes the tokens that a request gets now.
func (bucket *Bucket) take(request Request, now spool.Instant) float64 {
	available := bucket.level - bucket.heldBack(now)
	urgentAvailable := available
	if request.Priority <= bucket.urgent.priority {
		urgentAvailable = bucket.level
	}
	return bucket.debit(request.split(urgentAvailable, available, true))
}

func (bucket *Bucket) debit(tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	bucket.level -= tokens
	return tokens
}

// availableWithin reports whether the bucket holds that many tokens now or after refilling for the given time.
func (bucket *Bucket) availableWithin(tokens int, within time.Duration) bool {
	return bucket.level+bucket.rate*within.Seconds() >= float64(tokens)
}

// minTokenWait is the shortest wait for a level: shorter ones would be spent on looks while tokens are held back.
const minTokenWait = 10 * time.Millisecond

// timeToLevel returns how long the bucket takes to refill to a level, which is at least one token, at most maxRetryAfter.
func (bucket *Bucket) timeToLevel(level float64, now spool.Instant) time.Duration {
	bucket.refill(now)
	if bucket.level >= level {
		return 0
	}
	if bucket.teamRate <= 0 {
		return maxRetryAfter
	}
	if bucket.rate <= 0 {
		return min(maxRetryAfter, max(bucket.requestInterval, time.Duration(float64(time.Second)/bucket.teamRate)))
	}
	return min(maxRetryAfter, max(minTokenWait, time.Duration((level-bucket.level)/bucket.rate*float64(time.Second))))
}

func (bucket *Bucket) refill(now spool.Instant) {
	elapsed := now.Sub(bucket.filledAt)
	if elapsed <= 0 {
		return
	}
	bucket.filledAt = now
	bucket.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	bucket.urgent.decay(elapsed)
	if bucket.burst == 0 && now.Sub(bucket.creditedAt) > creditLifetime {
		bucket.level = 0
	}
	bucket.accrue(elapsed)
}
