package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tickInterval   = 5 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
	testRole       = Role("Group/books")
)

// proxy is one VM with its own clock.
type proxy struct {
	spool.Member
	witness       *Witness
	holder        *Holder
	quorumChanger *QuorumChanger
	drift         float64
	clockOffset   spool.Instant
	paused        bool
	deferred      []func() // deliveries during a pause, run on resume
}

// simulation delivers messages between proxies and a platform in virtual time.
type simulation struct {
	clock        clock.Simulated
	random       *rand.Rand
	proxies      []*proxy
	options      []Option
	quorum       Quorum // stored on the platform
	platformDown bool
	loss         int // share of messages lost, in per cent
	delay        time.Duration
	partitioned  map[spool.VM]bool // the VMs on the far side of a partition, which the platform is not on
	violation    string
	leasesGained int
	quorumWrites int // successful writes of a quorum
}

func newSimulation(seed uint64, count int, options ...Option) *simulation {
	simulation := &simulation{
		random:      rand.New(rand.NewPCG(seed, 1)),
		options:     append([]Option{func(config *Config) { config.ReplaceAfter = 2 * time.Second }}, options...),
		delay:       5 * time.Millisecond,
		partitioned: map[spool.VM]bool{},
	}
	for i := range count {
		member := spool.Member{VM: spool.VM(fmt.Sprintf("vm%d", i)), Domain: spool.Domain(fmt.Sprintf("d%d", i%3))}
		proxy := &proxy{Member: member}
		simulation.proxies = append(simulation.proxies, proxy)
		simulation.restart(proxy)
		simulation.clock.Every(tickInterval, simulation.unlessPaused(proxy, simulation.tick))
		simulation.clock.Every(gossipInterval, simulation.unlessPaused(proxy, simulation.gossip))
	}
	return simulation
}

func (simulation *simulation) unlessPaused(proxy *proxy, do func(*proxy)) spool.TimerFunc {
	return func(spool.Instant) {
		if !proxy.paused {
			do(proxy)
		}
		simulation.checkHolders()
	}
}

// localTime returns the time on the proxy's own clock.
func (simulation *simulation) localTime(proxy *proxy) spool.Instant {
	return proxy.clockOffset + spool.Instant(float64(simulation.clock.Now())*(1+proxy.drift))
}

func (simulation *simulation) restart(proxy *proxy) {
	proxy.clockOffset = spool.Instant(simulation.random.Int64N(int64(time.Hour)))
	proxy.drift = (simulation.random.Float64() - 0.5) * 0.008
	now := simulation.localTime(proxy)
	proxy.Incarnation = simulation.random.Uint64()
	proxy.witness = NewWitness(proxy.VM, now, simulation.options...)
	proxy.holder = NewHolder(testRole, proxy.Incarnation, simulation.options...)
	proxy.quorumChanger = NewQuorumChanger(simulation.options...)
	proxy.paused = false
	proxy.deferred = nil
	proxy.holder.Campaign(slices.Index(simulation.proxies, proxy), now)
}

// deliver runs do on the proxy after a random delay unless the message is lost; one in eight messages arrives twice.
func (simulation *simulation) deliver(from spool.VM, to *proxy, do func()) {
	for range 1 + simulation.random.IntN(8)/7 {
		if simulation.random.IntN(100) < simulation.loss || simulation.partitioned[from] != simulation.partitioned[to.VM] {
			continue
		}
		delay := time.Duration(simulation.random.Int64N(int64(simulation.delay)))
		simulation.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
			if to.paused {
				to.deferred = append(to.deferred, do)
				return
			}
			do()
			simulation.checkHolders()
		}))
	}
}

func (simulation *simulation) checkHolders() {
	var holders []spool.VM
	for _, proxy := range simulation.proxies {
		if proxy.holder.Held(simulation.localTime(proxy)) {
			holders = append(holders, proxy.VM)
		}
	}
	if len(holders) > 1 && simulation.violation == "" {
		simulation.violation = fmt.Sprintf("%v hold the lease at %v", holders, time.Duration(simulation.clock.Now()))
	}
}

func (simulation *simulation) tick(proxy *proxy) {
	now := simulation.localTime(proxy)
	for _, out := range proxy.holder.DueRequests(now) {
		simulation.send(proxy, out)
	}
	for change := proxy.holder.NextChange(now); change != Unchanged; change = proxy.holder.NextChange(now) {
		if change == Gained {
			simulation.leasesGained++
		}
	}
	simulation.runActions(proxy, proxy.quorumChanger.Tick(now))
}

func (simulation *simulation) send(from *proxy, out OutgoingRequest) {
	to := simulation.find(out.To)
	simulation.deliver(from.VM, to, func() {
		answer := to.witness.Vote(from.VM, out.Request, simulation.localTime(to))
		simulation.deliver(to.VM, from, func() { from.holder.Receive(to.VM, answer, simulation.localTime(from)) })
	})
}

func (simulation *simulation) find(vm spool.VM) *proxy {
	return simulation.proxies[slices.IndexFunc(simulation.proxies, func(proxy *proxy) bool { return proxy.VM == vm })]
}

// gossip sends the witness's quorum version to all proxies, updates the proxy's live members and reads the platform.
func (simulation *simulation) gossip(proxy *proxy) {
	var members []spool.Member
	for _, other := range simulation.proxies {
		if !other.paused && simulation.partitioned[other.VM] == simulation.partitioned[proxy.VM] {
			members = append(members, other.Member)
		}
		seen := proxy.witness.QuorumVersion()
		simulation.deliver(proxy.VM, other, func() {
			simulation.runActions(other, other.quorumChanger.ObserveWitness(proxy.VM, seen, simulation.localTime(other)))
		})
	}
	proxy.quorumChanger.SetMembers(members, simulation.localTime(proxy))
	simulation.readQuorum(proxy)
}

// readQuorum reads the quorum from the platform; an answer to an earlier incarnation of the proxy is dropped.
func (simulation *simulation) readQuorum(proxy *proxy) {
	incarnation := proxy.Incarnation
	simulation.deliver(proxy.VM, proxy, func() {
		if simulation.platformDown || simulation.partitioned[proxy.VM] {
			return
		}
		quorum := simulation.quorum
		simulation.deliver(proxy.VM, proxy, func() {
			if proxy.Incarnation == incarnation {
				proxy.witness.SetQuorum(quorum, true)
				proxy.holder.SetQuorum(quorum, simulation.localTime(proxy))
				simulation.runActions(proxy, proxy.quorumChanger.ObserveQuorum(quorum, simulation.localTime(proxy)))
			}
		})
	})
}

// runActions performs a quorum changer's writes and reports each as failed, as if the platform's answer had been lost.
func (simulation *simulation) runActions(proxy *proxy, actions []Action) {
	for _, action := range actions {
		write, ok := action.(WriteQuorum)
		if !ok {
			continue
		}
		if !simulation.platformDown && !simulation.partitioned[proxy.VM] && write.Expected == simulation.quorum.Version {
			version := simulation.quorum.Version + 1
			simulation.quorum = write.Quorum
			simulation.quorum.Version = version
			simulation.quorumWrites++
		}
		simulation.deliver(proxy.VM, proxy, func() { proxy.quorumChanger.ActionFailed(simulation.localTime(proxy)) })
	}
}

// faults lists functions that begin or end a fault.
var faults = []func(simulation *simulation, proxy *proxy){
	func(_ *simulation, proxy *proxy) { proxy.paused = true },
	func(simulation *simulation, proxy *proxy) { simulation.resume(proxy) },
	func(simulation *simulation, proxy *proxy) { simulation.restart(proxy) },
	func(simulation *simulation, proxy *proxy) { simulation.togglePartition(proxy) },
	func(simulation *simulation, _ *proxy) { simulation.loss = simulation.random.IntN(3) * 20 },
	func(simulation *simulation, _ *proxy) {
		simulation.delay = time.Duration(5+simulation.random.IntN(2)*995) * time.Millisecond
	},
	func(simulation *simulation, _ *proxy) { simulation.platformDown = !simulation.platformDown },
}

// togglePartition moves the proxy to the other side of the partition.
func (simulation *simulation) togglePartition(proxy *proxy) {
	simulation.partitioned[proxy.VM] = !simulation.partitioned[proxy.VM]
}

func (simulation *simulation) randomProxy(draws *rand.Rand) *proxy {
	return simulation.proxies[draws.IntN(len(simulation.proxies))]
}

func (simulation *simulation) resume(proxy *proxy) {
	proxy.paused = false
	simulation.checkHolders()
	for _, do := range proxy.deferred {
		do()
	}
	proxy.deferred = nil
}

func (simulation *simulation) endFaults() {
	simulation.loss, simulation.platformDown = 0, false
	simulation.delay = 5 * time.Millisecond
	simulation.partitioned = map[spool.VM]bool{}
	for _, proxy := range simulation.proxies {
		simulation.resume(proxy)
	}
}

// holder returns the VM that holds the lease now, if any.
func (simulation *simulation) holder() spool.VM {
	for _, proxy := range simulation.proxies {
		if proxy.holder.Held(simulation.localTime(proxy)) {
			return proxy.VM
		}
	}
	return ""
}
