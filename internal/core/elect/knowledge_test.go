package elect

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestartedProxyForgetsCommits guards against a promotion that relies on the acknowledged positions of a proxy that restarted
// after it had acknowledged newer commits.
func TestRestartedProxyForgetsCommits(t *testing.T) {
	informed := AckedKnowledge{AckedAge: 8 * time.Second}
	for _, row := range []struct {
		name     string
		others   []AckedKnowledge
		complete bool
	}{
		{"all informed", nil, true},
		{"one restarted after the newest known commit", []AckedKnowledge{{Uninformed: 3 * time.Second}}, false},
		{"one restarted before the newest known commit", []AckedKnowledge{{Uninformed: 9 * time.Second}}, true},
		{"another one committed since", []AckedKnowledge{{Uninformed: 3 * time.Second}, {AckedAge: time.Second}}, true},
		{"the youngest counts", []AckedKnowledge{{Uninformed: 9 * time.Second}, {Uninformed: time.Second}, {AckedAge: time.Second}}, false},
	} {
		knowledge := informed
		for _, other := range row.others {
			knowledge.Merge(other)
		}
		qt.Check(t, knowledge.IsComplete(), qt.Equals, row.complete, qt.Commentf(row.name))
	}
	qt.Check(t, AckedKnowledge{Uninformed: time.Second}.IsComplete(), qt.IsFalse)
}
