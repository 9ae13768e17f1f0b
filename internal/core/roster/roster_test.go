package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const start = spool.Instant(time.Hour)

func anywhere(spool.Domain) bool { return true }

func domain(vm spool.VM) spool.Domain { return spool.Domain("d-" + vm) }

// fleet returns the rosters of proxies that hear each other.
func fleet(now spool.Instant, vms ...spool.VM) map[spool.VM]*Roster {
	rosters := map[spool.VM]*Roster{}
	for _, self := range vms {
		roster := New(spool.Member{VM: self, Domain: domain(self)}, func(spool.Domain) bool { return true })
		for _, vm := range vms {
			roster.Add(spool.Member{VM: vm, Domain: domain(vm)}, now)
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
		if roster.Supervises(subject, domain(vm), anywhere, true, now) {
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
	later := start.Add(liveFor)
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

func TestLeavingAndCutProxiesDoNotSupervise(t *testing.T) {
	c := qt.New(t)
	rosters := fleet(start, "vm1", "vm2", "vm3")
	first := supervisors(rosters, "group", start)[0]
	for vm, roster := range rosters {
		if vm != first {
			roster.Get(first).StoreReached = false
		}
	}
	c.Assert(rosters[first].Supervises("group", domain(first), anywhere, false, start), qt.IsFalse)
	delete(rosters, first)
	c.Assert(supervisors(rosters, "group", start), qt.HasLen, 1)
}

func TestPreferredProxySupervises(t *testing.T) {
	c := qt.New(t)
	rosters := fleet(start, "vm1", "vm2", "vm3", "vm4")
	for _, preferred := range []spool.VM{"vm1", "vm3"} {
		prefer := func(candidate spool.Domain) bool { return candidate == domain(preferred) }
		for vm, roster := range rosters {
			c.Assert(roster.Supervises("group", domain(vm), prefer, true, start), qt.Equals, vm == preferred)
		}
	}
}

// TestFarProxiesAreHeardLessOften keeps a proxy of another region live between its rarer heartbeats.
func TestFarProxiesAreHeardLessOften(t *testing.T) {
	c := qt.New(t)
	roster := New(spool.Member{VM: "vm1"}, func(domain spool.Domain) bool { return domain == "near" })
	roster.Add(spool.Member{VM: "vm2", Domain: "near"}, start)
	roster.Add(spool.Member{VM: "vm3", Domain: "far"}, start)
	roster.Get("vm2").LastHeard, roster.Get("vm3").LastHeard = start, start
	c.Assert(roster.Live(start.Add(liveFor-1)), qt.HasLen, 2)
	c.Assert(roster.Live(start.Add(liveFor)), qt.HasLen, 1)
	c.Assert(roster.Live(start.Add(farLiveFor)), qt.HasLen, 0)
}

func TestRegistrationsOfSilentProxiesAreRemoved(t *testing.T) {
	c := qt.New(t)
	roster := fleet(start, "vm1", "vm2", "vm3")["vm1"]
	c.Assert(roster.Expired(start.Add(goneAfter)), qt.HasLen, 0)
	later := start.Add(goneAfter + 1)
	roster.Get("vm2").LastHeard = later
	c.Assert(roster.Expired(later), qt.DeepEquals, []spool.VM{"vm3"})
	roster.RemoveUnregistered(map[spool.VM]bool{}, later)
	c.Assert(roster.Size(), qt.Equals, 2)
	domains, self := roster.Domains("own")
	c.Assert(domains, qt.DeepEquals, []spool.Domain{"own", "d-vm2"})
	c.Assert(self, qt.Equals, 0)
}

// TestProxiesAgreeOnHomes checks that all proxies name the same first one for a subject, which names none before itself.
func TestProxiesAgreeOnHomes(t *testing.T) {
	c := qt.New(t)
	rosters := fleet(start, "vm1", "vm2", "vm3", "vm4", "vm5")
	all := func(*Member) bool { return true }
	first := map[spool.VM]int{}
	for subject := range 50 {
		name := string(rune('a' + subject))
		outside := rosters["vm1"].TopRanked(name, 2, false, all, start)
		for self, roster := range rosters {
			homes := roster.TopRanked(name, 2, true, all, start)
			c.Assert(len(homes) <= 2, qt.IsTrue)
			if len(homes) == 0 {
				first[self]++
				c.Assert(outside[0] == self || self == "vm1", qt.IsTrue)
			}
		}
	}
	c.Assert(len(first) >= 4, qt.IsTrue, qt.Commentf("%v", first))
}

func TestHomesAreLiveAndFit(t *testing.T) {
	c := qt.New(t)
	roster := fleet(start, "vm1", "vm2", "vm3", "vm4")["vm1"]
	roster.Get("vm2").Leaving = true
	roster.Get("vm3").LastHeard = start.Add(-liveFor)
	for subject := range 20 {
		for _, vm := range roster.TopRanked(string(rune('a'+subject)), 3, false, func(*Member) bool { return true }, start) {
			c.Assert(vm, qt.Equals, spool.VM("vm4"))
		}
	}
	c.Assert(roster.TopRanked("a", 3, false, func(member *Member) bool { return member.VM != "vm4" }, start), qt.HasLen, 0)
}
