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
	beatJitter = 60 * time.Millisecond // of a round of heartbeats on a starved VM
	step       = 10 * time.Millisecond
)

// network plays the heartbeats of a fleet on virtual time.
type network struct {
	t       *testing.T
	now     spool.Instant
	random  *rand.Rand
	regions int
	rosters map[spool.VM]*Roster
	names   []spool.VM
	beats   map[spool.VM]uint64
	due     map[spool.VM]spool.Instant
	dead    map[spool.VM]bool
	cut     func(from, to spool.VM) bool
	flying  []packet
	sent    map[spool.VM]int // heartbeats that each VM sent
	entries int              // proxies named in digests
}

// packet is a heartbeat on its way.
type packet struct {
	from, to spool.VM
	arrives  spool.Instant
	sent     spool.Instant
	link     HeartbeatTarget
	relaying bool
	digest   *Digest
}

func domainOf(index, domains int) spool.Domain {
	return spool.Domain(fmt.Sprintf("d%d", index%domains))
}

// newNetwork returns a fleet in which all proxies know all from the registry and none has been heard.
func newNetwork(t *testing.T, size, domains, regions int) *network {
	network := &network{
		t: t, now: start, random: rand.New(rand.NewPCG(1, uint64(size))), regions: regions,
		rosters: map[spool.VM]*Roster{}, beats: map[spool.VM]uint64{}, due: map[spool.VM]spool.Instant{},
		dead: map[spool.VM]bool{}, cut: func(_, _ spool.VM) bool { return false }, sent: map[spool.VM]int{},
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
	network.names = append(network.names, self.VM)
	network.due[self.VM] = network.now.Add(time.Duration(network.random.Int64N(int64(RoundInterval))))
}

// region returns the region of a failure domain, which has one digit.
func (network *network) region(domain spool.Domain) int {
	return int(domain[len(domain)-1]-'0') % network.regions
}

// delay returns the time of a packet's way.
func (network *network) delay(from, to spool.VM) time.Duration {
	if network.region(network.rosters[from].self.Domain) != network.region(network.rosters[to].self.Domain) {
		return 20 * time.Millisecond
	}
	return time.Millisecond
}

func (network *network) send(packet packet) {
	network.sent[packet.from]++
	if network.dead[packet.to] || network.cut(packet.from, packet.to) {
		return
	}
	packet.sent = network.now
	packet.arrives = network.now.Add(network.delay(packet.from, packet.to))
	network.flying = append(network.flying, packet)
}

func (network *network) run(duration time.Duration) {
	for end := network.now.Add(duration); network.now < end; {
		network.now = network.now.Add(step)
		for _, vm := range network.names {
			if !network.dead[vm] && network.due[vm] <= network.now {
				network.beat(vm)
			}
		}
		arriving := network.flying
		network.flying = nil
		for _, packet := range arriving {
			if packet.arrives > network.now {
				network.flying = append(network.flying, packet)
			} else if !network.dead[packet.to] {
				network.arrive(packet)
			}
		}
	}
}

func (network *network) beat(vm spool.VM) {
	roster := network.rosters[vm]
	network.beats[vm]++
	network.due[vm] = network.due[vm].Add(RoundInterval + time.Duration(network.random.Int64N(int64(beatJitter))) - beatJitter/2)
	relaying := roster.IsFallbackRelay(network.now)
	for _, link := range roster.HeartbeatTargets(network.beats[vm], false, network.now) {
		network.send(packet{from: vm, to: link.VM, link: link, relaying: relaying})
	}
}

// arrive handles a heartbeat as the fleet's proxies do, dated a way earlier than it was sent.
func (network *network) arrive(arrived packet) {
	roster := network.rosters[arrived.to]
	sent := arrived.sent.Add(-network.delay(arrived.from, arrived.to))
	roster.RecordHeartbeat(arrived.from, sent, false, true)
	if arrived.digest != nil {
		roster.Apply(arrived.from, *arrived.digest, sent, network.now)
	}
	if arrived.link.Scope == ScopeNone {
		return
	}
	roster.RecordDigestRequest(arrived.from, network.now)
	digest := roster.Digest(arrived.from, arrived.link.Scope, arrived.link.Hash, network.now)
	network.entries += len(digest.Entries)
	answer := packet{from: arrived.to, to: arrived.from, digest: &digest}
	if arrived.relaying && arrived.digest == nil {
		answer.link = HeartbeatTarget{Scope: ScopeDomain}
	}
	network.send(answer)
}

// believed returns how many pairs of VMs, of those that live and are of the kind, hold the other one for live.
func (network *network) believed(kind func(from, to spool.VM) bool) (believed, pairs int) {
	for _, self := range network.names {
		if network.dead[self] {
			continue
		}
		for _, member := range network.rosters[self].members {
			if network.dead[member.VM] || !kind(self, member.VM) {
				continue
			}
			pairs++
			if network.rosters[self].live(member, network.now) {
				believed++
			}
		}
	}
	return believed, pairs
}

func (network *network) assertAllLive() {
	network.t.Helper()
	believed, pairs := network.believed(func(_, _ spool.VM) bool { return true })
	qt.Assert(network.t, believed, qt.Equals, pairs)
}

// assertAllLiveFor checks after each round of heartbeats.
func (network *network) assertAllLiveFor(duration time.Duration) {
	network.t.Helper()
	for range duration / RoundInterval {
		network.run(RoundInterval)
		network.assertAllLive()
	}
}

// knowing returns how many VMs hold a dead one for live.
func (network *network) knowing(dead spool.VM, near bool) int {
	count := 0
	for _, self := range network.names {
		member := network.rosters[self].Get(dead)
		if network.dead[self] || member == nil || network.rosters[self].SameRegion(member) != near {
			continue
		}
		if network.rosters[self].live(member, network.now) {
			count++
		}
	}
	return count
}

// relaysOf returns the proxies that a VM takes as relays.
func (network *network) relaysOf(vm spool.VM) []spool.VM {
	var relays []spool.VM
	for _, member := range network.rosters[vm].best(relaysPerDomain, network.now, func(*Member) bool { return true }) {
		relays = append(relays, member.VM)
	}
	return relays
}

// TestFleetHearsAllThroughRelays plays 195 proxies from a start at which nobody was heard: all are live for all, with few
// heartbeats from each.
func TestFleetHearsAllThroughRelays(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 195, 6, 3)
	network.run(network.rosters["vm0000"].SettleTime() + farLiveFor - relayedLiveFor)
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
	c.Assert(total < 195*seconds*12, qt.IsTrue) // 388 by a mesh: 65 near twice and 130 far each two seconds, both ways
	c.Assert(most < seconds*200, qt.IsTrue)
}

// TestLossOfOneProxyIsKnownInTime kills proxies, relays among them: their region knows within two seconds, others within
// six, no relay keeps them alive, and nobody else is given up.
func TestLossOfOneProxyIsKnownInTime(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	for _, victim := range []spool.VM{"vm0007", network.relaysOf("vm0001")[0], network.relaysOf("vm0002")[1]} {
		network.dead[victim] = true
		killed := network.now
		network.assertAllLiveFor(relayedLiveFor)
		c.Assert(network.knowing(victim, true), qt.Equals, 0)
		network.assertAllLiveFor(farLiveFor - network.now.Sub(killed))
		c.Assert(network.knowing(victim, false), qt.Equals, 0)
		network.assertAllLiveFor(2 * time.Second)
	}
}

// TestBothRelaysOfADomainAreReplaced kills both at once: their domain's proxies find others soon.
func TestBothRelaysOfADomainAreReplaced(t *testing.T) {
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	for _, relay := range network.relaysOf("vm0001") {
		network.dead[relay] = true
	}
	network.run(relayTrial + relayedLiveFor + time.Second)
	network.assertAllLive()
	network.assertAllLiveFor(3 * time.Second)
}

// TestRegionsLoseAndFindEachOther cuts one region off for a while: both sides know their own proxies all the time.
func TestRegionsLoseAndFindEachOther(t *testing.T) {
	c := qt.New(t)
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	side := func(vm spool.VM) bool { return network.region(network.rosters[vm].self.Domain) == 0 }
	network.cut = func(from, to spool.VM) bool { return side(from) != side(to) }
	for range 10 * time.Second / RoundInterval {
		network.run(RoundInterval)
		believed, pairs := network.believed(func(from, to spool.VM) bool { return side(from) == side(to) })
		c.Assert(believed, qt.Equals, pairs)
	}
	believed, _ := network.believed(func(from, to spool.VM) bool { return side(from) != side(to) })
	c.Assert(believed, qt.Equals, 0)
	network.cut = func(_, _ spool.VM) bool { return false }
	network.run(relayRest + relayTrial + farLiveFor)
	network.assertAllLive()
}

// TestRelayOutOfReachOfSomeIsReplacedForThem cuts some proxies off both relays of their failure domain, which others reach:
// the proxies that they ask instead pass them on.
func TestRelayOutOfReachOfSomeIsReplacedForThem(t *testing.T) {
	network := newNetwork(t, 195, 6, 3)
	network.run(8 * time.Second)
	relays := network.relaysOf("vm0001")
	lone := []spool.VM{"vm0001", "vm0007", "vm0013"}
	lone = slices.DeleteFunc(lone, func(vm spool.VM) bool { return slices.Contains(relays, vm) })
	network.cut = func(from, to spool.VM) bool {
		return slices.Contains(lone, from) && slices.Contains(relays, to) ||
			slices.Contains(lone, to) && slices.Contains(relays, from)
	}
	network.run(relayTrial + relayedLiveFor + time.Second)
	network.assertAllLive()
	network.assertAllLiveFor(relayRest - time.Second)
}

// TestNewcomerIsNamedByDigests adds a proxy that its relays alone know: digests name it to all.
func TestNewcomerIsNamedByDigests(t *testing.T) {
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
	asker, relay := network.rosters["vm0000"], network.rosters[relays[0]]
	asker.Get(relays[0]).LastHeard = network.now
	digest := relay.Digest("vm0000", ScopeFleet, 0, network.now)
	unknown := asker.Apply(relays[0], digest, network.now, network.now)
	c.Assert(unknown, qt.HasLen, 1)
	c.Assert(relay.MembersByID(unknown), qt.DeepEquals, []spool.Member{added})
}

// TestDigestsNeverMakeAHeartbeatYounger passes a heartbeat on from hand to hand.
func TestDigestsNeverMakeAHeartbeatYounger(t *testing.T) {
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
