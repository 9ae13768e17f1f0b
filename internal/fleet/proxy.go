package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/engine"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/oper"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/internal/super"
	"corianderspool.example/spool/pkg/spool"
)

const (
	collectAt     = 40                      // percent of growth at which garbage is collected: processor time is cheaper than memory here
	memoryPart    = 0.6                     // of the memory limit that the garbage collector aims to stay below
	sameDomain    = 1 * time.Millisecond    // round trip within a failure domain
	sameRegion    = 3 * time.Millisecond    // round trip between failure domains of a region
	otherRegion   = 40 * time.Millisecond   // round trip between regions
	drainPart     = 0.8                     // of the grace after which remaining sessions are cut
	collectPeriod = 5 * time.Second         // between looks for registrations of proxies that are gone
	refusedPause  = 20 * time.Millisecond   // after a failed accept, such as when descriptors run out
	routingLag    = 2500 * time.Millisecond // two missed readiness probes, one a second: new callers still arrive
	reservedFiles = 300                     // descriptors for servers, peers, the store and files
)

// Proxy is one running proxy of a fleet.
type Proxy struct {
	settings   spool.FleetSettings
	adapter    spool.Adapter
	timers     spool.Timers
	logger     *zap.Logger
	pool       *pool.Pool
	engine     *engine.Engine
	metrics    *metric.Metrics
	limiter    *limiter
	members    *members
	peers      *peers
	lender     *lend.Lender
	loans      *loans
	marks      *marks
	supervisor *super.Supervisor
	reader     *reader
	servers    *mirror.Mirror
	dial       spool.DialFunc
	started    spool.Instant

	mutex        sync.Mutex
	revision     uint64              // of the deployment in force
	config       spool.Object        // the deployment in force
	operatorTeam spool.Team          // that the proxy's own connections to servers name
	latest       spool.FleetSettings // as last reloaded
	storeReached bool
	draining     bool
}

// New returns a proxy that has not started.
func New(settings spool.FleetSettings, adapter spool.Adapter, timers spool.Timers, logger *zap.Logger) *Proxy {
	proxy := &Proxy{settings: settings, adapter: adapter, timers: timers, logger: logger, limiter: newLimiter(settings.VM, timers)}
	proxy.started = timers.Now()
	proxy.dial = sock.Dialer(sock.DefaultUserTimeout)
	proxy.storeReached, proxy.latest = true, settings
	proxy.measure()
	proxy.loans, proxy.marks = newLoans(proxy), newMarks(proxy)
	proxy.pool = pool.New(proxy.adapter, proxy.dial, timers,
		pool.WithLogger(proxy.logger), pool.WithRoundTrip(proxy.distance), pool.WithDrain(settings.Bounds.Drain), pool.WithTunnelDialer(proxy.detour),
		pool.WithLenders(proxy.loans), pool.WithWatermarkSource(proxy.marks), pool.WithSameRegion(func(left, right spool.Domain) bool {
			return settings.Regions[left] == settings.Regions[right]
		}))
	proxy.lender = lend.NewLender(proxy.pool, timers, proxy.logger)
	proxy.engine = engine.New(proxy.pool, timers, proxy.limiter, engine.WithLogger(proxy.logger),
		engine.WithObserver(observer{proxy.metrics}))
	proxy.members = newMembers(proxy)
	proxy.peers = newPeers(proxy)
	proxy.reader = newReader(proxy)
	kind := adapter.ServerKind()
	proxy.servers = mirror.New(proxy.adapter, timers, kind, serverObserver{reach{proxy, kind}}, mirror.WithLeaderCheck(proxy.reader.leads))
	proxy.limiter.request = proxy.peers.askTokens
	tokens := super.NewFencingTokens(proxy.adapter, settings.VM, rand.Uint64)
	proxy.supervisor = super.New(settings.VM, proxy.pool, proxy.adapter, tokens, proxy.adapter, proxy.peers, timers, proxy.logger)
	return proxy
}

// distance returns the round trip to a failure domain.
func (proxy *Proxy) distance(domain spool.Domain) time.Duration {
	switch {
	case domain == proxy.settings.Domain:
		return sameDomain
	case proxy.near(domain):
		return sameRegion
	}
	return otherRegion
}

// near tells if a failure domain is in this proxy's region.
func (proxy *Proxy) near(domain spool.Domain) bool {
	return proxy.settings.Regions[domain] == proxy.settings.Region
}

// Run serves until the context ends, then drains.
func (proxy *Proxy) Run(ctx context.Context) error {
	debug.SetMemoryLimit(memoryLimit(proxy.settings))
	debug.SetGCPercent(collectAt)
	callers, err := sock.Listen(ctx, proxy.settings.Callers, sock.DefaultUserTimeout)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	readiness, err := sock.Listen(ctx, proxy.settings.Readiness, sock.DefaultUserTimeout)
	if err != nil {
		return eris.Wrap(err, "listen for readiness probes")
	}
	peers, err := sock.Listen(ctx, proxy.settings.Peers, sock.DefaultUserTimeout, sock.WithoutKeepAlive())
	if err != nil {
		return eris.Wrap(err, "listen for other proxies")
	}
	event.Log(proxy.logger, event.ProxyStarted, zap.String("VM", string(proxy.settings.VM)),
		zap.String("Domain", string(proxy.settings.Domain)), zap.Bool("Bootstrap", proxy.settings.Bootstrap))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	proxy.follow(background)
	var serving sync.WaitGroup
	serving.Go(func() { proxy.serveReadiness(background, readiness) })
	serving.Go(func() { proxy.peers.run(background, peers) })
	serving.Go(func() { proxy.serveMetrics(background) })
	go proxy.supervisor.Run(background)
	sessions := make(chan struct{})
	go func() {
		defer close(sessions)
		proxy.accept(background, callers)
	}()
	<-ctx.Done()
	proxy.drain(callers)
	<-sessions
	stop()
	serving.Wait()
	event.Log(proxy.logger, event.ProxyStopped, zap.Int("Sessions", proxy.engine.SessionCount()))
	return nil
}

// follow copies configuration, servers and members from the store.
func (proxy *Proxy) follow(ctx context.Context) {
	go proxy.servers.Run(ctx)
	go proxy.members.run(ctx)
	go proxy.reader.run(ctx)
	proxy.timers.Every(collectPeriod, spool.TimerFunc(func(spool.Instant) { proxy.members.collect(ctx) }))
}

func (proxy *Proxy) accept(ctx context.Context, listener net.Listener) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	room := make(chan struct{}, max(1, proxy.settings.Descriptors-reservedFiles))
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(refusedPause)
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			_ = conn.Close() // no session is open yet
			continue
		}
		sessions.Go(func() {
			proxy.engine.Serve(ctx, proxy.adapter.NewCallerConn(conn))
			<-room
		})
	}
}

// ready tells if the proxy takes new callers.
func (proxy *Proxy) ready() bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.revision > 0 && !proxy.draining
}

func (proxy *Proxy) serveReadiness(ctx context.Context, listener net.Listener) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !proxy.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := oper.Serve(ctx, listener, handler); err != nil {
		event.Log(proxy.logger, event.ListenerFailed, event.Cause(err))
	}
}

// drain lets sessions finish within the grace.
func (proxy *Proxy) drain(listener net.Listener) {
	proxy.mutex.Lock()
	proxy.draining = true
	proxy.mutex.Unlock()
	proxy.lender.Close()
	proxy.peers.announce()
	event.Log(proxy.logger, event.ProxyDraining, zap.Int("Sessions", proxy.engine.SessionCount()))
	grace := time.Duration(float64(proxy.settings.Bounds.Grace) * drainPart)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	began := time.Now()
	proxy.engine.Drain(ctx)
	if left := routingLag - time.Since(began); left > 0 {
		time.Sleep(left)
		proxy.engine.Drain(ctx)
	}
	_ = listener.Close() // nothing is accepted any more
	proxy.engine.Drain(ctx)
	proxy.lender.Drain(ctx)
	proxy.engine.CloseSessions()
	proxy.pool.Close(ctx)
}
