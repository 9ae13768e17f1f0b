package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const start = spool.Instant(time.Hour)

func anyDomain(spool.Domain) bool { return true }

func domainFor(vm spool.VM) spool.Domain { return spool.Domain("d-" + vm) }

// connectedRosters returns the rosters of proxies that all have a heartbeat of each other.
func connectedRosters(now spool.Instant, vms ...spool.VM) map[spool.VM]*Roster {
	rosters := map[spool.VM]*Roster{}
	for _, self := range vms {
		roster := New(spool.Member{VM: self, Domain: domainFor(self)}, func(spool.Domain) bool { return true })
		for _, vm := range vms {
			roster.Add(spool.Member{VM: vm, Domain: domainFor(vm)}, now)
			if member := roster.Get(vm); member != nil {
				member.LastHeard, member.StoreReached = now, true
			}
		}
		rosters[self] = roster
	}
	return rosters
}

func supervisors(rosters map[spool.VM]*Roster, subject string, now spool.Instant) []spool.VM {
	var found []spool.VM
	for vm, roster := range rosters {
		if roster.Supervises(subject, domainFor(vm), anyDomain, true, now) {
			found = append(found, vm)
		}
	}
	return found
}

func TestSupervisorFailover(t *testing.T) {
	c := qt.New(t)
	rosters := connectedRosters(start, "vm1", "vm2", "vm3", "vm4")
	first := supervisors(rosters, "group", start)
	c.Assert(first, qt.HasLen, 1)
	later := start.Add(localTimeout)
	for vm, roster := range rosters {
		for _, member := range roster.Others() {
			if member.VM != first[0] && vm != first[0] {
				member.LastHeard = later
			}
		}
	}
	delete(rosters, first[0])
	second := supervisors(rosters, "group", later)
	c.Assert(second, qt.HasLen, 1)
	c.Assert(second[0], qt.Not(qt.Equals), first[0])
}

func TestProxyWithoutStoreDoesNotSupervise(t *testing.T) {
	c := qt.New(t)
	rosters := connectedRosters(start, "vm1", "vm2", "vm3")
	first := supervisors(rosters, "group", start)[0]
	for vm, roster := range rosters {
		if vm != first {
			roster.Get(first).StoreReached = false
		}
	}
	c.Assert(rosters[first].Supervises("group", domainFor(first), anyDomain, false, start), qt.IsFalse)
	delete(rosters, first)
	c.Assert(supervisors(rosters, "group", start), qt.HasLen, 1)
}

func TestPreferredDomainSupervises(t *testing.T) {
	c := qt.New(t)
	rosters := connectedRosters(start, "vm1", "vm2", "vm3", "vm4")
	for _, preferred := range []spool.VM{"vm1", "vm3"} {
		prefer := func(candidate spool.Domain) bool { return candidate == domainFor(preferred) }
		for vm, roster := range rosters {
			c.Assert(roster.Supervises("group", domainFor(vm), prefer, true, start), qt.Equals, vm == preferred)
		}
	}
}

// TestRemoteMembersHaveLongerTimeout checks that a proxy of another region stays live between its less frequent heartbeats.
func TestRemoteMembersHaveLongerTimeout(t *testing.T) {
	c := qt.New(t)
	roster := New(spool.Member{VM: "vm1"}, func(domain spool.Domain) bool { return domain == "near" })
	roster.Add(spool.Member{VM: "vm2", Domain: "near"}, start)
	roster.Add(spool.Member{VM: "vm3", Domain: "far"}, start)
	roster.Get("vm2").LastHeard, roster.Get("vm3").LastHeard = start, start
	c.Assert(roster.Live(start.Add(localTimeout-1)), qt.HasLen, 2)
	c.Assert(roster.Live(start.Add(localTimeout)), qt.HasLen, 1)
	c.Assert(roster.Live(start.Add(remoteTimeout)), qt.HasLen, 0)
}

func TestSilentMembersExpire(t *testing.T) {
	c := qt.New(t)
	roster := connectedRosters(start, "vm1", "vm2", "vm3")["vm1"]
	c.Assert(roster.Expired(start.Add(registrationTimeout)), qt.HasLen, 0)
	later := start.Add(registrationTimeout + 1)
	roster.Get("vm2").LastHeard = later
	c.Assert(roster.Expired(later), qt.DeepEquals, []spool.VM{"vm3"})
	roster.RemoveUnregistered(map[spool.VM]bool{}, later)
	c.Assert(roster.Size(), qt.Equals, 2)
	domains, self := roster.Domains("own")
	c.Assert(domains, qt.DeepEquals, []spool.Domain{"own", "d-vm2"})
	c.Assert(self, qt.Equals, 0)
}

// TestProxiesAgreeOnTopRanked checks that all proxies rank the same one first for a subject, and that only this first one gets
// an empty list.
func TestProxiesAgreeOnTopRanked(t *testing.T) {
	c := qt.New(t)
	rosters := connectedRosters(start, "vm1", "vm2", "vm3", "vm4", "vm5")
	all := func(*Member) bool { return true }
	first := map[spool.VM]int{}
	for subject := range 50 {
		name := string(rune('a' + subject))
		others := rosters["vm1"].TopRanked(name, 2, false, all, start)
		for self, roster := range rosters {
			ranked := roster.TopRanked(name, 2, true, all, start)
			c.Assert(len(ranked) <= 2, qt.IsTrue)
			if len(ranked) == 0 {
				first[self]++
				c.Assert(others[0] == self || self == "vm1", qt.IsTrue)
			}
		}
	}
	c.Assert(len(first) >= 4, qt.IsTrue, qt.Commentf("%v", first))
}

func TestTopRankedAreLiveAndEligible(t *testing.T) {
	c := qt.New(t)
	roster := connectedRosters(start, "vm1", "vm2", "vm3", "vm4")["vm1"]
	roster.Get("vm2").Leaving = true
	roster.Get("vm3").LastHeard = start.Add(-localTimeout)
	for subject := range 20 {
		for _, vm := range roster.TopRanked(string(rune('a'+subject)), 3, false, func(*Member) bool { return true }, start) {
			c.Assert(vm, qt.Equals, spool.VM("vm4"))
		}
	}
	c.Assert(roster.TopRanked("a", 3, false, func(member *Member) bool { return member.VM != "vm4" }, start), qt.HasLen, 0)
}
