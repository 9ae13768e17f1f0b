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

// Decision is what becomes of an operation that asks for a token.
type Decision struct {
	Admitted bool
	Wait     time.Duration // until this proxy mints the next token, if not admitted
	Spent    bool          // other proxies were asked lately and gave none: waiting does not help
	Ask      float64       // tokens to ask other proxies for now; zero for none
}

// Admit holds a token of the team if there is one, until Settle; again tells that the operation asked before, and waiting how many
// operations wait for a token.
func (ledger *Ledger) Admit(team spool.Team, again bool, waiting int, now spool.Instant) Decision {
	bucket := ledger.buckets[team]
	if bucket == nil {
		return Decision{Wait: maxWait}
	}
	if !again {
		bucket.Want(now)
	}
	decision := Decision{Admitted: bucket.Take(now), Wait: bucket.Wait(now)}
	decision.Spent = (ledger.fleet == 1 || bucket.pause >= spentPause) && !bucket.mints(waiting+1, Patience)
	if ledger.fleet > 1 {
		decision.Ask = bucket.Ask(now)
	}
	return decision
}

// Give adds tokens that another proxy gave away.
func (ledger *Ledger) Give(team spool.Team, tokens float64, now spool.Instant) {
	if bucket := ledger.buckets[team]; bucket != nil && tokens > 0 {
		bucket.Give(tokens, now)
	}
}

// Settle ends the hold of an admitted operation's token, which comes back if the operation reached no server.
func (ledger *Ledger) Settle(team spool.Team, reached bool, now spool.Instant) {
	if bucket := ledger.buckets[team]; bucket != nil {
		bucket.Settle(reached, now)
	}
}

// Spare takes out up to want tokens for another proxy and returns how many.
func (ledger *Ledger) Spare(team spool.Team, want float64, now spool.Instant) float64 {
	bucket := ledger.buckets[team]
	if bucket == nil {
		return 0
	}
	return bucket.Spare(want, now)
}
