package place

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

func TestBestPrefersNearAndIdleServers(t *testing.T) {
	c := qt.New(t)
	c.Assert(Best(nil), qt.Equals, -1)
	near := Candidate{ExpectedLatency: 25 * time.Millisecond}
	far := Candidate{ExpectedLatency: 65 * time.Millisecond}
	c.Assert(Best([]Candidate{far, near}), qt.Equals, 1)
	near.InFlight = 4
	c.Assert(Best([]Candidate{far, near}), qt.Equals, 0)
	primary := Candidate{ExpectedLatency: 20 * time.Millisecond, Primary: true}
	c.Assert(Best([]Candidate{primary, {ExpectedLatency: 50 * time.Millisecond}}), qt.Equals, 1)
}

func TestFailedServerBacksOff(t *testing.T) {
	c := qt.New(t)
	var health Health
	now := spool.Instant(time.Hour)
	c.Assert(health.InBackoff(now), qt.IsFalse)
	health.RecordFailure(now)
	c.Assert(health.InBackoff(now.Add(minBackoff-1)), qt.IsTrue)
	c.Assert(health.InBackoff(now.Add(minBackoff)), qt.IsFalse)
	for range 10 {
		health.RecordFailure(now)
	}
	c.Assert(health.InBackoff(now.Add(maxBackoff-1)), qt.IsTrue)
	c.Assert(health.InBackoff(now.Add(maxBackoff)), qt.IsFalse)
	health.RecordSuccess(30*time.Millisecond, now)
	c.Assert(health.InBackoff(now), qt.IsFalse)
}

// TestTimeoutIsFailureOnlyIfServerIsUnresponsive distinguishes an overloaded server from an unresponsive one.
func TestTimeoutIsFailureOnlyIfServerIsUnresponsive(t *testing.T) {
	c := qt.New(t)
	var health Health
	now := spool.Instant(time.Hour)
	health.RecordSuccess(900*time.Millisecond, now)
	health.RecordTimeout(now.Add(unresponsiveAfter))
	c.Assert(health.ConsecutiveFailures(), qt.Equals, 0)
	health.RecordTimeout(now.Add(unresponsiveAfter + 1))
	c.Assert(health.ConsecutiveFailures(), qt.Equals, 1)
}

// TestSlowServerGetsFewReads distributes 1,000 reads over three servers of which one is ten times slower.
func TestSlowServerGetsFewReads(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	work := []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 30 * time.Millisecond}
	healths := make([]Health, len(work))
	chosen := make([]int, len(work))
	now := spool.Instant(time.Hour)
	for range 1000 {
		candidates := make([]Candidate, len(work))
		for i := range candidates {
			candidates[i].ExpectedLatency = healths[i].ExpectedLatency(now)
		}
		best := Best(candidates)
		chosen[best]++
		took := time.Duration(float64(work[best]) * (0.5 + random.Float64()))
		now = now.Add(took)
		healths[best].RecordSuccess(took, now)
	}
	c.Assert(chosen[1] < 50, qt.IsTrue, qt.Commentf("%v", chosen))
}

// TestConnectionSharesAddUp checks that the shares of all proxies add up to the server's connection limit, so that the
// server refuses no connection.
func TestConnectionSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{NearWeight, FarWeight}), 1, 20).Draw(t, "weights")
		connections := rapid.IntRange(1, 300).Draw(t, "connections")
		sum := 0
		for self := range weights {
			sum += ConnectionShare(connections, weights, self)
		}
		if sum != connections {
			t.Fatalf("shares add up to %d of %d connections", sum, connections)
		}
	})
}
