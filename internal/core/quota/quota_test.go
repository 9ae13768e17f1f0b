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

func newTestBucketSet(now spool.Instant, fleet int, rate, burst float64) *BucketSet {
	bucketSet := NewBucketSet()
	bucketSet.SetFleetSize(fleet, now)
	bucketSet.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: rate, Burst: burst}}, now)
	return bucketSet
}

func TestRestartedProxyStartsEmpty(t *testing.T) {
	c := qt.New(t)
	bucketSet := newTestBucketSet(start, 2, 10, 10)
	c.Assert(bucketSet.Admit(team, Operation{}, start).Admitted, qt.IsFalse)
	decision := bucketSet.Admit(team, Operation{Retry: true}, start.Add(100*time.Millisecond))
	c.Assert(decision.Admitted, qt.IsFalse)
	c.Assert(decision.Wait, qt.Equals, 100*time.Millisecond)
	c.Assert(bucketSet.Admit(team, Operation{Retry: true}, start.Add(200*time.Millisecond)).Admitted, qt.IsTrue)
	c.Assert(bucketSet.Admit("other", Operation{}, start).Wait, qt.Equals, maxRetryAfter)
}

// TestExhaustedWhenTooManyWait lets only as many operations wait as get a token within WaitTimeout.
func TestExhaustedWhenTooManyWait(t *testing.T) {
	c := qt.New(t)
	bucketSet := newTestBucketSet(start, 1, 50, 50)
	for waiting := range 6 {
		c.Assert(bucketSet.Admit(team, Operation{Waiting: waiting}, start).Exhausted, qt.IsFalse)
	}
	c.Assert(bucketSet.Admit(team, Operation{Waiting: 6}, start).Exhausted, qt.IsTrue)
}

func TestLoweredRateDropsTokens(t *testing.T) {
	c := qt.New(t)
	bucketSet := newTestBucketSet(start, 1, 100, 100)
	now := start.Add(time.Minute)
	bucketSet.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: 1, Burst: 2}}, now)
	admitted := 0
	for bucketSet.Admit(team, Operation{}, now).Admitted {
		admitted++
	}
	c.Assert(admitted, qt.Equals, 2)
}

// assertWindows checks every window of five seconds against the documented bound.
func assertWindows(t *rapid.T, admitted []spool.Instant, rate, burst float64) {
	limit := (rate*window.Seconds()+burst)*1.1 + 20
	first := 0
	for i, at := range admitted {
		for at.Sub(admitted[first]) > window {
			first++
		}
		if count := i - first + 1; float64(count) > limit {
			t.Fatalf("%d operations in %v, allowed are %v", count, window, limit)
		}
	}
}

// TestRateBoundAcrossFleet simulates proxies that admit operations, restart, transfer tokens, some of which are lost, and take
// back tokens of operations that reached no server, and checks every window of five seconds against the documented bound.
func TestRateBoundAcrossFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 7).Draw(t, "size")
		rate := float64(rapid.IntRange(5, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(5, 200).Draw(t, "burst"))
		bucketSets := make([]*BucketSet, size)
		for i := range bucketSets {
			bucketSets[i] = newTestBucketSet(start, size, rate, burst)
		}
		now := start
		var admitted []spool.Instant
		pending := make([]int, size) // operations that wait for a connection: they reach a server at the proxy's next step, or never
		for step := range rapid.IntRange(50, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pause")) * time.Millisecond)
			requester := rapid.IntRange(0, size-1).Draw(t, "asker")
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				bucketSets[requester] = newTestBucketSet(now, size, rate, burst)
			}
			if rapid.IntRange(0, 4).Draw(t, "returns") == 0 {
				for range pending[requester] {
					bucketSets[requester].Settle(team, false, now)
				}
			} else {
				for range pending[requester] {
					bucketSets[requester].Settle(team, true, now)
					admitted = append(admitted, now)
				}
			}
			pending[requester] = 0
			want := Request{}
			deferred := rapid.Bool().Draw(t, "late")
			for range rapid.IntRange(1, 40).Draw(t, "demand") {
				decision := bucketSets[requester].Admit(team, Operation{}, now)
				if decision.TokensToRequest.Tokens > want.Tokens {
					want = decision.TokensToRequest
				}
				switch {
				case decision.Admitted && deferred:
					pending[requester]++
				case decision.Admitted:
					bucketSets[requester].Settle(team, true, now)
					admitted = append(admitted, now)
				}
			}
			donor := (requester + 1 + step%(size-1)) % size
			if tokens := bucketSets[donor].TakeSurplus(team, want, now); want.Tokens > 0 && rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				bucketSets[requester].Credit(team, tokens, now)
			}
		}
		assertWindows(t, admitted, rate, burst)
	})
}

// TestTokensFollowDemand sends all of a team's operations, 90 % of its rate, to one of seven proxies: with transfers of tokens
// under 3 % may be refused, without them more than 50 % are.
func TestTokensFollowDemand(t *testing.T) {
	const fleet, rate, demand = 7, 70.0, 63
	refusedShare := func(transfer bool) float64 {
		bucketSets := make([]*BucketSet, fleet)
		for i := range bucketSets {
			bucketSets[i] = newTestBucketSet(start, fleet, rate, rate)
		}
		now := start.Add(10 * time.Second)
		asked, refused, next := 0, 0, 0
		for range demand * 20 {
			now = now.Add(time.Second / demand)
			asked++
			decision := bucketSets[0].Admit(team, Operation{}, now)
			if decision.TokensToRequest.Tokens > 0 && transfer {
				for range 3 {
					next++
					donor := bucketSets[1+next%(fleet-1)]
					bucketSets[0].Credit(team, donor.TakeSurplus(team, decision.TokensToRequest, now), now)
				}
			}
			if !decision.Admitted && !bucketSets[0].Admit(team, Operation{Retry: true}, now).Admitted {
				refused++
				continue
			}
			bucketSets[0].Settle(team, true, now)
		}
		return float64(refused) / float64(asked)
	}
	with, without := refusedShare(true), refusedShare(false)
	qt.Assert(t, with < 0.03, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(with)))
	qt.Assert(t, without > 0.5, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(without)))
}

// TestReturnedTokensDoNotExceedBurst simulates one proxy whose operations wait long for a server: tokens of operations that
// reached none must not add to those that were refilled meanwhile.
func TestReturnedTokensDoNotExceedBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 50).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 50).Draw(t, "burst"))
		proxy := newTestBucketSet(start, 1, rate, burst)
		now := start
		pending := 0
		var sent []spool.Instant
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 60).Draw(t, "demand") {
				if proxy.Admit(team, Operation{}, now).Admitted {
					pending++
				}
			}
			for range rapid.IntRange(0, pending).Draw(t, "settled") {
				pending--
				reached := rapid.Bool().Draw(t, "reached")
				proxy.Settle(team, reached, now)
				if reached {
					sent = append(sent, now)
				}
			}
		}
		for first := range sent {
			for last := first; last < len(sent); last++ {
				limit := rate*sent[last].Sub(sent[first]).Seconds() + burst
				if count := last - first + 1; float64(count) > limit+1e-6 {
					t.Fatalf("%d operations in %v, allowed are %v", count, sent[last].Sub(sent[first]), limit)
				}
			}
		}
	})
}
