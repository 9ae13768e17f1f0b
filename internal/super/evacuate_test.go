package super_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/elect"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/pkg/spool"
)

// evacuationBound is the bound within which proxies learn of an evacuation.
const evacuationBound = 3 * time.Second

// newEvacuatedCluster places each server in the failure domain z and its name, and evacuates domains that were learned of a
// while ago.
func newEvacuatedCluster(t *testing.T, ago time.Duration, domains ...spool.Domain) *cluster {
	cluster := newCluster(t)
	for _, server := range cluster.group.Servers() {
		spec := cluster.spec(server.ID, "a")
		spec.Domain = spool.Domain("z" + string(server.ID))
		cluster.pool.SetServer(spec)
	}
	record := place.EvacuationRecord{Bound: evacuationBound}
	record.Apply(1, domains, clock.Real{}.Now().Add(-ago))
	cluster.pool.SetEvacuation(record.Current, nil)
	return cluster
}

// TestEvacuatedPrimaryIsReplaced evacuates the primary and one replica: the other replica is promoted while commands may still be
// sent, once the other proxies acknowledge no commits that it lacks.
func TestEvacuatedPrimaryIsReplaced(t *testing.T) {
	c := qt.New(t)
	cluster := newEvacuatedCluster(t, 0, "za", "zb")
	cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Complete: true}})
	cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
	c.Assert(cluster.promotedServers(), qt.DeepEquals, []string{"c"})
}

// TestEvacuatedPrimaryIsReplacedWithoutCommands replaces a primary after the time for commands and sends it nothing. It guards
// against the loss of a commit that an evacuated replica alone holds: the primary still answers, so a commit that was sent before
// may be acknowledged after all proxies told their newest positions.
func TestEvacuatedPrimaryIsReplacedWithoutCommands(t *testing.T) {
	for _, row := range []struct {
		domains  []spool.Domain
		ago      time.Duration
		complete bool
		promotes bool
	}{
		{[]spool.Domain{"za"}, place.SettledTime, true, true},
		{[]spool.Domain{"za"}, place.SettledTime, false, true},
		{[]spool.Domain{"za", "zb"}, place.SettledTime, true, false}, // for the 2 s that the test waits
		{[]spool.Domain{"za", "zb"}, 2 * evacuationBound, true, true},
		{[]spool.Domain{"za", "zb"}, 2 * evacuationBound, false, false},
	} {
		c := qt.New(t)
		cluster := newEvacuatedCluster(t, row.ago, row.domains...)
		cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Complete: row.complete}})
		if row.promotes {
			cluster.eventually(func() bool { return len(cluster.promotedServers()) == 1 })
		} else {
			time.Sleep(2 * time.Second)
			c.Assert(cluster.promotedServers(), qt.HasLen, 0)
			c.Assert(cluster.group.Server("b").LastArrival().Line, qt.Equals, "")
		}
		c.Assert(cluster.group.Server("a").LastArrival().Line, qt.Equals, "")
	}
}

// TestNoSuccessorOutsideEvacuatedDomains evacuates the whole group: nothing is promoted and nothing sent.
func TestNoSuccessorOutsideEvacuatedDomains(t *testing.T) {
	c := qt.New(t)
	cluster := newEvacuatedCluster(t, 0, "za", "zb", "zc")
	cluster.startSupervisor("vm1", stubFleet{poll: elect.PeerPoll{Complete: true}})
	time.Sleep(place.SettledTime + time.Second)
	c.Assert(cluster.promotedServers(), qt.HasLen, 0)
	for _, server := range cluster.group.Servers() {
		c.Assert(server.LastArrival().Line, qt.Equals, "")
	}
}
