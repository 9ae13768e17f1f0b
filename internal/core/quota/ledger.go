package quota

import (
	"time"

	"corianderspool.example/spool/pkg/spool"
)

// Ledger holds the buckets of all teams at one proxy.
type Ledger struct {
	teams   map[spool.Team]spool.TeamSpec
	buckets map[spool.Team]*Bucket
	fleet   int // registered proxies that mint a part of each rate
}

// NewLedger returns a ledger without teams.
func NewLedger() *Ledger {
	return &Ledger{buckets: map[spool.Team]*Bucket{}, fleet: 1}
}

// SetTeams puts the rates of a deployment in force.
func (ledger *Ledger) SetTeams(teams map[spool.Team]spool.TeamSpec, now spool.Instant) {
	ledger.teams = teams
	for name := range ledger.buckets {
		if _, known := teams[name]; !known {
			delete(ledger.buckets, name)
		}
	}
	ledger.resize(now)
}

// SetFleet sets how many registered proxies mint a part of each rate.
func (ledger *Ledger) SetFleet(proxies int, now spool.Instant) {
	ledger.fleet = max(1, proxies)
	ledger.resize(now)
}

func (ledger *Ledger) resize(now spool.Instant) {
	for name, spec := range ledger.teams {
		bucket := ledger.buckets[name]
		if bucket == nil {
			bucket = NewBucket(now)
			ledger.buckets[name] = bucket
		}
		part := float64(ledger.fleet)
		bucket.Resize(spec.RatePerSecond/part, spec.Burst/part, now)
	}
}

// Admit spends a token of the team, or returns how long to wait for one.
func (ledger *Ledger) Admit(team spool.Team, now spool.Instant) (admitted bool, wait time.Duration) {
	bucket := ledger.buckets[team]
	if bucket == nil {
		return false, maxWait
	}
	if bucket.Take(now) {
		return true, 0
	}
	return false, bucket.Wait(now)
}
