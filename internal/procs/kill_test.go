package procs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/pkg/spool"
)

// TestPrimaryKilled kills the primary under load: each proxy acknowledges writes again after 2 s at most, no acknowledged
// write on a Durable route is missing, none ran twice, and none ran that was refused as "not run".
func TestPrimaryKilled(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	oldPrimary, state := fleet.primary()
	killed := time.Now()
	fleet.kill(oldPrimary.Name)
	successor := fleet.awaitTerm(state.Term + 1)
	termOpened := time.Now()
	for _, proxy := range fleet.plan.Proxies {
		load.awaitWrites(proxy, termOpened, workersPerProxy)
	}
	gap, gapSummary := load.writeGaps(fleet.plan.Proxies, killed)
	load.verify(time.Time{})
	t.Logf("primary %s killed, %s promoted; write gaps %s; %s", oldPrimary.Name, successor.Name, gapSummary, load.summary())
	fleet.Check(gap <= failoverTarget, qt.IsTrue, qt.Commentf("gap %v; %v", gap, load.errorCounts()))
}

// awaitTerm waits until a running server is primary in the given or a later term.
func (fleet *fleet) awaitTerm(term spool.Term) demo.Process {
	found := demo.Process{}
	fleet.await("a new term begins", func() bool {
		server, state, err := demo.FindPrimary(fleet.running(fleet.plan.Servers))
		found = server
		return err == nil && state.Term >= term
	})
	return found
}

// TestLeaderAndPrimaryKilledTogether kills the group's leader and the primary at once: the other proxies acknowledge
// writes again, no acknowledged write is missing, none ran twice, and none ran that was refused as "not run".
func TestLeaderAndPrimaryKilledTogether(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	leader, _ := fleet.leader()
	oldPrimary, state := fleet.primary()
	killed := time.Now()
	fleet.kill(leader.Name)
	fleet.kill(oldPrimary.Name)
	fleet.awaitTerm(state.Term + 1)
	termOpened := time.Now()
	for _, proxy := range fleet.others(leader) {
		load.awaitWrites(proxy, termOpened, workersPerProxy)
	}
	_, gapSummary := load.writeGaps(fleet.others(leader), killed)
	load.verify(time.Time{})
	t.Logf("leader %s and primary %s killed; write gaps %s; %s", leader.Name, oldPrimary.Name, gapSummary, load.summary())
}
