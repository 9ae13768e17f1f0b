package terms

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	worldGroup   = spool.Group("books")
	worldTick    = 10 * time.Millisecond
	worldPoll    = 50 * time.Millisecond
	worldWrite   = 5 * time.Millisecond
	pollTimeout  = 200 * time.Millisecond
	promoteTakes = 20 * time.Millisecond
)

// proxy is the shell round one VM's witness, holder and leader.
type proxy struct {
	vm          spool.VM
	domain      spool.Domain
	incarnation uint64
	witness     *lease.Witness
	holder      *lease.Holder
	changer     *lease.QuorumChanger
	leader      *Leader
	awaited     *wire.TermRecord // waits for a majority's votes
	paused      bool
	inbox       []func()
	notes       []timedNote
}

type timedNote struct {
	Note
	at spool.Instant
}

// world delivers everything in virtual time; endpoints are failure domains and VMs.
type world struct {
	oracle
	clock    clock.Simulated
	random   *rand.Rand
	options  []Option
	naive    bool // acknowledges by the open term alone
	latency  time.Duration
	loss     int // per cent
	isolated map[string]bool
	cut      map[string]bool // VM and server that do not reach each other
	proxies  []*proxy
	servers  []*fakeServer
	platform fakePlatform
	writes   int
}

func newWorld(seed uint64, latency time.Duration, options ...Option) *world {
	world := &world{
		oracle:   oracle{opened: map[spool.Term]spool.Server{}},
		random:   rand.New(rand.NewPCG(seed, 3)),
		options:  options,
		latency:  latency,
		isolated: map[string]bool{},
		cut:      map[string]bool{},
		platform: fakePlatform{owners: map[uint64]string{}, delay: 2 * time.Millisecond},
	}
	for i := range 3 {
		spec := spool.ServerSpec{Name: spool.Server(fmt.Sprintf("s%d", i)), Domain: spool.Domain(fmt.Sprintf("d%d", i))}
		server := &fakeServer{ServerSpec: spec, status: spool.ServerStatus{Term: 1}}
		world.servers = append(world.servers, server)
		server.source = world.servers[0]
	}
	world.servers[0].status.Primary = true
	world.clock.Every(worldTick, spool.TimerFunc(func(spool.Instant) { world.replicate() }))
	for i := range 5 {
		proxy := &proxy{vm: spool.VM(fmt.Sprintf("vm%d", i)), domain: spool.Domain(fmt.Sprintf("d%d", i%3))}
		world.proxies = append(world.proxies, proxy)
		world.restart(proxy)
		world.every(proxy, worldTick, world.tick)
		world.every(proxy, worldPoll, world.poll)
		world.every(proxy, worldWrite, world.write)
		world.every(proxy, 2*worldPoll, world.gossip)
	}
	return world
}

// every runs do at the proxy once a period while it is not paused; phases differ by VM.
func (world *world) every(proxy *proxy, period time.Duration, do func(*proxy)) {
	phase := time.Duration(world.random.Int64N(int64(period)))
	world.clock.After(phase, spool.TimerFunc(func(spool.Instant) {
		world.clock.Every(period, spool.TimerFunc(func(spool.Instant) {
			if !proxy.paused {
				do(proxy)
			}
		}))
	}))
}

// restart forgets all that the proxy knew.
func (world *world) restart(proxy *proxy) {
	now := world.clock.Now()
	proxy.incarnation = world.random.Uint64()
	proxy.witness = lease.NewWitness(proxy.vm, now)
	proxy.holder = lease.NewHolder(lease.GroupRole(worldGroup), proxy.incarnation)
	proxy.changer = lease.NewQuorumChanger(func(config *lease.Config) { config.ReplaceAfter = 2 * time.Second })
	proxy.leader = NewLeader(worldGroup, proxy.vm, world.random.Uint64(), world.options...)
	proxy.paused, proxy.inbox, proxy.awaited = false, nil, nil
	proxy.holder.Campaign(slices.Index(world.proxies, proxy), now)
	world.setServers(proxy)
}

func (world *world) domains() map[spool.VM]spool.Domain {
	domains := map[spool.VM]spool.Domain{}
	for _, proxy := range world.proxies {
		domains[proxy.vm] = proxy.domain
	}
	return domains
}

func (world *world) setServers(proxy *proxy) {
	var specs []spool.ServerSpec
	for _, server := range world.servers {
		specs = append(specs, server.ServerSpec)
	}
	world.handle(proxy, ServersChanged{Servers: specs})
}

// arrive runs do at the proxy, after its pause if it is paused, unless it restarts before.
func (world *world) arrive(proxy *proxy, delay time.Duration, do func()) {
	incarnation := proxy.incarnation
	world.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
		if proxy.incarnation != incarnation {
			return
		}
		if proxy.paused {
			proxy.inbox = append(proxy.inbox, do)
			return
		}
		do()
	}))
}

// travel is the time that a message takes, and whether it arrives; some take much longer and overtake nothing.
func (world *world) travel(from, to spool.Domain, vms ...spool.VM) (time.Duration, bool) {
	if from != to && (world.isolated[string(from)] || world.isolated[string(to)]) {
		return 0, false
	}
	for _, vm := range vms {
		if world.isolated[string(vm)] {
			return 0, false
		}
	}
	delay := world.latency
	if from == to {
		delay = world.latency / 5
	}
	if world.loss > 0 {
		delay += time.Duration(world.random.Int64N(int64(100 * time.Millisecond)))
	}
	return delay, world.random.IntN(100) >= world.loss
}

// ask sends a request to a server and its outcome back; failed gets whether the connection was refused.
func (world *world) ask(proxy *proxy, server *fakeServer, takes time.Duration, do func() func(), failed func(refused bool)) {
	delay, ok := world.travel(proxy.domain, server.Domain, proxy.vm)
	if !ok || world.cut[string(proxy.vm)+string(server.Name)] {
		world.arrive(proxy, pollTimeout, func() { failed(false) })
		return
	}
	world.clock.After(delay+takes, spool.TimerFunc(func(spool.Instant) {
		back, ok := world.travel(server.Domain, proxy.domain, proxy.vm)
		switch {
		case server.dead:
			world.arrive(proxy, delay, func() { failed(true) })
		case !ok:
			do()
			world.arrive(proxy, pollTimeout, func() { failed(false) })
		default:
			world.arrive(proxy, back, do())
		}
	}))
}

func (world *world) replicate() {
	for _, server := range world.servers {
		if server.dead || server.source == nil || server.source.dead {
			continue
		}
		if _, ok := world.travel(server.source.Domain, server.Domain); ok {
			server.replicate()
		}
	}
}

// poll asks the servers for their status; only the holder of the lease uses connections for it.
func (world *world) poll(proxy *proxy) {
	if proxy.holder.Held(world.clock.Now()) {
		world.pollAll(proxy)
	}
}

func (world *world) pollAll(proxy *proxy) {
	for _, server := range world.servers {
		sentAt := world.clock.Now()
		world.ask(proxy, server, 0, func() func() {
			status := server.report()
			return func() { world.handle(proxy, StatusSeen{Status: status, SentAt: sentAt}) }
		}, func(refused bool) {
			world.handle(proxy, StatusFailed{Server: server.Name, SentAt: sentAt, Refused: refused})
		})
	}
}

// write sends one write to the primary of the open term and acknowledges it if the fence allows.
func (world *world) write(proxy *proxy) {
	term := proxy.leader.OpenTerm()
	if term == 0 || !world.allows(proxy, term) {
		return
	}
	server := world.server(proxy.leader.Primary())
	world.ask(proxy, server, 0, func() func() {
		if !server.status.Primary {
			return func() {}
		}
		world.writes++
		number := world.writes
		server.log = append(server.log, number)
		token := spool.SessionToken{Group: worldGroup, Term: term, Position: spool.Position(len(server.log))}
		return func() {
			if world.allows(proxy, term) {
				world.ack(acknowledged{number: number, token: token, at: world.clock.Now()})
			}
		}
	}, func(bool) {})
}

func (world *world) allows(proxy *proxy, term spool.Term) bool {
	if world.naive {
		return proxy.leader.OpenTerm() == term
	}
	fence := Fence{Until: proxy.holder.Until(), Term: proxy.leader.OpenTerm()}
	return fence.Allows(term, world.clock.Now())
}

func (world *world) server(name spool.Server) *fakeServer {
	return world.servers[slices.IndexFunc(world.servers, func(server *fakeServer) bool { return server.Name == name })]
}

func (world *world) proxy(vm spool.VM) *proxy {
	return world.proxies[slices.IndexFunc(world.proxies, func(proxy *proxy) bool { return proxy.vm == vm })]
}

func (oracle *oracle) violated(format string, args ...any) {
	oracle.violations = append(oracle.violations, fmt.Sprintf(format, args...))
}
