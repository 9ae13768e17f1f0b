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

// SetFleetSize gives this proxy an equal share of each rate among the registered proxies.
func (bucketSet *BucketSet) SetFleetSize(proxies int, now spool.Instant) {
	share := 1 / float64(max(1, proxies))
	bucketSet.share = func(spool.Team) float64 { return share }
	bucketSet.single, bucketSet.issuersOnly = proxies <= 1, false
	bucketSet.resize(now)
}

// SetIssuerShare sets this proxy's share of each team's rate where only the buckets of issuers refill.
func (bucketSet *BucketSet) SetIssuerShare(share func(team spool.Team) float64, now spool.Instant) {
	bucketSet.share = share
	bucketSet.single, bucketSet.issuersOnly = false, true
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
	}
}

// Decision is the result of an operation's request for a token.
type Decision struct {
	Admitted          bool
	Wait              time.Duration // until this proxy's bucket refills to the next token, if not admitted
	AwaitFirst        time.Duration // the wait for the team's first tokens at this proxy, if it may exceed WaitTimeout
	Exhausted         bool          // waiting is useless: neither refilling nor other proxies bring a token in time
	TokensToRequest   float64       // tokens to request from other proxies now, or zero
	LastRequestFailed bool          // the last request to other proxies brought no tokens
}

// Admit reserves a token of the team until Settle, if there is one. A retry is not counted as new demand; waiting is the number
// of the team's operations that wait for a token.
func (bucketSet *BucketSet) Admit(team spool.Team, retry bool, waiting int, now spool.Instant) Decision {
	bucket := bucketSet.buckets[team]
	if bucket == nil {
		return Decision{Wait: maxRetryAfter}
	}
	if !retry {
		bucket.RecordDemand(now)
	}
	decision := Decision{Admitted: bucket.Reserve(now), Wait: bucket.TimeToNextToken(now)}
	if !bucketSet.single {
		decision.AwaitFirst = bucket.awaitsFirst(now)
	}
	if decision.AwaitFirst > 0 {
		decision.Wait = min(decision.Wait, bucket.requestInterval)
	}
	decision.Exhausted = decision.AwaitFirst == 0 && (bucketSet.single || bucket.requestInterval >= exhaustedInterval) && !bucket.availableWithin(waiting+1, WaitTimeout)
	if !bucketSet.single {
		decision.TokensToRequest, decision.LastRequestFailed = bucket.TokensToRequest(waiting+1, now)
	}
	return decision
}

// Credit adds tokens that another proxy sent.
func (bucketSet *BucketSet) Credit(team spool.Team, tokens float64, now spool.Instant) {
	if bucket := bucketSet.buckets[team]; bucket != nil && validTokens(tokens) {
		bucket.Credit(tokens, now)
	}
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

// Issue removes up to want tokens for a proxy whose bucket does not refill. It returns how many, and the tokens that this proxy
// requests from other issuers now.
func (bucketSet *BucketSet) Issue(team spool.Team, want float64, now spool.Instant) (issued float64, request Decision) {
	bucket := bucketSet.buckets[team]
	if bucket == nil || !validTokens(want) {
		return 0, Decision{}
	}
	issued = bucket.Issue(want, now)
	request.TokensToRequest, request.LastRequestFailed = bucket.TokensToRequest(int(math.Ceil(want-issued)), now)
	return issued, request
}

// TakeSurplus removes up to want tokens for another proxy and returns how many; it keeps those that this proxy needs soon.
func (bucketSet *BucketSet) TakeSurplus(team spool.Team, want float64, now spool.Instant) float64 {
	bucket := bucketSet.buckets[team]
	if bucket == nil || !validTokens(want) {
		return 0
	}
	return bucket.TakeSurplus(want, now)
}
