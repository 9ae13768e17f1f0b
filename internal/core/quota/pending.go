package quota

import (
	"cmp"
	"slices"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// pendingLifetime is how long an issuer remembers a request that it could not meet. It is shorter than WaitTimeout by the
	// transit of request and tokens, so that the operation still waits when the tokens arrive.
	pendingLifetime = 80 * time.Millisecond
	maxPending      = 64 // requests of a team; more would not be met within pendingLifetime
)

// pendingRequest is a request of another proxy that an issuer could not meet yet.
type pendingRequest struct {
	from  spool.VM
	need  Request
	until spool.Instant
}

// Transfer is tokens for another proxy.
type Transfer struct {
	To     spool.VM
	Tokens float64
}

// await remembers the tokens that a request still needs for operations that wait, in place of an earlier request of the same
// proxy. More urgent requests come first, then older ones.
func (bucket *Bucket) await(from spool.VM, request Request, issued float64, now spool.Instant) {
	bucket.pending = slices.DeleteFunc(bucket.pending, func(pending pendingRequest) bool { return pending.from == from || pending.until <= now })
	left := max(0, request.Tokens-issued)
	if left < 1 || len(bucket.pending) >= maxPending {
		return
	}
	need := Request{Tokens: left, Priority: request.Priority, UrgentTokens: min(left, max(0, request.UrgentTokens-issued))}
	bucket.pending = append(bucket.pending, pendingRequest{from: from, need: need, until: now.Add(pendingLifetime)})
	slices.SortStableFunc(bucket.pending, func(left, right pendingRequest) int { return cmp.Compare(left.need.Priority, right.need.Priority) })
}

// IssuePending issues tokens that became available to the requests that could not be met before, and returns when to look again,
// or zero if no request is pending. It answers a team that asks for more than its rate at many proxies: each token goes to an
// operation that waits for it, where otherwise it would wait for the next request.
func (bucketSet *BucketSet) IssuePending(team spool.Team, now spool.Instant) (transfers []Transfer, next time.Duration) {
	bucket := bucketSet.buckets[team]
	if bucket == nil {
		return nil, 0
	}
	bucket.refill(now)
	bucket.pending = slices.DeleteFunc(bucket.pending, func(pending pendingRequest) bool {
		if pending.until <= now {
			return true
		}
		tokens := bucket.take(pending.need, now)
		if tokens > 0 {
			transfers = append(transfers, Transfer{To: pending.from, Tokens: tokens})
		}
		return tokens > 0 // what it needs beyond that, it requests again
	})
	if len(bucket.pending) == 0 {
		return transfers, 0
	}
	first := bucket.pending[0].need.Priority
	level := bucket.needed(Operation{Priority: first}, now)
	return transfers, max(minTokenWait, min(pendingLifetime, bucket.timeToLevel(level, now)))
}
