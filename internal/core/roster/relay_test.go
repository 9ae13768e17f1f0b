package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const (
	roundJitter = 60 * time.Millisecond // of a heartbeat round on a VM that is short of CPU
	step        = 10 * time.Millisecond
)

// network simulates the heartbeats of a fleet on virtual time.
type network struct {
	t        *testing.T
	now      spool.Instant
	random   *rand.Rand
	regions  int
	rosters  map[spool.VM]*Roster
	vms      []spool.VM
	rounds   map[spool.VM]uint64
	due      map[spool.VM]spool.Instant
	dead     map[spool.VM]bool
	blocked  func(from, to spool.VM) bool
	inFlight []packet
	sent     map[spool.VM]int // heartbeats that each VM sent
	entries  int              // proxies named in digests
}

// packet is a heartbeat in flight.
type packet struct {
	from, to spool.VM
	arrives  spool.Instant
	sent     spool.Instant
	target   HeartbeatTarget
	relaying bool
	digest   *Digest
}

func domainOf(index, domains int) spool.Domain {
	return spool.Domain(fmt.Sprintf("d%d", index%domains))
}

// newNetwork returns a fleet in which all proxies are registered with each other and no heartbeat has been sent.
func newNetwork(t *testing.T, size, domains, regions int) *network {
	network := &network{
		t: t, now: start, random: rand.New(rand.NewPCG(1, uint64(size))), regions: regions,
		rosters: map[spool.VM]*Roster{}, rounds: map[spool.VM]uint64{}, due: map[spool.VM]spool.Instant{},
		dead: map[spool.VM]bool{}, blocked: func(_, _ spool.VM) bool { return false }, sent: map[spool.VM]int{},
	}
	members := make([]spool.Member, 0, size)
	for i := range size {
		members = append(members, spool.Member{VM: spool.VM(fmt.Sprintf("vm%04d", i)), Domain: domainOf(i, domains)})
	}
	for _, self := range members {
		network.join(self, members)
	}
	return network
}

func (network *network) join(self spool.Member, known []spool.Member) {
	own := network.region(self.Domain)
	roster := New(self, func(domain spool.Domain) bool { return network.region(domain) == own })
	roster.SetSelfState(false, true)
	for _, member := range known {
		roster.Add(member, network.now)
	}
	network.rosters[self.VM] = roster
	network.vms = append(network.vms, self.VM)
	network.due[self.VM] = network.now.Add(time.Duration(network.random.Int64N(int64(RoundInterval))))
}

// region returns the region of a failure domain, whose name ends in a digit.
func (network *network) region(domain spool.Domain) int {
	return int(domain[len(domain)-1]-'0') % network.regions
}

// delay returns the one-way latency between two VMs.
func (network *network) delay(from, to spool.VM) time.Duration {
	if network.region(network.rosters[from].self.Domain) != network.region(network.rosters[to].self.Domain) {
		return 20 * time.Millisecond
	}
	return time.Millisecond
}

func (network *network) send(packet packet) {
	network.sent[packet.from]++
	if network.dead[packet.to] || network.blocked(packet.from, packet.to) {
		return
	}
	packet.sent = network.now
	packet.arrives = network.now.Add(network.delay(packet.from, packet.to))
	network.inFlight = append(network.inFlight, packet)
}

func (network *network) run(duration time.Duration) {
	for end := network.now.Add(duration); network.now < end; {
		network.now = network.now.Add(step)
		for _, vm := range network.vms {
			if !network.dead[vm] && network.due[vm] <= network.now {
				network.sendRound(vm)
			}
		}
		arriving := network.inFlight
		network.inFlight = nil
		for _, packet := range arriving {
			if packet.arrives > network.now {
				network.inFlight = append(network.inFlight, packet)
			} else if !network.dead[packet.to] {
				network.deliver(packet)
			}
		}
	}
}

func (network *network) sendRound(vm spool.VM) {
	roster := network.rosters[vm]
	network.rounds[vm]++
	network.due[vm] = network.due[vm].Add(RoundInterval + time.Duration(network.random.Int64N(int64(roundJitter))) - roundJitter/2)
	relaying := roster.IsFallbackRelay(network.now)
	for _, target := range roster.HeartbeatTargets(network.rounds[vm], false, network.now) {
		network.send(packet{from: vm, to: target.VM, target: target, relaying: relaying})
	}
}

// deliver handles a heartbeat as the proxies of a fleet do; its time of sending is underestimated by the one-way latency.
func (network *network) deliver(arrived packet) {
	roster := network.rosters[arrived.to]
	sent := arrived.sent.Add(-network.delay(arrived.from, arrived.to))
	roster.RecordHeartbeat(arrived.from, sent, false, true)
	if arrived.digest != nil {
		roster.Apply(arrived.from, *arrived.digest, sent, network.now)
	}
	if arrived.target.Scope == ScopeNone {
		return
	}
	roster.RecordDigestRequest(arrived.from, network.now)
	digest := roster.Digest(arrived.from, arrived.target.Scope, arrived.target.Hash, network.now)
	network.entries += len(digest.Entries)
	answer := packet{from: arrived.to, to: arrived.from, digest: &digest}
	if arrived.relaying && arrived.digest == nil {
		answer.target = HeartbeatTarget{Scope: ScopeDomain}
	}
	network.send(answer)
}

// livePairs counts the matching pairs of running VMs, and those of them in which the first VM considers the second one live.
func (network *network) livePairs(match func(from, to spool.VM) bool) (live, pairs int) {
	for _, self := range network.vms {
		if network.dead[self] {
			continue
		}
		for _, member := range network.rosters[self].members {
			if network.dead[member.VM] || !match(self, member.VM) {
				continue
			}
			pairs++
			if network.rosters[self].live(member, network.now) {
				live++
			}
		}
	}
	return live, pairs
}

func (network *network) assertAllLive() {
	network.t.Helper()
	live, pairs := network.livePairs(func(_, _ spool.VM) bool { return true })
	qt.Assert(network.t, live, qt.Equals, pairs)
}

// assertAllLiveFor asserts after each round of heartbeats that all running VMs consider each other live.
func (network *network) assertAllLiveFor(duration time.Duration) {
	network.t.Helper()
	for range duration / RoundInterval {
		network.run(RoundInterval)
		network.assertAllLive()
	}
}

// countLiveViews returns how many VMs, inside or outside its region, consider a dead VM live.
func (network *network) countLiveViews(dead spool.VM, sameRegion bool) int {
	count := 0
	for _, self := range network.vms {
		member := network.rosters[self].Get(dead)
		if network.dead[self] || member == nil || network.rosters[self].SameRegion(member) != sameRegion {
			continue
		}
		if network.rosters[self].live(member, network.now) {
			count++
		}
	}
	return count
}

// relaysOf returns the proxies that a VM uses as relays.
func (network *network) relaysOf(vm spool.VM) []spool.VM {
	var relays []spool.VM
	for _, member := range network.rosters[vm].topRelays(relaysPerDomain, network.now, func(*Member) bool { return true }) {
		relays = append(relays, member.VM)
	}
	return relays
}

// TestRelaysKeepAllMembersLive starts 195 proxies without any heartbeat: all must become and stay live for each other, with
// a bounded number of heartbeats from each.
func TestRelaysKeepAllMembersLive(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 195, 6, 3)
	network.run(network.rosters["vm0000"].SettleTime() + remoteTimeout - relayedTimeout)
	network.assertAllLive()
	clear(network.sent)
	network.entries = 0
	const seconds = 10
	network.assertAllLiveFor(seconds * time.Second)
	total, most := 0, 0
	for _, sent := range network.sent {
		total += sent
		most = max(most, sent)
	}
	t.Logf("heartbeats a second: %.1f a VM, %.1f the busiest; %.1f proxies named a VM and second",
		float64(total)/195/seconds, float64(most)/seconds, float64(network.entries)/195/seconds)
	c.Assert(total < 195*seconds*12, qt.IsTrue) // a full mesh needs 388: 65 in the region twice a second and 130 outside every two seconds, in both directions
	c.Assert(most < seconds*200, qt.IsTrue)
}

// TestFailureDetectedWithinTimeout stops proxies, including relays: their region must detect the failure within two seconds and
// other regions within six. Digests must not keep them live, and no running proxy may be considered dead.
func TestFailureDetectedWithinTimeout(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	for _, victim := range []spool.VM{"vm0007", network.relaysOf("vm0001")[0], network.relaysOf("vm0002")[1]} {
		network.dead[victim] = true
		killed := network.now
		network.assertAllLiveFor(relayedTimeout)
		c.Assert(network.countLiveViews(victim, true), qt.Equals, 0)
		network.assertAllLiveFor(remoteTimeout - network.now.Sub(killed))
		c.Assert(network.countLiveViews(victim, false), qt.Equals, 0)
		network.assertAllLiveFor(2 * time.Second)
	}
}

// TestBothDomainRelaysReplacedAfterFailure stops both relays of a failure domain at once: its proxies must switch to others.
func TestBothDomainRelaysReplacedAfterFailure(t *testing.T) {
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	for _, relay := range network.relaysOf("vm0001") {
		network.dead[relay] = true
	}
	network.run(relayAnswerTimeout + relayedTimeout + time.Second)
	network.assertAllLive()
	network.assertAllLiveFor(3 * time.Second)
}

// TestRegionPartitionHeals partitions one region from the others for 10 s: proxies on the same side must stay live for each
// other, those on the other side must not, and all must be live again after the partition.
func TestRegionPartitionHeals(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	inside := func(vm spool.VM) bool { return network.region(network.rosters[vm].self.Domain) == 0 }
	network.blocked = func(from, to spool.VM) bool { return inside(from) != inside(to) }
	for range 10 * time.Second / RoundInterval {
		network.run(RoundInterval)
		live, pairs := network.livePairs(func(from, to spool.VM) bool { return inside(from) == inside(to) })
		c.Assert(live, qt.Equals, pairs)
	}
	live, _ := network.livePairs(func(from, to spool.VM) bool { return inside(from) != inside(to) })
	c.Assert(live, qt.Equals, 0)
	network.blocked = func(_, _ spool.VM) bool { return false }
	network.run(relayRetryInterval + relayAnswerTimeout + remoteTimeout)
	network.assertAllLive()
}

// TestUnreachableRelaysReplacedByFallback partitions some proxies from both relays of their failure domain, which all others
// still reach: the proxies that they choose instead must forward their heartbeats.
func TestUnreachableRelaysReplacedByFallback(t *testing.T) {
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	relays := network.relaysOf("vm0001")
	isolated := []spool.VM{"vm0001", "vm0007", "vm0013"}
	isolated = slices.DeleteFunc(isolated, func(vm spool.VM) bool { return slices.Contains(relays, vm) })
	network.blocked = func(from, to spool.VM) bool {
		return slices.Contains(isolated, from) && slices.Contains(relays, to) ||
			slices.Contains(isolated, to) && slices.Contains(relays, from)
	}
	network.run(relayAnswerTimeout + relayedTimeout + time.Second)
	network.assertAllLive()
	network.assertAllLiveFor(relayRetryInterval - time.Second)
}

// TestDigestsAnnounceNewMember adds a proxy that only its relays know: a digest must list it as unknown to the requester.
func TestDigestsAnnounceNewMember(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 40, 4, 2)
	network.run(8 * time.Second)
	added := spool.Member{VM: "vm-new", Domain: "d1"}
	var known []spool.Member
	for _, member := range network.rosters["vm0000"].Others() {
		known = append(known, member.Member)
	}
	network.join(added, append(known, spool.Member{VM: "vm0000", Domain: "d0"}))
	relays := slices.DeleteFunc(network.relaysOf("vm-new"), func(vm spool.VM) bool { return vm == "vm-new" || vm == "vm0000" })
	for _, relay := range relays {
		network.rosters[relay].Add(added, network.now)
	}
	network.run(time.Second)
	requester, relay := network.rosters["vm0000"], network.rosters[relays[0]]
	requester.Get(relays[0]).LastHeard = network.now
	digest := relay.Digest("vm0000", ScopeFleet, 0, network.now)
	unknown := requester.Apply(relays[0], digest, network.now, network.now)
	c.Assert(unknown, qt.HasLen, 1)
	c.Assert(relay.MembersByID(unknown), qt.DeepEquals, []spool.Member{added})
}

// TestDigestsPreserveHeartbeatAge exchanges digests between two proxies: a heartbeat that each learns from the other must not
// become more recent, otherwise a dead proxy would stay live.
func TestDigestsPreserveHeartbeatAge(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 40, 1, 1)
	first, second := network.rosters["vm0001"], network.rosters["vm0002"]
	heard := network.now
	first.RecordHeartbeat("vm0003", heard, false, true)
	second.RecordHeartbeat("vm0001", heard, false, true)
	for range 30 {
		network.now = network.now.Add(100 * time.Millisecond)
		second.RecordHeartbeat("vm0001", network.now, false, true)
		second.Apply("vm0001", first.Digest("vm0002", ScopeRegion, second.LiveHash(ScopeRegion, second.Get("vm0001"), network.now), network.now), network.now, network.now)
		first.RecordHeartbeat("vm0002", network.now, false, true)
		first.Apply("vm0002", second.Digest("vm0001", ScopeRegion, first.LiveHash(ScopeRegion, first.Get("vm0002"), network.now), network.now), network.now, network.now)
		c.Assert(second.Get("vm0003").LastHeard <= heard, qt.IsTrue)
		c.Assert(first.Get("vm0003").LastHeard <= heard, qt.IsTrue)
	}
	c.Assert(second.live(second.Get("vm0003"), network.now), qt.IsFalse)
}
