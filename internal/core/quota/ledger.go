package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// BucketSet holds the buckets of all teams at one proxy.
type BucketSet struct {
	teams   map[spool.Team]spool.TeamSpec
	buckets map[spool.Team]*Bucket
	part    func(team spool.Team) float64 // of a team's rate that this proxy mints
	alone   bool                          // no other proxy has tokens
	homes   bool                          // only few proxies mint each team's rate
}

// NewBucketSet returns a ledger without teams, which mints nothing before it knows the fleet.
func NewBucketSet() *BucketSet {
	return &BucketSet{buckets: map[spool.Team]*Bucket{}, part: func(spool.Team) float64 { return 0 }}
}

// SetTeams puts the rates of a deployment in force.
func (ledger *BucketSet) SetTeams(teams map[spool.Team]spool.TeamSpec, now spool.Instant) {
	ledger.teams = teams
	for name := range ledger.buckets {
		if _, known := teams[name]; !known {
			delete(ledger.buckets, name)
		}
	}
	ledger.resize(now)
}

// SetFleetSize sets how many registered proxies mint a part of each rate.
func (ledger *BucketSet) SetFleetSize(proxies int, now spool.Instant) {
	part := 1 / float64(max(1, proxies))
	ledger.part = func(spool.Team) float64 { return part }
	ledger.alone, ledger.homes = proxies <= 1, false
	ledger.resize(now)
}

// SetIssuerShare sets which part of a team's rate this proxy mints where only few proxies do.
func (ledger *BucketSet) SetIssuerShare(part func(team spool.Team) float64, now spool.Instant) {
	ledger.part = part
	ledger.alone, ledger.homes = false, true
	ledger.resize(now)
}

func (ledger *BucketSet) resize(now spool.Instant) {
	for name, spec := range ledger.teams {
		bucket := ledger.buckets[name]
		if bucket == nil {
			bucket = NewBucket(now)
			ledger.buckets[name] = bucket
		}
		bucket.gather(ledger.homes)
		bucket.Resize(spec.RatePerSecond, spec.Burst, ledger.part(name), now)
	}
}

// Decision is what becomes of an operation that asks for a token.
type Decision struct {
	Admitted          bool
	Wait              time.Duration // until this proxy mints the next token, if not admitted
	Exhausted         bool          // other proxies were asked lately and gave none: waiting does not help
	TokensToRequest   float64       // tokens to ask other proxies for now; zero for none
	LastRequestFailed bool          // the last request for tokens brought none
}

// Admit holds a token of the team if there is one, until Settle; again tells that the operation asked before, and waiting how many
// operations wait for a token.
func (ledger *BucketSet) Admit(team spool.Team, again bool, waiting int, now spool.Instant) Decision {
	bucket := ledger.buckets[team]
	if bucket == nil {
		return Decision{Wait: maxWait}
	}
	if !again {
		bucket.RecordDemand(now)
	}
	decision := Decision{Admitted: bucket.Reserve(now), Wait: bucket.TimeToNextToken(now)}
	decision.Exhausted = (ledger.alone || bucket.pause >= spentPause) && !bucket.mints(waiting+1, WaitTimeout)
	if !ledger.alone {
		decision.TokensToRequest, decision.LastRequestFailed = bucket.TokensToRequest(waiting+1, now)
	}
	return decision
}

// Credit adds tokens that another proxy gave away.
func (ledger *BucketSet) Credit(team spool.Team, tokens float64, now spool.Instant) {
	if bucket := ledger.buckets[team]; bucket != nil && tokens > 0 {
		bucket.Credit(tokens, now)
	}
}

// Settle ends the hold of an admitted operation's token, which comes back if the operation reached no server.
func (ledger *BucketSet) Settle(team spool.Team, reached bool, now spool.Instant) {
	if bucket := ledger.buckets[team]; bucket != nil {
		bucket.Settle(reached, now)
	}
}

// Issue takes out up to want tokens for a proxy that mints none and returns how many, and what this one asks others for now.
func (ledger *BucketSet) Issue(team spool.Team, want float64, now spool.Instant) (given float64, asked Decision) {
	bucket := ledger.buckets[team]
	if bucket == nil {
		return 0, Decision{}
	}
	given = bucket.Issue(want, now)
	asked.TokensToRequest, asked.LastRequestFailed = bucket.TokensToRequest(int(math.Ceil(want-given)), now)
	return given, asked
}

// TakeSurplus takes out up to want tokens for another proxy and returns how many.
func (ledger *BucketSet) TakeSurplus(team spool.Team, want float64, now spool.Instant) float64 {
	bucket := ledger.buckets[team]
	if bucket == nil {
		return 0
	}
	return bucket.TakeSurplus(want, now)
}
