package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

const (
	linkBandwidth   = 1.25e6 // bytes a second: 10 Mbit/s
	fullBytes       = 915_000
	fullPackedBytes = 133_000 // of 5,000 routes, as TestPackedSizes in internal/bulk measures
	deltaBytes      = 600     // of a change of one route
	pieceBytes      = 16 << 10
	controlBytes    = 90
	parseTime       = 160 * time.Millisecond // of 5,000 routes on a VM of 0.134 core
	meshLimit       = 32
	heartbeatPeriod = 500 * time.Millisecond
	requestPeriod   = 100 * time.Millisecond // between requests of proxies before this package
	frozenFor       = time.Hour
)

// site simulates the proxies of a fleet and their links on virtual time. Versions reach one reader in each region; proxies
// announce a version that is in effect as in a fleet with relays, or to all in a small fleet.
type site struct {
	clock    clock.Simulated
	random   *rand.Rand
	members  []*siteMember
	byVM     map[spool.VM]*siteMember
	packed   func(base, version uint64) int
	repeated bool // fetch as before this package: a request for the whole body each requestPeriod, answered in full
}

// siteMember is one proxy of a site.
type siteMember struct {
	*site
	vm          spool.VM
	domain      spool.Domain
	region      string
	relay       bool
	reader      bool
	fetcher     *Fetcher
	server      *Server
	has         uint64 // verified
	effect      uint64
	effectAt    map[uint64]spool.Instant
	busy        bool // parses
	dead        bool
	frozenUntil spool.Instant
	corrupt     bool // sends false data
	upFree      spool.Instant
	downFree    spool.Instant
	sent        int
	left        [OtherRegion + 1]int // bytes sent, by distance
	longest     time.Duration        // queue of the uplink
	requested   spool.Instant
	transfers   int // started, identifies the one in progress
	parses      int
	wentBack    bool
	notified    []*siteMember // learn at once of a version in effect here
	heard       []*siteMember // get periodic heartbeats
}

func newSite(size, domains, regions int) *site {
	site := &site{random: rand.New(rand.NewPCG(7, uint64(size))), byVM: map[spool.VM]*siteMember{}}
	site.packed = func(base, version uint64) int {
		if base > 0 && base+1 == version {
			return deltaBytes
		}
		return fullPackedBytes
	}
	domains = min(domains, size)
	for i := range size {
		member := &siteMember{
			site: site, vm: spool.VM(fmt.Sprintf("vm%04d", i)), domain: spool.Domain(fmt.Sprintf("d%d", i%domains)),
			region: fmt.Sprintf("r%d", i%domains%regions), relay: i/domains < 2, reader: i < regions,
			fetcher: NewFetcher(site.random.Int64N), server: NewServer(linkBandwidth, site.random.Int64N),
			effectAt: map[uint64]spool.Instant{},
		}
		site.members = append(site.members, member)
		site.byVM[member.vm] = member
	}
	for _, member := range site.members {
		member.connect()
		site.after(time.Duration(site.random.Int64N(int64(heartbeatPeriod))), member.heartbeat)
	}
	return site
}

func (site *site) after(delay time.Duration, call func()) {
	site.clock.After(delay, spool.TimerFunc(func(spool.Instant) { call() }))
}

func (member *siteMember) now() spool.Instant { return member.clock.Now() }

func (member *siteMember) frozen() bool { return member.dead || member.now() < member.frozenUntil }

func distance(from, to *siteMember) Distance {
	switch {
	case from.domain == to.domain:
		return SameDomain
	case from.region == to.region:
		return SameRegion
	}
	return OtherRegion
}

// send transmits bytes and calls delivered when they arrive; it returns when they have left the sender.
func (member *siteMember) send(to *siteMember, bytes int, delivered func()) (left time.Duration) {
	now := member.now()
	took := spool.Instant(float64(bytes) / linkBandwidth * float64(time.Second))
	latency := []time.Duration{time.Millisecond / 2, 2 * time.Millisecond, 20 * time.Millisecond}[distance(member, to)]
	member.upFree = max(member.upFree, now) + took
	member.sent += bytes
	member.left[distance(member, to)] += bytes
	member.longest = max(member.longest, member.upFree.Sub(now))
	to.downFree = max(to.downFree+took, member.upFree.Add(latency))
	member.after(to.downFree.Sub(now), func() {
		if !to.frozen() && !member.dead {
			delivered()
		}
	})
	return member.upFree.Sub(now)
}

// connect sets who hears a member: in a small fleet all others, in a large one the relays and who uses them.
func (member *siteMember) connect() {
	mesh := len(member.members) <= meshLimit
	for _, other := range member.members {
		local := other.domain == member.domain && (other.relay || member.relay)
		if other == member || !mesh && !local && !(member.relay && other.relay) {
			continue
		}
		member.heard = append(member.heard, other)
		if distance(member, other) != OtherRegion && (!mesh || member.reader) {
			member.notified = append(member.notified, other)
		}
	}
}

func (member *siteMember) announce(to *siteMember) {
	version := member.effect
	member.send(to, controlBytes, func() {
		to.fetcher.Announce(member.vm, distance(to, member), version, to.now())
		to.pump()
		if to.repeated && version > to.effect {
			to.requestWhole(member)
		}
	})
}

// heartbeat announces the version in effect to those that hear this member periodically.
func (member *siteMember) heartbeat() {
	member.after(heartbeatPeriod, member.heartbeat)
	if member.frozen() {
		return
	}
	for _, other := range member.heard {
		member.announce(other)
	}
}

// pump starts the fetch that is due.
func (member *siteMember) pump() {
	if member.busy || member.repeated || member.frozen() {
		return
	}
	fetch, due, at := member.fetcher.Next(member.now())
	if !due {
		if at > 0 {
			member.after(at.Sub(member.now())+1, member.pump)
		}
		return
	}
	member.transfers++
	number, held, source := member.transfers, member.effect, member.byVM[fetch.Source]
	member.watchStall(number)
	member.send(source, controlBytes, func() { source.serve(member, number, held) })
}

func (member *siteMember) watchStall(number int) {
	if number != member.transfers || !member.fetcher.InProgress() {
		return
	}
	if remaining := member.fetcher.Deadline().Sub(member.now()); remaining > 0 {
		member.after(remaining, func() { member.watchStall(number) })
		return
	}
	member.finish(Stalled)
}

func (member *siteMember) finish(outcome Outcome) {
	member.transfers++
	member.fetcher.Finish(outcome, member.now())
	member.pump()
}

// serve answers a request.
func (member *siteMember) serve(to *siteMember, number int, held uint64) {
	if member.has <= held {
		member.send(to, controlBytes, func() {
			if to.transfers == number {
				to.finish(Nothing)
			}
		})
		return
	}
	total := member.packed(held, member.has)
	decision := member.server.Admit(Requester{to.vm, to.domain}, total)
	if !decision.Granted {
		member.send(to, controlBytes, func() { to.redirected(number, decision) })
		return
	}
	version := member.has
	member.sendPiece(to, number, decision.ID, version, 0, total)
}

func (member *siteMember) redirected(number int, decision Decision) {
	if member.transfers != number {
		return
	}
	var named []Source
	for _, vm := range decision.Sources {
		named = append(named, Source{vm, distance(member, member.byVM[vm])})
	}
	member.transfers++
	member.fetcher.Redirect(named, decision.Retry, member.now())
	member.pump()
}

func (member *siteMember) sendPiece(to *siteMember, number int, id, version uint64, sent, total int) {
	if member.frozen() || to.transfers != number {
		member.server.Finish(id, false)
		return
	}
	piece := min(pieceBytes, total-sent)
	sent += piece
	left := member.send(to, piece, func() { to.receive(member, number, version, sent, total) })
	if sent < total {
		member.after(left, func() { member.sendPiece(to, number, id, version, sent, total) })
		return
	}
	member.after(left, func() { member.server.Finish(id, to.transfers == number) })
}

func (member *siteMember) receive(from *siteMember, number int, version uint64, received, total int) {
	if member.transfers != number {
		return
	}
	if received <= pieceBytes && !member.fetcher.Accept(version, total, member.now()) {
		member.finish(Nothing)
		return
	}
	if member.fetcher.Progress(received, member.now()) {
		member.finish(Superseded)
		return
	}
	if received < total {
		return
	}
	if from.corrupt {
		member.finish(Corrupted)
		return
	}
	member.transfers++
	member.fetcher.Finish(Completed, member.now())
	member.apply(version)
}

// apply verifies and parses a version, and announces it once it is in effect.
func (member *siteMember) apply(version uint64) {
	member.has = max(member.has, version)
	member.server.Publish(version)
	member.busy = true
	member.parses++
	member.after(parseTime, func() {
		member.busy = false
		member.wentBack = member.wentBack || version < member.effect
		if version > member.effect {
			member.effect = version
			member.effectAt[version] = member.now()
			member.fetcher.Hold(version, member.now())
			for _, target := range member.notified {
				member.announce(target)
			}
		}
		member.pump()
	})
}

// requestWhole requests the whole body on the control connection as before this package.
func (member *siteMember) requestWhole(from *siteMember) {
	if member.requested != 0 && member.now().Sub(member.requested) < requestPeriod {
		return
	}
	member.requested = member.now()
	member.send(from, controlBytes, func() {
		version := from.effect
		from.send(member, fullBytes, func() {
			if version > member.effect && !member.busy {
				member.apply(version)
			}
		})
	})
}

// publish gives a version to the readers.
func (site *site) publish(version uint64) {
	for _, member := range site.members {
		if member.reader && !member.frozen() {
			member.apply(version)
		}
	}
}

// settle lets a version spread until all live members have it in effect. It returns when the last one had, and how many lack
// it after the given time.
func (site *site) settle(version uint64, within time.Duration) (last time.Duration, missing int) {
	const step = 100 * time.Millisecond
	began := site.clock.Now()
	lacking := func(member *siteMember) bool { return !member.frozen() && member.effect < version }
	for site.clock.Now().Sub(began) < within && slices.ContainsFunc(site.members, lacking) {
		site.clock.Advance(step)
	}
	for _, member := range site.members {
		if member.frozen() {
			continue
		}
		if member.effect < version {
			missing++
			continue
		}
		first := spool.Instant(0)
		for reached, at := range member.effectAt {
			if reached >= version && (first == 0 || at < first) {
				first = at
			}
		}
		last = max(last, first.Sub(began))
	}
	return last, missing
}

// traffic is the bytes that members sent.
type traffic struct {
	busiest, total int
	domain         int // out of the failure domain that sent most to others
	regions        int // between regions
}

// sentBytes returns the traffic since the last call.
func (site *site) sentBytes() (sent traffic) {
	domains := map[spool.Domain]int{}
	for _, member := range site.members {
		sent.busiest, sent.total = max(sent.busiest, member.sent), sent.total+member.sent
		domains[member.domain] += member.left[SameRegion] + member.left[OtherRegion]
		sent.domain = max(sent.domain, domains[member.domain])
		sent.regions += member.left[OtherRegion]
		member.sent, member.left = 0, [OtherRegion + 1]int{}
	}
	return sent
}

func (site *site) longestQueue() (longest time.Duration) {
	for _, member := range site.members {
		longest = max(longest, member.longest)
		member.longest = 0
	}
	return longest
}
