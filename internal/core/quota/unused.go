package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// ReturnDelay is how long a proxy whose bucket does not refill keeps received tokens that no operation uses before it returns
// them. Tokens arrive unused when they came too late, or from several issuers for one request; in a fleet of many proxies each of
// which needs a token now and then, keeping them would lose part of the rate.
const ReturnDelay = 60 * time.Millisecond

// TakeUnused removes the received tokens that neither waiting operations nor the demand within requestWindow need, and returns how
// many go back to their issuer.
func (bucketSet *BucketSet) TakeUnused(team spool.Team, waiting int, now spool.Instant) float64 {
	bucket := bucketSet.buckets[team]
	if bucket == nil || !bucketSet.issuersOnly || bucket.burst > 0 {
		return 0 // its own bucket refills, so it issues what it does not need
	}
	bucket.refill(now)
	needed := max(float64(waiting), math.Floor(bucket.demand*requestWindow.Seconds())) // what a request asks for
	return bucket.debit(math.Floor(bucket.level - needed))
}

// CreditReturned adds tokens that another proxy returned, as far as they do not stack on a full burst.
func (bucketSet *BucketSet) CreditReturned(team spool.Team, tokens float64, now spool.Instant) {
	bucket := bucketSet.buckets[team]
	if bucket == nil || !validTokens(tokens) {
		return
	}
	bucket.refill(now)
	bucket.demand = max(0, bucket.demand-tokens/demandWindow.Seconds()) // the request counted them
	bucket.urgent.rate = min(bucket.urgent.rate, bucket.demand)
	bucket.fill(tokens)
}
