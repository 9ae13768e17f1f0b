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
	farBehind    = 500 * time.Millisecond
	roamingShare = 0.2
	roamingWrite = 100
)

// TestRoamingSessionsReadTheirWrites: sessions that roam between the proxies with their token read all that they wrote,
// while one replica is far behind the one that made their writes durable; replicas answer reads all the same.
func TestRoamingSessionsReadTheirWrites(t *testing.T) {
	fleet := newFleet(t, nil)
	lag := spool.Duration(farBehind)
	fleet.control(fleet.plan.Servers[2], regsrv.Control{Lag: &lag})
	load, ctx := fleet.newLoad()
	addresses := []string{}
	for _, proxy := range fleet.plan.Proxies {
		addresses = append(addresses, proxy.Address)
	}
	ledger := load.add(ctx, "roaming", 0, roamingShare, addresses...)
	begun := time.Now()
	fleet.await("the sessions have written", func() bool { return ledger.AnsweredSince(begun) >= roamingWrite })
	load.check(time.Time{})
	primary, replicas := 0, 0
	for _, server := range fleet.plan.Servers {
		seen, err := demo.Fetch[regsrv.Seen](server, "/seen")
		fleet.Assert(err, qt.IsNil)
		primary += seen.PrimaryReads
		replicas += seen.ReplicaReads
	}
	t.Logf("%d reads on replicas, %d on the primary, %d stale; %s", replicas, primary, ledger.Stale, load.figures())
	fleet.Check(replicas > 0, qt.IsTrue)
	fleet.Check(load.count(demo.Unknown), qt.Equals, 0)
}
