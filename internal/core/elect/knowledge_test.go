package elect

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestRestartedProxyForgetsCommits guards against a promotion that relies on the acknowledged positions of a proxy that restarted
// after it had acknowledged newer commits, and against a group that stays without a primary although the position that the
// primary told since the restart covers them.
func TestRestartedProxyForgetsCommits(t *testing.T) {
	const elapsed = 300 * time.Millisecond
	acked, told := spool.LogPosition{Term: 1, Number: 5}, spool.LogPosition{Term: 1, Number: 7}
	for _, row := range []struct {
		name    string
		others  []AckedKnowledge
		toldAge time.Duration // zero if the primary told no position
		bound   spool.LogPosition
		known   bool
	}{
		{"none restarted", nil, 0, acked, true},
		{"one restarted after the newest known commit", []AckedKnowledge{{Restarted: 3 * time.Second}}, 0, acked, false},
		{"one restarted before the newest known commit", []AckedKnowledge{{Restarted: 9 * time.Second}}, 0, acked, true},
		{"the answers may be of different moments", []AckedKnowledge{{Restarted: 8*time.Second + elapsed}}, 0, acked, false},
		{"another one committed since", []AckedKnowledge{{Restarted: 3 * time.Second}, {AckedAge: time.Second}}, 0, acked, true},
		{
			"the youngest counts",
			[]AckedKnowledge{{Restarted: 9 * time.Second}, {Restarted: time.Second}, {AckedAge: time.Second}},
			0, acked, false,
		},
		{"the primary told a position since", []AckedKnowledge{{Restarted: 3 * time.Second}}, 2 * time.Second, told, true},
		{"the primary told a position before", []AckedKnowledge{{Restarted: 3 * time.Second}}, 4 * time.Second, acked, false},
	} {
		knowledge := AckedKnowledge{AckedAge: 8 * time.Second}
		for _, other := range row.others {
			knowledge.Merge(other)
		}
		bound, known := knowledge.Bound(acked, elapsed, func(age time.Duration) (spool.LogPosition, bool) {
			if row.toldAge == 0 || row.toldAge > age {
				return spool.LogPosition{}, false
			}
			return told, true
		})
		qt.Check(t, known, qt.Equals, row.known, qt.Commentf(row.name))
		qt.Check(t, bound, qt.Equals, row.bound, qt.Commentf(row.name))
	}
}
