package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// newNonIssuer returns the buckets of a proxy that never refills the team's tokens.
func newNonIssuer(rate float64) *BucketSet {
	bucketSet := NewBucketSet()
	bucketSet.SetIssuerShare(func(spool.Team) float64 { return 0 }, start)
	bucketSet.SetTeams(map[spool.Team]spool.TeamSpec{team: {Name: team, RatePerSecond: rate, Burst: rate}}, start)
	return bucketSet
}

// TestFirstOperationAwaitsIssuers guards against a refusal as exceeding the rate at a new proxy that no issuer has answered yet.
// It keeps requesting tokens for firstTokenTimeout, and no longer once some arrived.
func TestFirstOperationAwaitsIssuers(t *testing.T) {
	for _, rate := range []float64{1, 100} {
		c := qt.New(t)
		bucketSet := newNonIssuer(rate)
		decision := bucketSet.Admit(team, Operation{}, start)
		requests, now := 0, start
		for ; decision.AwaitFirst > 0; now = now.Add(decision.Wait) {
			c.Assert(decision.Exhausted, qt.IsFalse)
			if decision.TokensToRequest.Tokens > 0 {
				requests++
			}
			decision = bucketSet.Admit(team, Operation{Retry: true}, now)
		}
		c.Assert(now.Sub(start) >= firstTokenTimeout, qt.IsTrue, qt.Commentf("%v", now.Sub(start)))
		c.Assert(requests >= int(firstTokenTimeout/(2*minRequestInterval)), qt.IsTrue, qt.Commentf("%d", requests))
	}
}

// TestOperationsAfterTheFirstTokenWaitBriefly guards against long waits for a team that exceeds its rate.
func TestOperationsAfterTheFirstTokenWaitBriefly(t *testing.T) {
	c := qt.New(t)
	bucketSet := newNonIssuer(100)
	c.Assert(bucketSet.Admit(team, Operation{}, start).AwaitFirst, qt.Equals, firstTokenTimeout)
	bucketSet.Credit(team, 1, start.Add(time.Millisecond))
	c.Assert(bucketSet.Admit(team, Operation{Retry: true}, start.Add(time.Millisecond)).Admitted, qt.IsTrue)
	c.Assert(bucketSet.Admit(team, Operation{}, start.Add(2*time.Millisecond)).AwaitFirst, qt.Equals, time.Duration(0))
	single := newTestBucketSet(start, 1, 1, 1)
	c.Assert(single.Admit(team, Operation{}, start).AwaitFirst, qt.Equals, time.Duration(0))
}

// TestFirstOperationAwaitsOthersWhereAllRefill guards against the same refusal at a proxy that does not know yet that the fleet
// is large: its own share of the rate brings no token in time, and the proxies that it asks refill none.
func TestFirstOperationAwaitsOthersWhereAllRefill(t *testing.T) {
	c := qt.New(t)
	bucketSet := newTestBucketSet(start, 32, 100, 100)
	decision, now := bucketSet.Admit(team, Operation{}, start), start
	for !decision.Admitted && !decision.Exhausted && decision.AwaitFirst > 0 {
		now = now.Add(decision.Wait)
		decision = bucketSet.Admit(team, Operation{Retry: true}, now)
	}
	c.Assert(decision.Admitted, qt.IsTrue, qt.Commentf("after %v", now.Sub(start)))
	c.Assert(now.Sub(start) > WaitTimeout, qt.IsTrue)
}
