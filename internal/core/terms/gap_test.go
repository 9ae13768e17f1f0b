package terms

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const (
	gapSeeds  = 20
	gapTarget = 2 * time.Second
)

// gapCase is a way to lose the primary, its keeper or both.
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
	{name: "primary and keeper killed", strike: killBoth, platform: 4 * time.Millisecond, newTerm: true},
	{name: "keeper frozen", strike: freezeKeeper, platform: 4 * time.Millisecond},
	{name: "keeper frozen, platform 100 ms", strike: freezeKeeper, platform: 100 * time.Millisecond},
	{name: "keeper frozen, platform down", strike: freezeInOutage, platform: 4 * time.Millisecond},
}

func killPrimary(world *world)  { world.servers[0].dead = true }
func freezeKeeper(world *world) { world.proxies[0].paused = true }
func cutDomain(world *world)    { world.isolated["d0"] = true }

func killBoth(world *world) {
	killPrimary(world)
	freezeKeeper(world)
}

func freezeInOutage(world *world) {
	world.platform.down = true
	freezeKeeper(world)
}

// gapSum holds the terms of one failover gap, each from the end of the one before.
type gapSum struct {
	lease, suspicion, probes, claim, order, pledges, answer time.Duration
	total                                                   time.Duration
}

func (sum gapSum) String() string {
	text := ""
	for _, term := range []time.Duration{
		sum.lease, sum.suspicion, sum.probes, sum.claim, sum.order, sum.pledges, sum.answer, sum.total,
	} {
		text += fmt.Sprintf("%8.1f", float64(term)/float64(time.Millisecond))
	}
	return text
}

// measure returns the gap from the last acknowledgement before the fault to the first after it.
func measure(t *testing.T, test gapCase, latency time.Duration, seed uint64) gapSum {
	world := newWorld(seed, latency)
	world.clock.Advance(3*time.Second + time.Duration(seed)*17*time.Millisecond)
	world.platform.delay = test.platform
	test.strike(world)
	struck := world.clock.Now()
	world.clock.Advance(4 * time.Second)
	qt.Assert(t, world.violations, qt.HasLen, 0)
	qt.Assert(t, world.highest > 1, qt.Equals, test.newTerm)
	var last, first spool.Instant
	for i, ack := range world.acks {
		if i > 0 && ack.at.Sub(world.acks[i-1].at) == world.longestGap(struck.Add(-50*time.Millisecond)) {
			last, first = world.acks[i-1].at, ack.at
		}
	}
	notes := world.notesAfter(last, first)
	sum := gapSum{total: first.Sub(last)}
	at := last
	for _, step := range []struct {
		reason Reason
		target *time.Duration
	}{
		{ReasonLeaseGained, &sum.lease},
		{ReasonSuspected, &sum.suspicion},
		{ReasonConfirmed, &sum.probes},
		{ReasonPromoting, &sum.claim},
		{ReasonOpened, &sum.pledges},
	} {
		if found, ok := notes[step.reason]; ok {
			*step.target = found.Sub(at)
			at = found
		}
	}
	if test.newTerm {
		sum.order = promoteTakes
		sum.pledges -= promoteTakes
	}
	sum.answer = first.Sub(at)
	return sum
}

// notesAfter returns the last instant of each reason that a keeper noted in the gap.
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

// TestFailoverGap prints the terms of the longest gap of twenty seeds; the order to promote takes 20 ms at the server.
func TestFailoverGap(t *testing.T) {
	for _, latency := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		t.Logf("%v one way, ms: %-20s   lease suspect  probes   claim   order pledges  answer   total    mean", latency, "")
		for _, test := range gapCases {
			var worst gapSum
			var mean time.Duration
			for seed := range uint64(gapSeeds) {
				sum := measure(t, test, latency, seed)
				mean += sum.total / gapSeeds
				if sum.total > worst.total {
					worst = sum
				}
			}
			t.Logf("%-38s%v%8.1f", test.name, worst, float64(mean)/float64(time.Millisecond))
			qt.Check(t, worst.total <= gapTarget, qt.IsTrue)
		}
	}
}
