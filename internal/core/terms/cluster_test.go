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
	testGroup       = spool.Group("books")
	tickInterval    = 10 * time.Millisecond
	pollInterval    = 50 * time.Millisecond
	writeInterval   = 5 * time.Millisecond
	pollTimeout     = 200 * time.Millisecond
	promoteDuration = 20 * time.Millisecond
)

// proxy runs the witness, holder, changer and leader of one VM.
type proxy struct {
	vm            spool.VM
	domain        spool.Domain
	incarnation   uint64
	witness       *lease.Witness
	holder        *lease.Holder
	changer       *lease.QuorumChanger
	leader        *Leader
	awaitedRecord *wire.TermRecord // record that waits for a majority's votes
	paused        bool
	inbox         []func()
	notes         []timedNote
}

type timedNote struct {
	Note
	at spool.Instant
}

// cluster simulates proxies, servers and the platform in virtual time; isolated holds names of failure domains and VMs.
type cluster struct {
	oracle
	clock       clock.Simulated
	random      *rand.Rand
	options     []Option
	ignoreFence bool // acknowledges in the open term even if the lease has ended
	latency     time.Duration
	lossPercent int // of messages
	isolated    map[string]bool
	cut         map[string]bool // joined names of a VM and a server that don't reach each other
	proxies     []*proxy
	servers     []*fakeServer
	platform    fakePlatform
	writes      int
}

func newCluster(seed uint64, latency time.Duration, options ...Option) *cluster {
	cluster := &cluster{
		oracle:   oracle{opened: map[spool.Term]spool.Server{}},
		random:   rand.New(rand.NewPCG(seed, 3)),
		options:  options,
		latency:  latency,
		isolated: map[string]bool{},
		cut:      map[string]bool{},
		platform: fakePlatform{primaryByTerm: map[uint64]string{}, delay: 2 * time.Millisecond},
	}
	for i := range 3 {
		spec := spool.ServerSpec{Name: spool.Server(fmt.Sprintf("s%d", i)), Domain: spool.Domain(fmt.Sprintf("d%d", i))}
		server := &fakeServer{ServerSpec: spec, status: spool.ServerStatus{Term: 1}}
		cluster.servers = append(cluster.servers, server)
		server.source = cluster.servers[0]
	}
	cluster.servers[0].status.Primary = true
	cluster.clock.Every(tickInterval, spool.TimerFunc(func(spool.Instant) { cluster.replicate() }))
	for i := range 5 {
		proxy := &proxy{vm: spool.VM(fmt.Sprintf("vm%d", i)), domain: spool.Domain(fmt.Sprintf("d%d", i%3))}
		cluster.proxies = append(cluster.proxies, proxy)
		cluster.restart(proxy)
		cluster.every(proxy, tickInterval, cluster.tick)
		cluster.every(proxy, pollInterval, cluster.poll)
		cluster.every(proxy, writeInterval, cluster.write)
		cluster.every(proxy, 2*pollInterval, cluster.exchangeQuorum)
	}
	return cluster
}

// every runs do at the proxy once per period unless it is paused, with a random phase.
func (cluster *cluster) every(proxy *proxy, period time.Duration, do func(*proxy)) {
	phase := time.Duration(cluster.random.Int64N(int64(period)))
	cluster.clock.After(phase, spool.TimerFunc(func(spool.Instant) {
		cluster.clock.Every(period, spool.TimerFunc(func(spool.Instant) {
			if !proxy.paused {
				do(proxy)
			}
		}))
	}))
}

// restart replaces all state of the proxy.
func (cluster *cluster) restart(proxy *proxy) {
	now := cluster.clock.Now()
	proxy.incarnation = cluster.random.Uint64()
	proxy.witness = lease.NewWitness(proxy.vm, now)
	proxy.holder = lease.NewHolder(lease.GroupRole(testGroup), proxy.incarnation)
	proxy.changer = lease.NewQuorumChanger(func(config *lease.Config) { config.ReplaceAfter = 2 * time.Second })
	proxy.leader = NewLeader(testGroup, proxy.vm, cluster.random.Uint64(), cluster.options...)
	proxy.paused, proxy.inbox, proxy.awaitedRecord = false, nil, nil
	proxy.holder.Campaign(slices.Index(cluster.proxies, proxy), now)
	cluster.setServers(proxy)
}

func (cluster *cluster) domains() map[spool.VM]spool.Domain {
	domains := map[spool.VM]spool.Domain{}
	for _, proxy := range cluster.proxies {
		domains[proxy.vm] = proxy.domain
	}
	return domains
}

func (cluster *cluster) setServers(proxy *proxy) {
	var specs []spool.ServerSpec
	for _, server := range cluster.servers {
		specs = append(specs, server.ServerSpec)
	}
	cluster.handle(proxy, ServersChanged{Servers: specs})
}

// deliver runs do at the proxy after the delay, or after its pause, unless it restarts first.
func (cluster *cluster) deliver(proxy *proxy, delay time.Duration, do func()) {
	incarnation := proxy.incarnation
	cluster.clock.After(delay, spool.TimerFunc(func(spool.Instant) {
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

// messageDelay returns a message's delay and whether it arrives; under message loss a delay grows by up to 100 ms.
func (cluster *cluster) messageDelay(from, to spool.Domain, vms ...spool.VM) (time.Duration, bool) {
	if from != to && (cluster.isolated[string(from)] || cluster.isolated[string(to)]) {
		return 0, false
	}
	for _, vm := range vms {
		if cluster.isolated[string(vm)] {
			return 0, false
		}
	}
	delay := cluster.latency
	if from == to {
		delay = cluster.latency / 5
	}
	if cluster.lossPercent > 0 {
		delay += time.Duration(cluster.random.Int64N(int64(100 * time.Millisecond)))
	}
	return delay, cluster.random.IntN(100) >= cluster.lossPercent
}

// call runs handle at a server and its result at the proxy; failed gets whether the connection was refused.
func (cluster *cluster) call(proxy *proxy, server *fakeServer, duration time.Duration, handle func() func(), failed func(refused bool)) {
	delay, ok := cluster.messageDelay(proxy.domain, server.Domain, proxy.vm)
	if !ok || cluster.cut[string(proxy.vm)+string(server.Name)] {
		cluster.deliver(proxy, pollTimeout, func() { failed(false) })
		return
	}
	cluster.clock.After(delay+duration, spool.TimerFunc(func(spool.Instant) {
		replyDelay, ok := cluster.messageDelay(server.Domain, proxy.domain, proxy.vm)
		switch {
		case server.dead:
			cluster.deliver(proxy, delay, func() { failed(true) })
		case !ok:
			handle()
			cluster.deliver(proxy, pollTimeout, func() { failed(false) })
		default:
			cluster.deliver(proxy, replyDelay, handle())
		}
	}))
}

func (cluster *cluster) replicate() {
	for _, server := range cluster.servers {
		if server.dead || server.source == nil || server.source.dead {
			continue
		}
		if _, ok := cluster.messageDelay(server.source.Domain, server.Domain); ok {
			server.replicate()
		}
	}
}

// poll requests the servers' status; only the lease holder polls.
func (cluster *cluster) poll(proxy *proxy) {
	if proxy.holder.Held(cluster.clock.Now()) {
		cluster.pollAll(proxy)
	}
}

func (cluster *cluster) pollAll(proxy *proxy) {
	for _, server := range cluster.servers {
		sentAt := cluster.clock.Now()
		cluster.call(proxy, server, 0, func() func() {
			status := server.currentStatus()
			return func() { cluster.handle(proxy, StatusReceived{Status: status, SentAt: sentAt}) }
		}, func(refused bool) {
			cluster.handle(proxy, StatusFailed{Server: server.Name, SentAt: sentAt, Refused: refused})
		})
	}
}

// write sends one write to the primary of the open term and acknowledges it if the fence allows.
func (cluster *cluster) write(proxy *proxy) {
	term := proxy.leader.OpenTerm()
	if term == 0 || !cluster.fenceAllows(proxy, term) {
		return
	}
	server := cluster.server(proxy.leader.Primary())
	cluster.call(proxy, server, 0, func() func() {
		if !server.status.Primary {
			return func() {}
		}
		cluster.writes++
		number := cluster.writes
		server.log = append(server.log, number)
		token := spool.SessionToken{Group: testGroup, Term: term, Position: spool.Position(len(server.log))}
		return func() {
			if cluster.fenceAllows(proxy, term) {
				cluster.ack(acknowledgedWrite{number: number, token: token, at: cluster.clock.Now()})
			}
		}
	}, func(bool) {})
}

func (cluster *cluster) fenceAllows(proxy *proxy, term spool.Term) bool {
	if cluster.ignoreFence {
		return proxy.leader.OpenTerm() == term
	}
	fence := Fence{Until: proxy.holder.Until(), Term: proxy.leader.OpenTerm()}
	return fence.Allows(term, cluster.clock.Now())
}

func (cluster *cluster) server(name spool.Server) *fakeServer {
	return cluster.servers[slices.IndexFunc(cluster.servers, func(server *fakeServer) bool { return server.Name == name })]
}

func (cluster *cluster) proxy(vm spool.VM) *proxy {
	return cluster.proxies[slices.IndexFunc(cluster.proxies, func(proxy *proxy) bool { return proxy.vm == vm })]
}

func (oracle *oracle) addViolation(format string, args ...any) {
	oracle.violations = append(oracle.violations, fmt.Sprintf(format, args...))
}
