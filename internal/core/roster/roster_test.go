package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const start = spool.Instant(time.Hour)

// fleet returns the rosters of proxies that hear each other.
func fleet(now spool.Instant, vms ...spool.VM) map[spool.VM]*Roster {
	rosters := map[spool.VM]*Roster{}
	for _, self := range vms {
		roster := New(self)
		for _, vm := range vms {
			roster.Add(spool.Member{VM: vm, Domain: spool.Domain("d-" + vm)}, now)
			if member := roster.Get(vm); member != nil {
				member.Heard, member.StoreReached = now, true
			}
		}
		rosters[self] = roster
	}
	return rosters
}

func supervisors(rosters map[spool.VM]*Roster, subject string, now spool.Instant) []spool.VM {
	var found []spool.VM
	for vm, roster := range rosters {
		if roster.Supervises(subject, true, now) {
			found = append(found, vm)
		}
	}
	return found
}

func TestOneProxySupervisesAndAnotherTakesOver(t *testing.T) {
	c := qt.New(t)
	rosters := fleet(start, "vm1", "vm2", "vm3", "vm4")
	first := supervisors(rosters, "group", start)
	c.Assert(first, qt.HasLen, 1)
	later := start.Add(LiveFor)
	for vm, roster := range rosters {
		for _, member := range roster.Others() {
			if member.VM != first[0] && vm != first[0] {
				member.Heard = later
			}
		}
	}
	delete(rosters, first[0])
	second := supervisors(rosters, "group", later)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0], qt.Not(qt.Equals), first[0])
}

func TestLeavingAndCutProxiesDoNotSupervise(t *testing.T) {
	c := qt.New(t)
	rosters := fleet(start, "vm1", "vm2", "vm3")
	first := supervisors(rosters, "group", start)[0]
	for vm, roster := range rosters {
		if vm != first {
			roster.Get(first).StoreReached = false
		}
	}
	c.Assert(rosters[first].Supervises("group", false, start), qt.IsFalse)
	delete(rosters, first)
	c.Assert(supervisors(rosters, "group", start), qt.HasLen, 1)
}

func TestRegistrationsOfSilentProxiesAreRemoved(t *testing.T) {
	c := qt.New(t)
	roster := fleet(start, "vm1", "vm2", "vm3")["vm1"]
	c.Assert(roster.Gone(start.Add(goneAfter)), qt.HasLen, 0)
	later := start.Add(goneAfter + 1)
	roster.Get("vm2").Heard = later
	c.Assert(roster.Gone(later), qt.DeepEquals, []spool.VM{"vm3"})
	roster.Keep(map[spool.VM]bool{}, later)
	c.Assert(roster.Size(), qt.Equals, 2)
	domains, self := roster.Domains("own")
	c.Assert(domains, qt.DeepEquals, []spool.Domain{"own", "d-vm2"})
	c.Assert(self, qt.Equals, 0)
}
