package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// BucketSet holds the token buckets of all teams at one proxy.
type BucketSet struct {
	teams       map[spool.Team]spool.TeamSpec
	buckets     map[spool.Team]*Bucket
	share       func(team spool.Team) float64 // of a team's rate at which this proxy's bucket refills
	single      bool                          // there is no other proxy
	issuersOnly bool                          // only the buckets of issuers refill
	shareKnown  bool                          // the fleet is known
	accrueSince spool.Instant                 // when the buckets began to refill, if that was before the share was known; else zero
	prioritized bool                          // the routes differ in priority
}

// NewBucketSet returns a set without teams, whose buckets do not refill before the fleet is known.
func NewBucketSet() *BucketSet {
	return &BucketSet{buckets: map[spool.Team]*Bucket{}, share: func(spool.Team) float64 { return 0 }}
}

// SetTeams applies the rates and bursts of the teams and removes the buckets of all other teams.
func (bucketSet *BucketSet) SetTeams(teams map[spool.Team]spool.TeamSpec, now spool.Instant) {
	bucketSet.teams = teams
	for name := range bucketSet.buckets {
		if _, known := teams[name]; !known {
			delete(bucketSet.buckets, name)
		}
	}
	bucketSet.resize(now)
}

// AccrueSince makes the buckets hold what they would have refilled since an instant, which has to be after the start of this
// process: a restarted proxy that was registered all the time issued nothing between, and no other proxy issued its share. It
// has no effect once the fleet is known.
func (bucketSet *BucketSet) AccrueSince(since spool.Instant) {
	if !bucketSet.shareKnown {
		bucketSet.accrueSince = since
	}
}

// SetFleetSize gives this proxy an equal share of each rate among the registered proxies.
func (bucketSet *BucketSet) SetFleetSize(proxies int, now spool.Instant) {
	share := 1 / float64(max(1, proxies))
	bucketSet.share = func(spool.Team) float64 { return share }
	bucketSet.single, bucketSet.issuersOnly, bucketSet.shareKnown = proxies <= 1, false, true
	bucketSet.resize(now)
}

// SetIssuerShare sets this proxy's share of each team's rate where only the buckets of issuers refill.
func (bucketSet *BucketSet) SetIssuerShare(share func(team spool.Team) float64, now spool.Instant) {
	bucketSet.share = share
	bucketSet.single, bucketSet.issuersOnly, bucketSet.shareKnown = false, true, true
	bucketSet.resize(now)
}

func (bucketSet *BucketSet) resize(now spool.Instant) {
	for name, spec := range bucketSet.teams {
		bucket := bucketSet.buckets[name]
		if bucket == nil {
			bucket = NewBucket(now)
			bucketSet.buckets[name] = bucket
		}
		bucket.setIssuersOnly(bucketSet.issuersOnly)
		bucket.Resize(spec.RatePerSecond, spec.Burst, bucketSet.share(name), now)
		if bucketSet.shareKnown && bucketSet.accrueSince != 0 {
			bucket.accrue(now.Sub(bucketSet.accrueSince))
		}
	}
	if bucketSet.shareKnown && len(bucketSet.teams) > 0 {
		bucketSet.accrueSince = 0 // a team that is added later may have had buckets elsewhere
	}
}

// Decision is the result of an operation's request for a token.
type Decision struct {
	Admitted          bool
	Wait              time.Duration // until this proxy's bucket refills to the next token, if not admitted
	AwaitFirst        time.Duration // the wait for the team's first tokens at this proxy, if it may exceed WaitTimeout
	Exhausted         bool          // waiting is useless: neither refilling nor other proxies bring a token in time
	TokensToRequest   Request       // tokens to request from other proxies now, if any
	LastRequestFailed bool          // the last request to other proxies brought no tokens
	AskOne            bool          // ask one issuer, not all, also after a failed request
	Unanswered        int           // requests in a row that brought no tokens
}

// Admit reserves a token of the team until Settle, if there is one for the operation.
func (bucketSet *BucketSet) Admit(team spool.Team, operation Operation, now spool.Instant) Decision {
	bucket := bucketSet.buckets[team]
	if bucket == nil {
		return Decision{Wait: maxRetryAfter}
	}
	if !operation.Retry {
		bucket.RecordDemand(operation.Priority, now)
	}
	decision := Decision{Admitted: bucket.Reserve(operation, now), Wait: bucket.timeToLevel(bucket.needed(operation, now), now)}
	if !bucketSet.single {
		decision.AwaitFirst = bucket.awaitsFirst(now)
	}
	if decision.AwaitFirst > 0 {
		decision.Wait = min(decision.Wait, bucket.requestInterval)
	}
	ahead := operation.Waiting - operation.LessUrgent
	failing := decision.AwaitFirst == 0 && (bucketSet.single || bucket.requestInterval >= exhaustedInterval)
	if !bucketSet.single {
		decision.TokensToRequest, decision.LastRequestFailed = bucket.TokensToRequest(operation.need(), now)
		decision.AskOne = bucketSet.asksOne(bucket)
		decision.Unanswered = max(0, bucket.unanswered-1)
	}
	// An issuer may still meet a request that it remembers.
	remembered := bucket.issuersOnly && now.Sub(bucket.requestedAt) < pendingLifetime
	decision.Exhausted = failing && !remembered && !bucket.availableWithin(ahead+1, WaitTimeout)
	return decision
}

// Credit adds tokens that another proxy sent.
func (bucketSet *BucketSet) Credit(team spool.Team, tokens float64, now spool.Instant) {
	if bucket := bucketSet.buckets[team]; bucket != nil && validTokens(tokens) {
		bucket.Credit(tokens, now)
	}
}

// valid reports whether another proxy sent a usable request.
func (request Request) valid() bool {
	return validTokens(request.Tokens) && !math.IsNaN(request.UrgentTokens) && !math.IsInf(request.UrgentTokens, 0)
}

// validTokens reports whether another proxy sent a usable number of tokens. A bucket whose level is not a number would admit
// every operation.
func validTokens(tokens float64) bool { return tokens > 0 && !math.IsInf(tokens, 1) }

// Settle ends the reservation of an admitted operation's token, which is returned if the operation reached no server.
func (bucketSet *BucketSet) Settle(team spool.Team, reached bool, now spool.Instant) {
	if bucket := bucketSet.buckets[team]; bucket != nil {
		bucket.Settle(reached, now)
	}
}

// Issue removes up to the requested tokens for a proxy whose bucket does not refill, and remembers what it could not issue for
// IssuePending. It returns how many, and the tokens that this proxy requests from other issuers now.
func (bucketSet *BucketSet) Issue(from spool.VM, team spool.Team, wanted Request, now spool.Instant) (issued float64, request Decision) {
	bucket := bucketSet.buckets[team]
	if bucket == nil || !wanted.valid() {
		return 0, Decision{}
	}
	issued = bucket.Issue(wanted, now)
	bucket.await(from, wanted, issued, now)
	request.TokensToRequest, request.LastRequestFailed = bucket.TokensToRequest(wanted.need(issued), now)
	return issued, request
}

// TakeSurplus removes up to the requested tokens for another proxy and returns how many; it keeps those that this proxy needs
// soon.
func (bucketSet *BucketSet) TakeSurplus(team spool.Team, wanted Request, now spool.Instant) float64 {
	bucket := bucketSet.buckets[team]
	if bucket == nil || !wanted.valid() {
		return 0
	}
	return bucket.TakeSurplus(wanted, now)
}
