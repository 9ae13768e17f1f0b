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
	worldTick   = 5 * time.Millisecond
	worldGossip = 100 * time.Millisecond
	worldRole   = Role("Group/books")
)

// proxy is one VM with a clock of its own.
type proxy struct {
	spool.Member
	witness *Witness
	holder  *Holder
	changer *Changer
	drift   float64
	origin  spool.Instant
	paused  bool
	inbox   []func() // what arrives during a pause
}

// world delivers messages between proxies and a platform in virtual time.
type world struct {
	clock     clock.Simulated
	random    *rand.Rand
	proxies   []*proxy
	options   []Option
	quorum    Quorum // as the platform holds it
	down      bool
	loss      int // per cent
	delay     time.Duration
	cut       map[spool.VM]bool // the VMs on the far side of a partition, which the platform is not on
	violation string
	gains     int
	changes   int // quorums recorded
}

func newWorld(seed uint64, count int, options ...Option) *world {
	world := &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		options: append([]Option{func(config *Config) { config.Gone = 2 * time.Second }}, options...),
		delay:   5 * time.Millisecond,
		cut:     map[spool.VM]bool{},
	}
	for i := range count {
		member := spool.Member{VM: spool.VM(fmt.Sprintf("vm%d", i)), Domain: spool.Domain(fmt.Sprintf("d%d", i%3))}
		proxy := &proxy{Member: member}
		world.proxies = append(world.proxies, proxy)
		world.restart(proxy)
		world.clock.Every(worldTick, world.unlessPaused(proxy, world.tick))
		world.clock.Every(worldGossip, world.unlessPaused(proxy, world.gossip))
	}
	return world
}

func (world *world) unlessPaused(proxy *proxy, do func(*proxy)) spool.TimerFunc {
	return func(spool.Instant) {
		if !proxy.paused {
			do(proxy)
		}
		world.check()
	}
}

// read is the proxy's own reading of the time.
func (world *world) read(proxy *proxy) spool.Instant {
	return proxy.origin + spool.Instant(float64(world.clock.Now())*(1+proxy.drift))
}

func (world *world) restart(proxy *proxy) {
	proxy.origin = spool.Instant(world.random.Int64N(int64(time.Hour)))
	proxy.drift = (world.random.Float64() - 0.5) * 0.008
	now := world.read(proxy)
	proxy.Incarnation = world.random.Uint64()
	proxy.witness = NewWitness(proxy.VM, now, world.options...)
	proxy.holder = NewHolder(worldRole, proxy.Incarnation, world.options...)
	proxy.changer = NewChanger(world.options...)
	proxy.paused = false
	proxy.inbox = nil
	proxy.holder.Seek(slices.Index(world.proxies, proxy), now)
}

// after runs do at the proxy after a random delay, unless the message is lost; it may arrive twice.
func (world *world) after(from spool.VM, to *proxy, do func()) {
	for range 1 + world.random.IntN(8)/7 {
		if world.random.IntN(100) < world.loss || world.cut[from] != world.cut[to.VM] {
			continue
		}
		delay := time.Duration(world.random.Int64N(int64(world.delay)))
		world.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
			if to.paused {
				to.inbox = append(to.inbox, do)
				return
			}
			do()
			world.check()
		}))
	}
}

func (world *world) check() {
	var holders []spool.VM
	for _, proxy := range world.proxies {
		if proxy.holder.Held(world.read(proxy)) {
			holders = append(holders, proxy.VM)
		}
	}
	if len(holders) > 1 && world.violation == "" {
		world.violation = fmt.Sprintf("%v hold the role at %v", holders, time.Duration(world.clock.Now()))
	}
}

func (world *world) tick(proxy *proxy) {
	now := world.read(proxy)
	for _, out := range proxy.holder.Due(now) {
		world.send(proxy, out)
	}
	for change := proxy.holder.Poll(now); change != Unchanged; change = proxy.holder.Poll(now) {
		if change == Gained {
			world.gains++
		}
	}
	world.act(proxy, proxy.changer.Tick(now))
}

func (world *world) send(from *proxy, out Out) {
	to := world.find(out.To)
	world.after(from.VM, to, func() {
		answer := to.witness.Vote(from.VM, out.Request, world.read(to))
		world.after(to.VM, from, func() { from.holder.Receive(to.VM, answer, world.read(from)) })
	})
}

func (world *world) find(vm spool.VM) *proxy {
	return world.proxies[slices.IndexFunc(world.proxies, func(proxy *proxy) bool { return proxy.VM == vm })]
}

// gossip spreads what the proxy's witness has seen, tells it who is alive and reads the platform.
func (world *world) gossip(proxy *proxy) {
	var members []spool.Member
	for _, other := range world.proxies {
		if !other.paused && world.cut[other.VM] == world.cut[proxy.VM] {
			members = append(members, other.Member)
		}
		seen := proxy.witness.Seen()
		world.after(proxy.VM, other, func() {
			world.act(other, other.changer.Seen(proxy.VM, seen, world.read(other)))
		})
	}
	proxy.changer.SetMembers(members, world.read(proxy))
	world.readQuorum(proxy)
}

// readQuorum asks the platform for the quorum; an answer to an earlier start of the proxy is dropped.
func (world *world) readQuorum(proxy *proxy) {
	incarnation := proxy.Incarnation
	world.after(proxy.VM, proxy, func() {
		if world.down || world.cut[proxy.VM] {
			return
		}
		quorum := world.quorum
		world.after(proxy.VM, proxy, func() {
			if proxy.Incarnation == incarnation {
				proxy.witness.Confirm(quorum, true)
				proxy.holder.SetQuorum(quorum, world.read(proxy))
				world.act(proxy, proxy.changer.Observe(quorum, world.read(proxy)))
			}
		})
	})
}

// act carries out a changer's actions; the platform may take a write whose answer is lost.
func (world *world) act(proxy *proxy, actions []Action) {
	for _, action := range actions {
		write, ok := action.(WriteQuorum)
		if !ok {
			continue
		}
		if !world.down && !world.cut[proxy.VM] && write.Expected == world.quorum.Version {
			version := world.quorum.Version + 1
			world.quorum = write.Quorum
			world.quorum.Version = version
			world.changes++
		}
		world.after(proxy.VM, proxy, func() { proxy.changer.Failed(world.read(proxy)) })
	}
}

// faults bring about a fault, or end it.
var faults = []func(world *world, proxy *proxy){
	func(_ *world, proxy *proxy) { proxy.paused = true },
	func(world *world, proxy *proxy) { world.wake(proxy) },
	func(world *world, proxy *proxy) { world.restart(proxy) },
	func(world *world, proxy *proxy) { world.cross(proxy) },
	func(world *world, _ *proxy) { world.loss = world.random.IntN(3) * 20 },
	func(world *world, _ *proxy) {
		world.delay = time.Duration(5+world.random.IntN(2)*995) * time.Millisecond
	},
	func(world *world, _ *proxy) { world.down = !world.down },
}

// cross moves the proxy to the other side of the partition.
func (world *world) cross(proxy *proxy) { world.cut[proxy.VM] = !world.cut[proxy.VM] }

// any draws a proxy.
func (world *world) any(draws *rand.Rand) *proxy {
	return world.proxies[draws.IntN(len(world.proxies))]
}

func (world *world) wake(proxy *proxy) {
	proxy.paused = false
	world.check()
	for _, do := range proxy.inbox {
		do()
	}
	proxy.inbox = nil
}

// heal ends all faults.
func (world *world) heal() {
	world.loss, world.down = 0, false
	world.delay = 5 * time.Millisecond
	world.cut = map[spool.VM]bool{}
	for _, proxy := range world.proxies {
		world.wake(proxy)
	}
}

// holder returns the VM that holds the role now, if any.
func (world *world) holder() spool.VM {
	for _, proxy := range world.proxies {
		if proxy.holder.Held(world.read(proxy)) {
			return proxy.VM
		}
	}
	return ""
}
