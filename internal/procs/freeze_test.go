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
	freezeDuration = 4 * time.Second        // longer than the lease and shorter than the callers' timeout for an answer
	slowWorkTime   = 500 * time.Millisecond // duration of the writes that are in flight when the leader is stopped
	sendWait       = slowWorkTime / 2       // time for these writes to reach the primary
	slowWriteCount = 8

	raisedSlots       = 24 // enough that slow writes and the load run at the same time
	raisedConnections = 60 // enough for the connections of the frozen leader and of its successor
)

// TestLeaderResumedAfterFailover stops the group's leader (SIGSTOP) for longer than its lease: the other proxies acknowledge
// writes again within 2 s. When it resumes after a failover of the primary, writes through it succeed on the new primary,
// which has each acknowledged write, no write twice and no write that was refused as "not run".
func TestLeaderResumedAfterFailover(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	frozen := fleet.freezeLeaderDuringFailover(load)
	resumed := time.Now()
	fleet.signal(frozen.Name, syscall.SIGCONT)
	load.awaitWrites(frozen, resumed, workersPerProxy)
	load.verify(time.Time{})
	t.Logf("leader %s resumed; %d writes through it since then; %s", frozen.Name,
		load.histories[frozen.Name].AcknowledgedSince(resumed), load.summary())
}

// TestResumedLeaderDropsAnswersOfReplacedPrimary guards against lost writes that are acknowledged: a leader that resumes
// must not forward answers of the replaced primary that wait in its sockets. The route is not Durable and the primary is
// cut from its replicas, so that only the leader's lease can prevent the acknowledgement.
func TestResumedLeaderDropsAnswersOfReplacedPrimary(t *testing.T) {
	fleet := newFleet(t, func(fleet *fleet) {
		fleet.manifest.Routes[0].Durable = false
		fleet.raiseServerLimits()
	})
	load := fleet.startLoad()
	oldPrimary, _ := fleet.primary()
	leader, _ := fleet.leader()
	cut := true
	fleet.setControl(oldPrimary, regsrv.FaultUpdate{CutPeers: &cut})
	slowWrites := fleet.startSlowWrites(leader, oldPrimary)
	frozen := fleet.freezeLeaderDuringFailover(load)
	ran := slowWrites.appliedBy(oldPrimary)
	resumed := time.Now()
	fleet.signal(frozen.Name, syscall.SIGCONT)
	load.awaitWrites(frozen, resumed, workersPerProxy)
	violations := load.compareWithLog(resumed)
	slowWriteViolations := slowWrites.verify()
	t.Logf(
		"leader %s resumed; %d of %d slow writes had run on the replaced primary, %d were acknowledged; %d other writes since then",
		frozen.Name, ran, slowWriteCount, slowWrites.history.OutcomeCounts[demo.OutcomeAnswered], load.histories[frozen.Name].AcknowledgedSince(resumed))
	fleet.Check(frozen.Name, qt.Equals, leader.Name)
	fleet.Check(ran > 0, qt.IsTrue)
	fleet.Check(slowWriteViolations, qt.Equals, demo.Violations{})
	fleet.Check(violations, qt.Equals, demo.Violations{})
}

// raiseServerLimits raises the servers' slots and connections to fit slow writes beside the load.
func (fleet *fleet) raiseServerLimits() {
	servers := fleet.manifest.Groups[0].Servers
	for i := range servers {
		servers[i].Slots = raisedSlots
		servers[i].Connections = raisedConnections
	}
}

// freezeLeaderDuringFailover stops the leader (SIGSTOP) and kills the primary; after each it waits until the other proxies
// acknowledge writes. It returns the leader, still stopped.
func (fleet *fleet) freezeLeaderDuringFailover(load *load) demo.Process {
	leader, _ := fleet.leader()
	others := fleet.others(leader)
	frozenAt := time.Now()
	fleet.signal(leader.Name, syscall.SIGSTOP)
	for _, proxy := range others {
		load.awaitWrites(proxy, frozenAt.Add(failoverTarget/2), workersPerProxy)
	}
	gap, gapSummary := load.writeGaps(others, frozenAt)
	fleet.Logf("leader %s stopped; write gaps of the others: %s", leader.Name, gapSummary)
	fleet.Check(gap <= failoverTarget, qt.IsTrue, qt.Commentf("gap %v", gap))
	time.Sleep(2 * gapMargin)
	oldPrimary, state := fleet.primary()
	killedAt := time.Now()
	fleet.kill(oldPrimary.Name)
	fleet.awaitTerm(state.Term + 1)
	termOpened := time.Now()
	for _, proxy := range others {
		load.awaitWrites(proxy, termOpened, workersPerProxy)
	}
	_, gapSummary = load.writeGaps(others, killedAt)
	fleet.Logf("primary %s killed meanwhile; write gaps of the others: %s", oldPrimary.Name, gapSummary)
	time.Sleep(time.Until(frozenAt.Add(freezeDuration)))
	return leader
}
