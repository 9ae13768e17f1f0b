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

// gathered is a fleet in which few proxies mint each rate.
type gathered struct {
	fleet   []Proxy
	ledgers []*BucketSet
	homes   []int // indexes of the team's homes
	specs   map[spool.Team]spool.TeamSpec
}

func newGathered(now spool.Instant, size int, rate, burst float64) *gathered {
	gathered := &gathered{
		ledgers: make([]*BucketSet, size),
		specs:   map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: rate, Burst: burst}},
	}
	for i := range size {
		gathered.fleet = append(gathered.fleet, Proxy{VM: spool.VM(fmt.Sprintf("vm%d", i)), Region: fmt.Sprintf("r%d", i%3)})
	}
	for i := range size {
		gathered.restart(i, now)
		if gathered.part(i, team) > 0 {
			gathered.homes = append(gathered.homes, i)
		}
	}
	return gathered
}

func (gathered *gathered) part(index int, team spool.Team) float64 {
	homes := Issuers(team, Candidates(gathered.fleet))
	for _, home := range homes {
		if home.VM == gathered.fleet[index].VM {
			return 1 / float64(len(homes))
		}
	}
	return 0
}

func (gathered *gathered) restart(index int, now spool.Instant) {
	ledger := NewBucketSet()
	ledger.SetIssuerShare(func(team spool.Team) float64 { return gathered.part(index, team) }, now)
	ledger.SetTeams(gathered.specs, now)
	gathered.ledgers[index] = ledger
}

// tokenWay is the time until a proxy asks again.
const tokenWay = 45 * time.Millisecond

// admit admits an operation at a proxy, which asks the home of its region, which asks the others; lost tells if a gift is
// lost.
func (gathered *gathered) admit(index int, now spool.Instant, lost func() bool) bool {
	ledger := gathered.ledgers[index]
	for try := range 3 {
		now = now.Add(time.Duration(try) * tokenWay)
		decision := ledger.Admit(team, try > 0, 0, now)
		if decision.Admitted {
			ledger.Settle(team, true, now)
			return true
		}
		for _, home := range gathered.homes {
			switch {
			case decision.TokensToRequest == 0 || gathered.fleet[home].Region != gathered.fleet[index].Region:
			case home == index:
				gathered.pull(home, decision.TokensToRequest, now, lost)
			default:
				given, asked := gathered.ledgers[home].Issue(team, decision.TokensToRequest, now)
				if given > 0 && !lost() {
					ledger.Credit(team, given, now)
				}
				gathered.pull(home, asked.TokensToRequest, now, lost)
			}
		}
	}
	return false
}

// pull lets a home ask the others.
func (gathered *gathered) pull(home int, want float64, now spool.Instant, lost func() bool) {
	for _, other := range gathered.homes {
		if other == home || want == 0 {
			continue
		}
		tokens := gathered.ledgers[other].TakeSurplus(team, want, now)
		if tokens > 0 && !lost() {
			gathered.ledgers[home].Credit(team, tokens, now)
		}
	}
}

// TestBoundHoldsWithHomes spreads bursts over many proxies, whose homes and whose own memory are lost now and then, and checks
// every window of five seconds. What a proxy was given and did not use must not stack on a burst.
func TestBoundHoldsWithHomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(2, 100).Draw(t, "rate"))
		burst := float64(rapid.IntRange(2, 100).Draw(t, "burst"))
		const size = 60
		fleet := newGathered(start, size, rate, burst)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := start
		var admitted []spool.Instant
		for range 200 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			if random.IntN(40) == 0 {
				fleet.restart(random.IntN(size), now)
			}
			for range random.IntN(60) {
				if fleet.admit(random.IntN(size), now, func() bool { return random.IntN(10) == 0 }) {
					admitted = append(admitted, now)
				}
			}
		}
		assertWindows(t, admitted, rate, burst)
	})
}

// TestSmallRateServesCallersAnywhere sends a small team's operations, 80 % of its rate, to proxies of a large fleet at random:
// with homes few are refused, with a part of the rate at each proxy most are.
func TestSmallRateServesCallersAnywhere(t *testing.T) {
	const size, rate, demand = 195, 10.0, 8
	play := func(admit func(index int, now spool.Instant) bool) float64 {
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
	fleet := newGathered(start, size, rate, rate)
	kept := func() bool { return false }
	with := play(func(index int, now spool.Instant) bool { return fleet.admit(index, now, kept) })
	ledgers := make([]*BucketSet, size)
	for i := range ledgers {
		ledgers[i] = ledger(start, size, rate, rate)
	}
	without := play(func(index int, now spool.Instant) bool {
		admitted := ledgers[index].Admit(team, false, 0, now).Admitted
		ledgers[index].Settle(team, admitted, now)
		return admitted
	})
	qt.Assert(t, with < 0.02, qt.IsTrue, qt.Commentf("%v", with))
	qt.Assert(t, without > 0.1, qt.IsTrue, qt.Commentf("%v", without))
}

// TestHomesMoveLittle removes one proxy after the other: only the removed one's place is taken.
func TestHomesMoveLittle(t *testing.T) {
	c := qt.New(t)
	fleet := newGathered(start, 45, 1, 1).fleet
	for len(fleet) > 3*CandidatesPerRegion {
		before := Candidates(fleet)
		c.Assert(before, qt.HasLen, 3*CandidatesPerRegion)
		c.Assert(Issuers(team, before), qt.HasLen, 3)
		removed := fleet[0]
		fleet = fleet[1:]
		after := map[spool.VM]bool{}
		for _, home := range Candidates(fleet) {
			after[home.VM] = true
		}
		for _, home := range before {
			c.Assert(after[home.VM] || home == removed, qt.IsTrue)
		}
	}
}

// TestUnknownFleetMintsNothing starts a proxy that does not know the fleet: it must not take itself for the only one.
func TestUnknownFleetMintsNothing(t *testing.T) {
	c := qt.New(t)
	ledger := NewBucketSet()
	ledger.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: 100, Burst: 100}}, start)
	decision := ledger.Admit(team, false, 0, start.Add(time.Minute))
	c.Assert(decision.Admitted, qt.IsFalse)
	c.Assert(decision.TokensToRequest > 0, qt.IsTrue)
	ledger.Credit(team, 1, start.Add(time.Minute))
	c.Assert(ledger.Admit(team, true, 0, start.Add(time.Minute)).Admitted, qt.IsTrue)
}
