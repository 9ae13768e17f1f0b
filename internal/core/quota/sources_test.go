package quota

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestSourcesPassOverUnreachableIssuers guards against refusals within a team's rate during a network partition: while the issuer
// of its region is on the other side, a proxy asks those that it reaches.
func TestSourcesPassOverUnreachableIssuers(t *testing.T) {
	self := Proxy{VM: "self", Region: "r1"}
	issuers := []Proxy{{VM: "a", Region: "r1"}, {VM: "b", Region: "r2"}, {VM: "c", Region: "r3"}}
	for _, row := range []struct {
		name        string
		decision    Decision
		unreachable []spool.VM
		want        []spool.VM
	}{
		{"first request", Decision{}, nil, []spool.VM{"a"}},
		{"after a failed one", Decision{LastRequestFailed: true, Unanswered: 1}, nil, []spool.VM{"a", "b", "c"}},
		{"first of one", Decision{AskOne: true}, nil, []spool.VM{"a"}},
		{"third of one", Decision{AskOne: true, LastRequestFailed: true, Unanswered: 3}, nil, []spool.VM{"a"}},
		{"region cut off", Decision{}, []spool.VM{"a"}, []spool.VM{"b", "c"}},
		{"all but one cut off", Decision{AskOne: true, Unanswered: 5}, []spool.VM{"a", "c"}, []spool.VM{"b"}},
		{"all cut off", Decision{AskOne: true}, []spool.VM{"a", "b", "c"}, nil},
	} {
		reachable := func(vm spool.VM) bool {
			for _, other := range row.unreachable {
				if other == vm {
					return false
				}
			}
			return true
		}
		qt.Check(t, row.decision.Sources(self, issuers, reachable), qt.ContentEquals, row.want, qt.Commentf(row.name))
	}
	asked := map[spool.VM]bool{}
	for unanswered := range 3 {
		asked[Decision{AskOne: true, Unanswered: unanswered}.Sources(self, issuers, func(spool.VM) bool { return true })[0]] = true
	}
	qt.Check(t, asked, qt.HasLen, 3)
	self.VM = "b"
	qt.Check(t, Decision{AskOne: true}.Sources(self, issuers, func(spool.VM) bool { return true }), qt.Not(qt.Contains), spool.VM("b"))
}
