package procs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/pkg/spool"
)

// TestPrimaryKilled: when the primary is killed under load, each proxy acknowledges writes again after 2 s at most; no
// acknowledged write on a Durable route is missing, none ran twice, and what was refused as "not run" did not run.
func TestPrimaryKilled(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	victim, state := fleet.primary()
	killed := time.Now()
	fleet.kill(victim.Name)
	successor := fleet.awaitTerm(state.Term + 1)
	reopened := time.Now()
	for _, proxy := range fleet.plan.Proxies {
		load.awaitWrites(proxy, reopened, workersPerProxy)
	}
	gap, shown := load.gaps(fleet.plan.Proxies, killed)
	load.check(time.Time{})
	t.Logf("primary %s killed, %s follows; gaps %s; %s", victim.Name, successor.Name, shown, load.figures())
	fleet.Check(gap <= failoverTarget, qt.IsTrue, qt.Commentf("gap %v; %v", gap, load.problems()))
}

// awaitTerm waits until a running server is primary of at least a term.
func (fleet *fleet) awaitTerm(term spool.Term) demo.Process {
	found := demo.Process{}
	fleet.await("a new term opens", func() bool {
		server, state, err := demo.Primary(fleet.running(fleet.plan.Servers))
		found = server
		return err == nil && state.Term >= term
	})
	return found
}

// TestLeaderAndPrimaryKilledTogether: when the group's leader and the primary die at once, the other proxies acknowledge
// writes again; no acknowledged write is missing, none ran twice, and what was refused as "not run" did not run.
func TestLeaderAndPrimaryKilledTogether(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	leader, _ := fleet.leader()
	victim, state := fleet.primary()
	killed := time.Now()
	fleet.kill(leader.Name)
	fleet.kill(victim.Name)
	fleet.awaitTerm(state.Term + 1)
	reopened := time.Now()
	for _, proxy := range fleet.others(leader) {
		load.awaitWrites(proxy, reopened, workersPerProxy)
	}
	_, shown := load.gaps(fleet.others(leader), killed)
	load.check(time.Time{})
	t.Logf("leader %s and primary %s killed; gaps %s; %s", leader.Name, victim.Name, shown, load.figures())
}
