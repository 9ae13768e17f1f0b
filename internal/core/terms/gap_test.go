package terms

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const (
	gapSeeds = 20
	gapLimit = 2 * time.Second
)

// gapCase is a failure of the primary, its leader or both.
type gapCase struct {
	name        string
	injectFault func(*cluster)
	platform    time.Duration // time that the platform takes to answer
	newTerm     bool
}

var gapCases = []gapCase{
	{name: "primary killed", injectFault: killPrimary, platform: 4 * time.Millisecond, newTerm: true},
	{name: "primary killed, platform 100 ms", injectFault: killPrimary, platform: 100 * time.Millisecond, newTerm: true},
	{name: "primary's domain cut off", injectFault: cutDomain, platform: 4 * time.Millisecond, newTerm: true},
	{name: "primary and leader killed", injectFault: killPrimaryAndLeader, platform: 4 * time.Millisecond, newTerm: true},
	{name: "leader paused", injectFault: pauseLeader, platform: 4 * time.Millisecond},
	{name: "leader paused, platform 100 ms", injectFault: pauseLeader, platform: 100 * time.Millisecond},
	{name: "leader paused, platform down", injectFault: pauseLeaderInOutage, platform: 4 * time.Millisecond},
}

func killPrimary(cluster *cluster) { cluster.servers[0].dead = true }
func cutDomain(cluster *cluster)   { cluster.isolated["d0"] = true }

func pauseLeader(cluster *cluster) {
	for _, proxy := range cluster.proxies {
		proxy.paused = proxy.leader.OpenTerm() != 0
	}
}

func killPrimaryAndLeader(cluster *cluster) {
	pauseLeader(cluster)
	killPrimary(cluster)
}

func pauseLeaderInOutage(cluster *cluster) {
	cluster.platform.down = true
	pauseLeader(cluster)
}

// gapReasons are the notes that end the steps of a failover, in order; the last step ends with the first answer.
var gapReasons = []Reason{ReasonLeaseGained, ReasonPrimarySuspected, ReasonFailureConfirmed, ReasonPromoting, ReasonOpened}

// measureGap returns the duration of each step from the last acknowledgement before the fault to the first one after
// it, and the total, in milliseconds.
func measureGap(t *testing.T, test gapCase, latency time.Duration, seed uint64) (steps []float64) {
	cluster := newCluster(seed, latency)
	cluster.clock.Advance(3*time.Second + time.Duration(seed)*17*time.Millisecond)
	cluster.platform.delay = test.platform
	faultAt := cluster.clock.Now()
	test.injectFault(cluster)
	cluster.clock.Advance(5 * time.Second / 2)
	qt.Assert(t, cluster.violations, qt.HasLen, 0)
	qt.Assert(t, cluster.highest > 1, qt.Equals, test.newTerm)
	last, first := cluster.longestGap(faultAt.Add(-50 * time.Millisecond))
	notes := cluster.notesAfter(last, first)
	notes[""] = first
	at := last
	for _, reason := range append(gapReasons, "") {
		next := max(at, notes[reason])
		steps = append(steps, milliseconds(next.Sub(at)))
		at = next
	}
	return append(steps, milliseconds(first.Sub(last)))
}

// notesAfter returns when a leader last noted each reason within the gap.
func (cluster *cluster) notesAfter(last, first spool.Instant) map[Reason]spool.Instant {
	found := map[Reason]spool.Instant{}
	for _, proxy := range cluster.proxies {
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

// TestFailoverGap logs the steps of the longest gap over twenty seeds and checks it against gapLimit; the step "open"
// includes the promotion's 20 ms.
func TestFailoverGap(t *testing.T) {
	for _, latency := range []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond} {
		t.Logf("%v one way, ms: lease, suspect, probes, claim, open, answer, total; mean", latency)
		for _, test := range gapCases {
			worst := make([]float64, len(gapReasons)+2)
			mean := 0.0
			for seed := range uint64(gapSeeds) {
				steps := measureGap(t, test, latency, seed)
				mean += steps[len(steps)-1] / gapSeeds
				if steps[len(steps)-1] > worst[len(worst)-1] {
					worst = steps
				}
			}
			t.Logf("%-32s%7.1f%8.1f", test.name, worst, mean)
			qt.Check(t, worst[len(worst)-1] <= milliseconds(gapLimit), qt.IsTrue)
		}
	}
}
