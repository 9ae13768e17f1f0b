package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core/member"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

func heartbeat(domain string, leaving bool) *wire.Heartbeat {
	return &wire.Heartbeat{Domain: domain, Address: "127.0.0.1:1", Leaving: leaving}
}

func TestAliveDependsOnHeartbeatsNotTheList(t *testing.T) {
	c := qt.New(t)
	view := member.New(spool.Member{VM: "a", Domain: "d1"})
	view.ApplyList([]spool.Member{{VM: "b", Domain: "d2"}})
	c.Assert(view.Alive("b", 0), qt.IsFalse)
	view.RecordHeartbeat("b", 1, heartbeat("d2", false), 0)
	c.Assert(view.Alive("b", 0), qt.IsTrue)
	view.ApplyList(nil)
	c.Assert(view.Alive("b", 0), qt.IsTrue)
	c.Assert(view.Alive("b", spool.Instant(2*time.Second)), qt.IsFalse)
}

func TestLeavingPersistsUntilNewIncarnation(t *testing.T) {
	c := qt.New(t)
	view := member.New(spool.Member{VM: "a", Domain: "d1"})
	view.RecordHeartbeat("b", 1, heartbeat("d1", true), 0)
	view.RecordHeartbeat("b", 1, heartbeat("d1", false), 1)
	c.Assert(view.Serving(1), qt.HasLen, 1)
	view.RecordHeartbeat("b", 2, heartbeat("d1", false), 2)
	c.Assert(view.Serving(2), qt.HasLen, 2)
	view.RecordHeartbeat("b", 1, heartbeat("d1", true), 3)
	c.Assert(view.Serving(3), qt.HasLen, 2)
}

func TestOneReaderPerDomainAndUniqueRanks(t *testing.T) {
	c := qt.New(t)
	readers := map[string]int{}
	ranks := map[int]bool{}
	for i := range 9 {
		view := newFleetView(i, 9, 3)
		if view.IsReader(0) {
			readers[string(view.Self().Domain)]++
		}
		incremental := member.NewRanks(view)
		incremental.Update(0)
		rank, eligible := incremental.Rank("Group/g")
		c.Assert(eligible, qt.IsTrue)
		ranks[rank] = true
	}
	c.Assert(readers, qt.DeepEquals, map[string]int{"d0": 1, "d1": 1, "d2": 1})
	c.Assert(ranks, qt.HasLen, 9)
}

// TestRelaysConnectLargeFleet follows the heartbeat targets of every VM: a heartbeat must reach all VMs within three hops.
func TestRelaysConnectLargeFleet(t *testing.T) {
	c := qt.New(t)
	const size = 60
	targets := map[spool.VM][]spool.VM{}
	maxTargets := 0
	for i := range size {
		view := newFleetView(i, size, 6)
		targets[view.Self().VM] = view.HeartbeatTargets(0)
		if !view.IsRelay(0) {
			maxTargets = max(maxTargets, len(view.HeartbeatTargets(0)))
		}
	}
	c.Assert(maxTargets, qt.Equals, member.RelaysPerDomain)
	reached := map[spool.VM]bool{"vm00": true}
	for range 3 {
		for vm := range targets {
			if !reached[vm] {
				continue
			}
			for _, next := range targets[vm] {
				reached[next] = true
			}
		}
	}
	c.Assert(reached, qt.HasLen, size)
}

func newFleetView(self, size, domains int) *member.View {
	name := func(i int) spool.VM { return spool.VM(fmt.Sprintf("vm%02d", i)) }
	domain := func(i int) string { return fmt.Sprintf("d%d", i%domains) }
	view := member.New(spool.Member{VM: name(self), Domain: spool.Domain(domain(self))})
	for i := range size {
		if i != self {
			view.RecordHeartbeat(name(i), 1, heartbeat(domain(i), false), 0)
		}
	}
	return view
}
