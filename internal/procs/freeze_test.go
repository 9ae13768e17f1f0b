package procs

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
)

const (
	freezeTime = 4 * time.Second        // past the lease, and shorter than callers wait for an answer
	slowWork   = 500 * time.Millisecond // of the writes that are in flight when the leader is frozen
	sendTime   = slowWork / 2           // for these writes to reach the primary
	lateWrites = 8

	manySlots       = 24 // so that slow writes and the load run at once
	manyConnections = 60 // so that the frozen leader's connections leave room for its successor's
)

// TestFrozenLeader: while the group's leader is frozen past its lease the other proxies go on within 2 s; when it wakes
// after the primary has been replaced, writes through it succeed on the new primary, no acknowledged write is missing
// there, none ran twice, and what was refused as "not run" did not run.
func TestFrozenLeader(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	frozen := fleet.freezePastReplacement(load)
	woken := time.Now()
	fleet.signal(frozen.Name, syscall.SIGCONT)
	load.awaitWrites(frozen, woken, workersPerProxy)
	load.check(time.Time{})
	t.Logf("leader %s woken; %d writes through it since then; %s", frozen.Name,
		load.ledgers[frozen.Name].AnsweredSince(woken), load.figures())
}

// TestFrozenLeaderWakesWithOldAnswers: answers of the replaced primary that wait in the sockets of a frozen leader are
// not passed on when it wakes. The route is not Durable and the primary is cut from its replicas, so that only the
// leader's lease can keep the lost writes from being acknowledged.
func TestFrozenLeaderWakesWithOldAnswers(t *testing.T) {
	fleet := newFleet(t, func(fleet *fleet) {
		fleet.manifest.Routes[0].Durable = false
		fleet.manySlots()
	})
	load := fleet.startLoad()
	victim, _ := fleet.primary()
	leader, _ := fleet.leader()
	cut := true
	fleet.control(victim, regsrv.Control{CutPeers: &cut})
	late := fleet.writeSlowly(leader, victim)
	frozen := fleet.freezePastReplacement(load)
	ran := late.appliedBy(victim)
	woken := time.Now()
	fleet.signal(frozen.Name, syscall.SIGCONT)
	load.awaitWrites(frozen, woken, workersPerProxy)
	verdict := load.judge(woken)
	lateVerdict := late.judge()
	t.Logf("leader %s woken; %d of %d writes had run on the replaced primary, %d were acknowledged; %d others since then",
		frozen.Name, ran, lateWrites, late.ledger.Counts[demo.Answered], load.ledgers[frozen.Name].AnsweredSince(woken))
	fleet.Check(frozen.Name, qt.Equals, leader.Name)
	fleet.Check(ran > 0, qt.IsTrue)
	fleet.Check(lateVerdict, qt.Equals, demo.Verdict{})
	fleet.Check(verdict, qt.Equals, demo.Verdict{})
}

// manySlots gives the servers room for slow writes beside the load.
func (fleet *fleet) manySlots() {
	servers := fleet.manifest.Groups[0].Servers
	for i := range servers {
		servers[i].Slots = manySlots
		servers[i].Connections = manyConnections
	}
}

// freezePastReplacement freezes the leader, sees the others go on, kills the primary and sees them go on again.
func (fleet *fleet) freezePastReplacement(load *load) demo.Process {
	leader, _ := fleet.leader()
	others := fleet.others(leader)
	frozenAt := time.Now()
	fleet.signal(leader.Name, syscall.SIGSTOP)
	for _, proxy := range others {
		load.awaitWrites(proxy, frozenAt.Add(failoverTarget/2), workersPerProxy)
	}
	gap, shown := load.gaps(others, frozenAt)
	fleet.Logf("leader %s frozen; gaps of the others: %s", leader.Name, shown)
	fleet.Check(gap <= failoverTarget, qt.IsTrue, qt.Commentf("gap %v", gap))
	time.Sleep(2 * gapLead)
	victim, state := fleet.primary()
	killedAt := time.Now()
	fleet.kill(victim.Name)
	fleet.awaitTerm(state.Term + 1)
	reopened := time.Now()
	for _, proxy := range others {
		load.awaitWrites(proxy, reopened, workersPerProxy)
	}
	_, shown = load.gaps(others, killedAt)
	fleet.Logf("primary %s killed meanwhile; gaps of the others: %s", victim.Name, shown)
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	return leader
}
