package spread

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// Bounds of the distribution, counted from when the readers received the version; reading the store takes the rest of the
// users' 4 s and 1.5 s.
const (
	fullWithin  = 3 * time.Second
	smallWithin = 1100 * time.Millisecond
	queueLimit  = 500 * time.Millisecond
)

var siteSizes = []struct {
	members, domains, regions int
	storm                     time.Duration // bound of the last version of a storm, whose deltas are 25 times as large
}{{300, 6, 2, 1500 * time.Millisecond}, {2802, 17, 5, 2500 * time.Millisecond}}

// measure is what one distribution took.
type measure struct {
	last    time.Duration
	missing int
	traffic
	queue time.Duration
}

func (site *site) distribute(version uint64, within time.Duration) measure {
	site.sentBytes()
	site.longestQueue()
	site.publish(version)
	last, missing := site.settle(version, within)
	return measure{last, missing, site.sentBytes(), site.longestQueue()}
}

// violations compares a measure with the bounds.
func (measure measure) violations(members int, within time.Duration, packed int) []string {
	var found []string
	add := func(violated bool, name string) {
		if violated {
			found = append(found, name)
		}
	}
	add(measure.missing > 0, "members without the version")
	add(measure.last > within, "time until in effect")
	add(measure.queue > queueLimit, "longest queue")
	add(measure.total > members*(packed*3/2+controlShare), "bytes of all members")
	add(measure.domain > domainCopies*packed+controlShare, "bytes out of a failure domain")
	return found
}

// controlShare is what each member sends in control messages within the measured time, relays shared among their members.
const controlShare = 10_000

// domainCopies is the number of copies that may leave a failure domain, that of the region's reader, for all others.
const domainCopies = 16

// TestConfigurationSpreads guards against a distribution whose time, queues or bytes for each member grow with the fleet:
// with 5,000 routes to members that hold nothing, and with a small change.
func TestConfigurationSpreads(t *testing.T) {
	c := qt.New(t)
	for _, size := range siteSizes {
		site := newSite(size.members, size.domains, size.regions)
		site.clock.Advance(time.Second)
		full := site.distribute(1, 5*time.Second)
		t.Logf("%d members, 5,000 routes: %+v", size.members, full)
		c.Check(full.violations(size.members, fullWithin, fullPackedBytes), qt.HasLen, 0)
		small := site.distribute(2, 5*time.Second)
		t.Logf("%d members, small change: %+v", size.members, small)
		c.Check(small.violations(size.members, smallWithin, deltaBytes), qt.HasLen, 0)
		for _, member := range site.members {
			c.Assert(member.parses, qt.Equals, 2, qt.Commentf("%s", member.vm))
		}
	}
}

// TestRepeatedRequestsViolateTheBounds shows that the bounds reject the behaviour before this package: a request each 100 ms,
// answered in full.
func TestRepeatedRequestsViolateTheBounds(t *testing.T) {
	c := qt.New(t)
	for _, size := range siteSizes {
		site := newSite(size.members, size.domains, size.regions)
		site.repeated = true
		site.clock.Advance(time.Second)
		full := site.distribute(1, 5*time.Second)
		t.Logf("%d members, 5,000 routes: %+v", size.members, full)
		c.Check(full.violations(size.members, fullWithin, fullPackedBytes), qt.Contains, "time until in effect")
		c.Check(full.violations(size.members, fullWithin, fullPackedBytes), qt.Contains, "longest queue")
		c.Check(full.violations(size.members, fullWithin, fullPackedBytes), qt.Contains, "bytes of all members")
	}
}

// TestBusiestMemberSendsNoMoreInALargeFleet guards against a source whose bytes grow with the fleet.
func TestBusiestMemberSendsNoMoreInALargeFleet(t *testing.T) {
	c := qt.New(t)
	busiest := map[int]int{}
	for _, members := range []int{30, 300} {
		site := newSite(members, 6, 2)
		site.clock.Advance(time.Second)
		full, small := site.distribute(1, 5*time.Second), site.distribute(2, 5*time.Second)
		busiest[members] = full.busiest + small.busiest
	}
	t.Logf("busiest member: %v", busiest)
	c.Assert(busiest[300] <= 2*busiest[30], qt.IsTrue, qt.Commentf("%v", busiest))
}

// TestStormOfVersions publishes 25 versions in 1.5 s: a proxy parses few of them, none goes back, and all reach the last one.
func TestStormOfVersions(t *testing.T) {
	c := qt.New(t)
	for _, size := range siteSizes {
		site := newSite(size.members, size.domains, size.regions)
		site.clock.Advance(time.Second)
		site.distribute(1, 5*time.Second)
		site.packed = func(base, _ uint64) int { // the version before the storm is kept as a dictionary
			if base == 0 {
				return fullPackedBytes
			}
			return 25 * deltaBytes
		}
		before := map[spool.VM]int{}
		for _, member := range site.members {
			before[member.vm] = member.parses
		}
		for version := uint64(2); version <= 25; version++ {
			site.publishNewest(version)
			site.clock.Advance(1500 * time.Millisecond / 24)
		}
		last := site.distribute(26, 5*time.Second)
		t.Logf("%d members, last of 25 versions: %+v", size.members, last)
		c.Check(last.missing, qt.Equals, 0)
		c.Check(last.last < size.storm, qt.IsTrue, qt.Commentf("%v", last.last))
		for _, member := range site.members {
			c.Assert(member.wentBack, qt.IsFalse)
			c.Assert(member.parses-before[member.vm] <= 13, qt.IsTrue, qt.Commentf("%s parsed %d", member.vm, member.parses))
		}
	}
}

// publishNewest gives a version to the readers that parse none at present.
func (site *site) publishNewest(version uint64) {
	for _, member := range site.members {
		if member.reader && !member.busy {
			member.apply(version)
		}
	}
}

// TestChangeDuringLargeVersion guards against a small change, such as a withdrawn key, that waits for the whole distribution
// of a large version which began just before it.
func TestChangeDuringLargeVersion(t *testing.T) {
	c := qt.New(t)
	for _, size := range siteSizes {
		for _, delay := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond} {
			site := newSite(size.members, size.domains, size.regions)
			site.clock.Advance(time.Second)
			site.publish(1)
			site.clock.Advance(delay)
			change := site.distribute(2, 5*time.Second)
			t.Logf("%d members, %v after the large version: %+v", size.members, delay, change)
			c.Check(change.missing, qt.Equals, 0)
			c.Check(change.last < fullWithin, qt.IsTrue)
		}
	}
}

// TestFailedSources makes the second relay of each failure domain fail during a distribution: all other members still get the
// version within the bound.
func TestFailedSources(t *testing.T) {
	c := qt.New(t)
	failures := map[string]func(member *siteMember){
		"dead or frozen": func(member *siteMember) {
			if member.vm[len(member.vm)-1]%2 == 0 {
				member.dead = true
				return
			}
			member.frozenUntil = member.now().Add(frozenFor)
		},
		"false data": func(member *siteMember) { member.corrupt = true },
	}
	for name, fail := range failures {
		for _, size := range siteSizes {
			site := newSite(size.members, size.domains, size.regions)
			site.clock.Advance(time.Second)
			site.publish(1)
			site.clock.Advance(parseTime + 20*time.Millisecond)
			for i, member := range site.members {
				if i/size.domains == 1 {
					fail(member)
				}
			}
			last, missing := site.settle(1, 6*time.Second)
			t.Logf("%d members, %s sources: %v, %d missing", size.members, name, last, missing)
			c.Check(missing, qt.Equals, 0, qt.Commentf("%s", name))
			c.Check(last < 4*time.Second, qt.IsTrue, qt.Commentf("%s: %v", name, last))
		}
	}
}
