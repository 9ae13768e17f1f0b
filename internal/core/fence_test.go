package core_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/terms"
	"corianderspool.example/spool/pkg/spool"
)

// TestFenceIsSetBeforeTermOpens guards against requests that run in a term whose fence is not set yet: the fence of the term
// before it makes their answers unknown outcomes, although the new primary ran them.
func TestFenceIsSetBeforeTermOpens(t *testing.T) {
	c := qt.New(t)
	cluster := newCluster(0, 3, 3)
	withGroup := manifest("kyushu", 5, false)
	withGroup.Groups = []spool.GroupSpec{{
		Name: "kyushu.db", Dialect: "register", Servers: []spool.ServerSpec{
			{Name: "kyushu.s1", Address: "127.0.0.1:5432", Domain: "d0", Slots: 3, Connections: 20},
		},
	}}
	cluster.putManifest(withGroup)
	opened := 0
	for range 500 {
		cluster.Advance(10 * time.Millisecond)
		for _, vm := range cluster.vms {
			status := spool.ServerStatus{Server: "kyushu.s1", Primary: true, Term: 1}
			event := core.GroupEvent{Group: "kyushu.db", Event: terms.StatusReceived{Status: status, SentAt: cluster.Now()}}
			vm.handle(vm.Incarnation, event)
			opened += len(vm.openedTerms)
			for _, term := range vm.openedTerms {
				c.Assert(term.fence, qt.Equals, term.opened)
			}
			vm.openedTerms = nil
		}
	}
	c.Assert(opened, qt.Equals, 1)
}
