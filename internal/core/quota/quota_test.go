package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

const (
	team   = spool.Team("team")
	start  = spool.Instant(time.Hour)
	window = 5 * time.Second
)

func ledger(now spool.Instant, fleet int, rate, burst float64) *BucketSet {
	ledger := NewBucketSet()
	ledger.SetFleetSize(fleet, now)
	ledger.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: rate, Burst: burst}}, now)
	return ledger
}

func TestRestartedProxyStartsEmpty(t *testing.T) {
	c := qt.New(t)
	ledger := ledger(start, 2, 10, 10)
	c.Assert(ledger.Admit(team, false, 0, start).Admitted, qt.IsFalse)
	decision := ledger.Admit(team, true, 0, start.Add(100*time.Millisecond))
	c.Assert(decision.Admitted, qt.IsFalse)
	c.Assert(decision.Wait, qt.Equals, 100*time.Millisecond)
	c.Assert(ledger.Admit(team, true, 0, start.Add(200*time.Millisecond)).Admitted, qt.IsTrue)
	c.Assert(ledger.Admit("other", false, 0, start).Wait, qt.Equals, maxWait)
}

// TestWaitingIsRefusedWhenItCannotHelp lets as many operations wait as get a token in time.
func TestWaitingIsRefusedWhenItCannotHelp(t *testing.T) {
	c := qt.New(t)
	ledger := ledger(start, 1, 50, 50)
	for waiting := range 6 {
		c.Assert(ledger.Admit(team, false, waiting, start).Exhausted, qt.IsFalse)
	}
	c.Assert(ledger.Admit(team, false, 6, start).Exhausted, qt.IsTrue)
}

func TestLoweredRateTakesTokensAway(t *testing.T) {
	c := qt.New(t)
	ledger := ledger(start, 1, 100, 100)
	now := start.Add(time.Minute)
	ledger.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: 1, Burst: 2}}, now)
	admitted := 0
	for ledger.Admit(team, false, 0, now).Admitted {
		admitted++
	}
	c.Assert(admitted, qt.Equals, 2)
}

// assertWindows checks every window of five seconds against the pages' bound.
func assertWindows(t *rapid.T, admitted []spool.Instant, rate, burst float64) {
	most := (rate*window.Seconds()+burst)*1.1 + 20
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) > window {
			first++
		}
		if count := i - first + 1; float64(count) > most {
			t.Fatalf("%d operations in %v, allowed are %v", count, window, most)
		}
	}
}

// TestBoundHoldsOverTheFleet plays proxies that admit, restart, give tokens away, some of which get lost, and take back
// those of operations that reached no server, and checks every window of five seconds against the pages' bound.
func TestBoundHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		rate := float64(rapid.IntRange(5, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(5, 200).Draw(t, "burst"))
		ledgers := make([]*BucketSet, size)
		for i := range ledgers {
			ledgers[i] = ledger(start, size, rate, burst)
		}
		now := start
		var admitted []spool.Instant
		held := make([]int, size) // operations that wait for a connection: they run at the proxy's next step, or never
		for step := range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond)
			asker := rapid.IntRange(0, size-1).Draw(t, "asker")
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				ledgers[asker] = ledger(now, size, rate, burst)
			}
			if rapid.IntRange(0, 4).Draw(t, "returns") == 0 {
				for range held[asker] {
					ledgers[asker].Settle(team, false, now)
				}
			} else {
				for range held[asker] {
					ledgers[asker].Settle(team, true, now)
					admitted = append(admitted, now)
				}
			}
			held[asker] = 0
			ask := 0.0
			late := rapid.Bool().Draw(t, "late")
			for range rapid.IntRange(1, 40).Draw(t, "demand") {
				decision := ledgers[asker].Admit(team, false, 0, now)
				ask = max(ask, decision.TokensToRequest)
				switch {
				case decision.Admitted && late:
					held[asker]++
				case decision.Admitted:
					ledgers[asker].Settle(team, true, now)
					admitted = append(admitted, now)
				}
			}
			giver := (asker + 1 + step%(size-1)) % size
			if tokens := ledgers[giver].TakeSurplus(team, ask, now); ask > 0 && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				ledgers[asker].Credit(team, tokens, now)
			}
		}
		assertWindows(t, admitted, rate, burst)
	})
}

// TestTokensFollowDemand sends all of a team's operations, 90 % of its rate, to one of seven proxies: with exchange hardly
// any is refused, without it most are.
func TestTokensFollowDemand(t *testing.T) {
	const fleet, rate, demand = 7, 70.0, 63
	play := func(exchange bool) float64 {
		ledgers := make([]*BucketSet, fleet)
		for i := range ledgers {
			ledgers[i] = ledger(start, fleet, rate, rate)
		}
		now := start.Add(10 * time.Second)
		asked, refused, next := 0, 0, 0
		for range demand * 20 {
			now = now.Add(time.Second / demand)
			asked++
			decision := ledgers[0].Admit(team, false, 0, now)
			if decision.TokensToRequest > 0 && exchange {
				for range 3 {
					next++
					giver := ledgers[1+next%(fleet-1)]
					ledgers[0].Credit(team, giver.TakeSurplus(team, decision.TokensToRequest, now), now)
				}
			}
			if !decision.Admitted && !ledgers[0].Admit(team, true, 0, now).Admitted {
				refused++
				continue
			}
			ledgers[0].Settle(team, true, now)
		}
		return float64(refused) / float64(asked)
	}
	with, without := play(true), play(false)
	qt.Assert(t, with < 0.03, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(with)))
	qt.Assert(t, without > 0.5, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(without)))
}

// TestHeldTokensDoNotAddToABurst plays one proxy whose operations wait for a server for a long time: those that reached
// none and come back must not add their tokens to those that were minted meanwhile.
func TestHeldTokensDoNotAddToABurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 50).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 50).Draw(t, "burst"))
		proxy := ledger(start, 1, rate, burst)
		now := start
		held := 0
		var sent []spool.Instant
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 60).Draw(t, "demand") {
				if proxy.Admit(team, false, 0, now).Admitted {
					held++
				}
			}
			for range rapid.IntRange(0, held).Draw(t, "settled") {
				held--
				reached := rapid.Bool().Draw(t, "reached")
				proxy.Settle(team, reached, now)
				if reached {
					sent = append(sent, now)
				}
			}
		}
		for first := range sent {
			for last := first; last < len(sent); last++ {
				most := rate*sent[last].Sub(sent[first]).Seconds() + burst
				if count := last - first + 1; float64(count) > most+1e-6 {
					t.Fatalf("%d operations in %v, allowed are %v", count, sent[last].Sub(sent[first]), most)
				}
			}
		}
	})
}
