package terms

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const (
	gapSeeds  = 20
	gapTarget = 2 * time.Second
)

// gapCase is a way to lose the primary, its leader or both.
type gapCase struct {
	name     string
	strike   func(*world)
	platform time.Duration // time of an answer
	newTerm  bool
}

var gapCases = []gapCase{
	{name: "primary killed", strike: killPrimary, platform: 4 * time.Millisecond, newTerm: true},
	{name: "primary killed, platform 100 ms", strike: killPrimary, platform: 100 * time.Millisecond, newTerm: true},
	{name: "primary's domain cut off", strike: cutDomain, platform: 4 * time.Millisecond, newTerm: true},
	{name: "primary and leader killed", strike: killBoth, platform: 4 * time.Millisecond, newTerm: true},
	{name: "leader frozen", strike: freezeLeader, platform: 4 * time.Millisecond},
	{name: "leader frozen, platform 100 ms", strike: freezeLeader, platform: 100 * time.Millisecond},
	{name: "leader frozen, platform down", strike: freezeInOutage, platform: 4 * time.Millisecond},
}

func killPrimary(world *world) { world.servers[0].dead = true }
func cutDomain(world *world)   { world.isolated["d0"] = true }

func freezeLeader(world *world) {
	for _, proxy := range world.proxies {
		proxy.paused = proxy.leader.OpenTerm() != 0
	}
}

func killBoth(world *world) {
	freezeLeader(world)
	killPrimary(world)
}

func freezeInOutage(world *world) {
	world.platform.down = true
	freezeLeader(world)
}

// gapSteps end the terms of the sum in order; what follows the last is the first answer.
var gapSteps = []Reason{ReasonLeaseGained, ReasonSuspected, ReasonConfirmed, ReasonPromoting, ReasonOpened}

// measure returns the terms of the gap from the last acknowledgement before the fault to the first after it, and the
// whole, in milliseconds.
func measure(t *testing.T, test gapCase, latency time.Duration, seed uint64) (sum []float64) {
	world := newWorld(seed, latency)
	world.clock.Advance(3*time.Second + time.Duration(seed)*17*time.Millisecond)
	world.platform.delay = test.platform
	struck := world.clock.Now()
	test.strike(world)
	world.clock.Advance(5 * time.Second / 2)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.highest > 1, qt.Equals, test.newTerm)
	last, first := world.longestGap(struck.Add(-50 * time.Millisecond))
	notes := world.notesAfter(last, first)
	notes[""] = first
	at := last
	for _, reason := range append(gapSteps, "") {
		next := max(at, notes[reason])
		sum = append(sum, milliseconds(next.Sub(at)))
		at = next
	}
	return append(sum, milliseconds(first.Sub(last)))
}

// notesAfter returns the last instant of each reason that a leader noted in the gap.
func (world *world) notesAfter(last, first spool.Instant) map[Reason]spool.Instant {
	found := map[Reason]spool.Instant{}
	for _, proxy := range world.proxies {
		for _, note := range proxy.notes {
			if note.at > last && note.at <= first {
				found[note.Reason] = max(found[note.Reason], note.at)
			}
		}
	}
	return found
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// TestFailoverGap prints the terms of the longest gap of twenty seeds; opening includes the promotion's 20 ms.
func TestFailoverGap(t *testing.T) {
	for _, latency := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		t.Logf("%v one way, ms: lease, suspect, probes, claim, open, answer, whole; mean", latency)
		for _, test := range gapCases {
			worst := make([]float64, len(gapSteps)+2)
			mean := 0.0
			for seed := range uint64(gapSeeds) {
				sum := measure(t, test, latency, seed)
				mean += sum[len(sum)-1] / gapSeeds
				if sum[len(sum)-1] > worst[len(worst)-1] {
					worst = sum
				}
			}
			t.Logf("%-32s%7.1f%8.1f", test.name, worst, mean)
			qt.Check(t, worst[len(worst)-1] <= milliseconds(gapTarget), qt.IsTrue)
		}
	}
}
