package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

// issuerFleet is a fleet in which only the buckets of issuers refill.
type issuerFleet struct {
	fleet      []Proxy
	bucketSets []*BucketSet
	issuers    []int // indexes of the team's issuers
	specs      map[spool.Team]spool.TeamSpec
}

func newIssuerFleet(now spool.Instant, size int, rate, burst float64) *issuerFleet {
	issuerFleet := &issuerFleet{
		bucketSets: make([]*BucketSet, size),
		specs:      map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: rate, Burst: burst}},
	}
	for i := range size {
		issuerFleet.fleet = append(issuerFleet.fleet, Proxy{VM: spool.VM(fmt.Sprintf("vm%d", i)), Region: fmt.Sprintf("r%d", i%3)})
	}
	for i := range size {
		issuerFleet.restart(i, now)
		if issuerFleet.share(i, team) > 0 {
			issuerFleet.issuers = append(issuerFleet.issuers, i)
		}
	}
	return issuerFleet
}

func (issuerFleet *issuerFleet) share(index int, team spool.Team) float64 {
	issuers := Issuers(team, Candidates(issuerFleet.fleet))
	for _, issuer := range issuers {
		if issuer.VM == issuerFleet.fleet[index].VM {
			return 1 / float64(len(issuers))
		}
	}
	return 0
}

func (issuerFleet *issuerFleet) restart(index int, now spool.Instant) {
	bucketSet := NewBucketSet()
	bucketSet.SetIssuerShare(func(team spool.Team) float64 { return issuerFleet.share(index, team) }, now)
	bucketSet.SetTeams(issuerFleet.specs, now)
	issuerFleet.bucketSets[index] = bucketSet
}

// retryDelay is the time until an operation asks for a token again.
const retryDelay = 45 * time.Millisecond

// admit admits an operation at a proxy, which requests tokens from the issuer of its region, which requests them from the other
// issuers; lost decides whether a message with tokens is lost.
func (issuerFleet *issuerFleet) admit(index int, now spool.Instant, lost func() bool) bool {
	return issuerFleet.admitUrgent(index, 0, now, lost)
}

// admitUrgent is like admit for an operation of a priority.
func (issuerFleet *issuerFleet) admitUrgent(index, priority int, now spool.Instant, lost func() bool) bool {
	bucketSet := issuerFleet.bucketSets[index]
	for attempt := range 3 {
		now = now.Add(time.Duration(attempt) * retryDelay)
		decision := bucketSet.Admit(team, Operation{Priority: priority, Retry: attempt > 0}, now)
		if decision.Admitted {
			bucketSet.Settle(team, true, now)
			return true
		}
		for _, issuer := range issuerFleet.issuers {
			switch {
			case decision.TokensToRequest.Tokens == 0 || issuerFleet.fleet[issuer].Region != issuerFleet.fleet[index].Region:
			case issuer == index:
				issuerFleet.collect(issuer, decision.TokensToRequest, now, lost)
			default:
				issued, request := issuerFleet.bucketSets[issuer].Issue(issuerFleet.fleet[index].VM, team, decision.TokensToRequest, now)
				if issued > 0 && !lost() {
					bucketSet.Credit(team, issued, now)
				}
				issuerFleet.collect(issuer, request.TokensToRequest, now, lost)
			}
		}
	}
	return false
}

// collect transfers tokens to an issuer from the others.
func (issuerFleet *issuerFleet) collect(issuer int, want Request, now spool.Instant, lost func() bool) {
	for _, other := range issuerFleet.issuers {
		if other == issuer || want.Tokens == 0 {
			continue
		}
		tokens := issuerFleet.bucketSets[other].TakeSurplus(team, want, now)
		if tokens > 0 && !lost() {
			issuerFleet.bucketSets[issuer].Credit(team, tokens, now)
		}
	}
}

// TestRateBoundWithIssuers spreads bursts over many proxies, which restart at random, with lost messages, and checks the bound
// in every window of five seconds. Tokens that a proxy received and did not use must not add to a burst.
func TestRateBoundWithIssuers(t *testing.T) { checkRateBound(t, 1) }

// checkRateBound checks the bound of a team's rate with operations of a number of priorities.
func checkRateBound(t *testing.T, priorities int) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(2, 100).Draw(t, "rate"))
		burst := float64(rapid.IntRange(2, 100).Draw(t, "burst"))
		const size = 60
		fleet := newIssuerFleet(start, size, rate, burst)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := start
		var admitted []spool.Instant
		for range 200 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			if random.IntN(40) == 0 {
				fleet.restart(random.IntN(size), now)
			}
			for range random.IntN(60) {
				if fleet.admitUrgent(random.IntN(size), random.IntN(priorities), now, func() bool { return random.IntN(10) == 0 }) {
					admitted = append(admitted, now)
				}
			}
		}
		assertWindows(t, admitted, rate, burst)
	})
}

// TestIssuersServeSmallRateAtAnyProxy sends operations at 80 % of a team's small rate to random proxies of a large fleet: with
// issuers under 2 % may be refused, and with an equal share of the rate at each proxy more than 10 % are.
func TestIssuersServeSmallRateAtAnyProxy(t *testing.T) {
	const size, rate, demand = 195, 10.0, 8
	refusedShare := func(admit func(index int, now spool.Instant) bool) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		now := start.Add(10 * time.Second)
		refused := 0
		for range demand * 60 {
			now = now.Add(time.Second / demand)
			if !admit(random.IntN(size), now) {
				refused++
			}
		}
		return float64(refused) / (demand * 60)
	}
	fleet := newIssuerFleet(start, size, rate, rate)
	neverLost := func() bool { return false }
	with := refusedShare(func(index int, now spool.Instant) bool { return fleet.admit(index, now, neverLost) })
	bucketSets := make([]*BucketSet, size)
	for i := range bucketSets {
		bucketSets[i] = newTestBucketSet(start, size, rate, rate)
	}
	without := refusedShare(func(index int, now spool.Instant) bool {
		admitted := bucketSets[index].Admit(team, Operation{}, now).Admitted
		bucketSets[index].Settle(team, admitted, now)
		return admitted
	})
	qt.Assert(t, with < 0.02, qt.IsTrue, qt.Commentf("%v", with))
	qt.Assert(t, without > 0.1, qt.IsTrue, qt.Commentf("%v", without))
}

// TestRemovalReplacesOnlyRemovedCandidate removes one proxy after the other: all other candidates must remain.
func TestRemovalReplacesOnlyRemovedCandidate(t *testing.T) {
	c := qt.New(t)
	fleet := newIssuerFleet(start, 45, 1, 1).fleet
	for len(fleet) > 3*CandidatesPerRegion {
		before := Candidates(fleet)
		c.Assert(before, qt.HasLen, 3*CandidatesPerRegion)
		c.Assert(Issuers(team, before), qt.HasLen, 3)
		removed := fleet[0]
		fleet = fleet[1:]
		after := map[spool.VM]bool{}
		for _, issuer := range Candidates(fleet) {
			after[issuer.VM] = true
		}
		for _, issuer := range before {
			c.Assert(after[issuer.VM] || issuer == removed, qt.IsTrue)
		}
	}
}

// TestNoRefillBeforeFleetIsKnown starts a proxy that does not know the fleet: it must not refill at the full rate as if it were
// the only proxy.
func TestNoRefillBeforeFleetIsKnown(t *testing.T) {
	c := qt.New(t)
	bucketSet := NewBucketSet()
	bucketSet.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: 100, Burst: 100}}, start)
	decision := bucketSet.Admit(team, Operation{}, start.Add(time.Minute))
	c.Assert(decision.Admitted, qt.IsFalse)
	c.Assert(decision.TokensToRequest.Tokens > 0, qt.IsTrue)
	bucketSet.Credit(team, 1, start.Add(time.Minute))
	c.Assert(bucketSet.Admit(team, Operation{Retry: true}, start.Add(time.Minute)).Admitted, qt.IsTrue)
}
