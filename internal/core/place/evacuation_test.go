package place

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/pkg/spool"
)

func TestEvacuatedDomainPermitsWork(t *testing.T) {
	start := spool.Instant(time.Hour)
	var record EvacuationRecord
	record.Apply(7, []spool.Domain{"z1"}, start)
	for _, row := range []struct {
		name    string
		domain  spool.Domain
		work    Work
		after   time.Duration
		permits bool
	}{
		{"new work at once", "z1", NewWork, 0, false},
		{"open transaction at once", "z1", OpenTransaction, 0, true},
		{"open transaction before the end", "z1", OpenTransaction, TransactionTime - 1, true},
		{"open transaction at the end", "z1", OpenTransaction, TransactionTime, false},
		{"supervisor before the end", "z1", SupervisorWork, TransactionTime - 1, true},
		{"supervisor at the end", "z1", SupervisorWork, TransactionTime, false},
		{"another domain", "z2", NewWork, time.Minute, true},
	} {
		qt.Check(t, record.Current.Permits(row.domain, row.work, start.Add(row.after)), qt.Equals, row.permits, qt.Commentf(row.name))
	}
	var none *Evacuation
	qt.Check(t, none.Permits("z1", NewWork, start), qt.IsTrue)
	qt.Check(t, none.Closed("z1"), qt.IsFalse)
	qt.Check(t, none.Settled("z1", start), qt.IsFalse)
	qt.Check(t, none.MaySwitchOver("z1", start), qt.IsFalse)
	qt.Check(t, record.Current.MaySwitchOver("z1", start.Add(SwitchoverTime-1)), qt.IsTrue)
	qt.Check(t, record.Current.MaySwitchOver("z1", start.Add(SwitchoverTime)), qt.IsFalse)
	qt.Check(t, record.Current.Settled("z1", start.Add(SettledTime-1)), qt.IsFalse)
	qt.Check(t, record.Current.Settled("z1", start.Add(SettledTime)), qt.IsTrue)
}

// TestNewestEvacuationWins applies sets in any order and repeated: the set of the greatest version stays, and a domain that
// remains evacuated keeps the time at which it was learned.
func TestNewestEvacuationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := rapid.SliceOfN(rapid.SliceOfDistinct(rapid.SampledFrom([]spool.Domain{"a", "b", "c"}), rapid.ID[spool.Domain]), 1, 8).Draw(t, "sets")
		order := rapid.SliceOfN(rapid.IntRange(0, len(sets)-1), 1, 20).Draw(t, "order")
		var record EvacuationRecord
		now, newest := spool.Instant(time.Hour), -1
		for _, index := range order {
			now++
			before := record.Current
			added, removed := record.Apply(spool.Version(index+1), sets[index], now)
			if index <= newest && len(added)+len(removed) > 0 {
				t.Fatalf("version %d changed the set of version %d", index+1, newest+1)
			}
			newest = max(newest, index)
			want := slices.Sorted(slices.Values(sets[newest]))
			if !slices.Equal(record.Current.Domains(), want) {
				t.Fatalf("set %v, want %v of version %d", record.Current.Domains(), want, newest+1)
			}
			for _, domain := range want {
				if before.Closed(domain) && record.Current.Since(domain) != before.Since(domain) {
					t.Fatalf("the time of %s moved from %d to %d", domain, before.Since(domain), record.Current.Since(domain))
				}
			}
		}
	})
}

// TestLoadReturnsInSteps simulates a server with 12 connections that answers within 5 ms: without the steps its congestion
// window is at the limit after 0.4 s.
func TestLoadReturnsInSteps(t *testing.T) {
	c := qt.New(t)
	const (
		limit  = 12
		answer = 5 * time.Millisecond
	)
	reached := func(stepped bool) time.Duration {
		var window CongestionWindow
		window.Restart()
		for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += answer {
			inFlight := 0
			for window.Allows(inFlight) && inFlight < limit {
				if allowed := ReopenLimit(limit, elapsed); stepped && allowed > 0 && inFlight >= allowed {
					break
				}
				inFlight++
			}
			if inFlight == limit {
				return elapsed
			}
			for range inFlight {
				window.RecordAnswer(inFlight, limit)
			}
		}
		return 10 * time.Second
	}
	c.Assert(reached(false) < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", reached(false)))
	c.Assert(reached(true) >= reopenSteps*ReopenStep, qt.IsTrue, qt.Commentf("%v", reached(true)))
	c.Assert(reached(true) < reopenSteps*ReopenStep+time.Second, qt.IsTrue, qt.Commentf("%v", reached(true)))
	previous := 0
	for elapsed := time.Duration(0); elapsed < reopenSteps*ReopenStep; elapsed += ReopenStep {
		allowed := ReopenLimit(limit, elapsed)
		c.Assert(allowed >= max(1, previous) && allowed < limit, qt.IsTrue, qt.Commentf("%d at %v", allowed, elapsed))
		previous = allowed
	}
	c.Assert(ReopenLimit(limit, reopenSteps*ReopenStep), qt.Equals, 0)
}

func TestSuspensionIsDetected(t *testing.T) {
	c := qt.New(t)
	start := spool.Instant(time.Hour)
	c.Assert(Suspended(start, start.Add(TickInterval)), qt.IsFalse)
	c.Assert(Suspended(start, start.Add(maxTickGap)), qt.IsFalse)
	c.Assert(Suspended(start, start.Add(maxTickGap+1)), qt.IsTrue)
}
