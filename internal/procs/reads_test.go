package procs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

const (
	largeLag          = 500 * time.Millisecond
	roamingWriteShare = 0.2
	roamingWrites     = 100
)

// TestRoamingSessionsReadTheirWrites checks that sessions that switch between proxies with their token read their own
// writes while one replica lags far behind the one that made the writes durable, and that replicas still answer reads.
func TestRoamingSessionsReadTheirWrites(t *testing.T) {
	fleet := newFleet(t, nil)
	lag := spool.Duration(largeLag)
	fleet.setControl(fleet.plan.Servers[2], regsrv.FaultUpdate{Lag: &lag})
	load, ctx := fleet.newLoad()
	addresses := []string{}
	for _, proxy := range fleet.plan.Proxies {
		addresses = append(addresses, proxy.Address)
	}
	history := load.addSessions(ctx, "roaming", 0, roamingWriteShare, addresses...)
	start := time.Now()
	fleet.await("the sessions have written", func() bool { return history.AcknowledgedSince(start) >= roamingWrites })
	load.verify(time.Time{})
	primary, replicas := 0, 0
	for _, server := range fleet.plan.Servers {
		activity, err := demo.Fetch[regsrv.Activity](server, "/seen")
		fleet.Assert(err, qt.IsNil)
		primary += activity.PrimaryReads
		replicas += activity.ReplicaReads
	}
	t.Logf("%d reads on replicas, %d on the primary, %d stale; %s", replicas, primary, history.StaleReads, load.summary())
	fleet.Check(replicas > 0, qt.IsTrue)
	fleet.Check(load.countOutcome(demo.OutcomeUnknown), qt.Equals, 0)
}
