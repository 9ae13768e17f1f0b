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

	"corianderspool.example/spool/internal/bulk"
	"corianderspool.example/spool/internal/core/drain"
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
	gcPercent           = 40                    // heap growth that starts a garbage collection; CPU time is cheaper than memory here
	memoryFraction      = 0.6                   // of the memory limit that the garbage collector aims to stay below
	sameDomainRTT       = 1 * time.Millisecond  // round trip within a failure domain
	sameRegionRTT       = 3 * time.Millisecond  // round trip between failure domains of a region
	otherRegionRTT      = 40 * time.Millisecond // round trip between regions
	cleanupInterval     = 5 * time.Second       // between checks for entries of proxies that are gone
	acceptRetryDelay    = 20 * time.Millisecond // after a failed accept, such as one without a free descriptor
	reservedDescriptors = 300                   // for servers, peers, the store and files
)

// Proxy is one running proxy of a fleet.
type Proxy struct {
	settings    spool.FleetSettings
	adapter     spool.Adapter
	timers      spool.Timers
	logger      *zap.Logger
	pool        *pool.Pool
	engine      *engine.Engine
	metrics     *metric.Metrics
	limiter     *limiter
	members     *members
	peers       *peers
	lender      *lend.Lender
	borrower    *borrower
	watermarks  *watermarks
	supervisor  *super.Supervisor
	reader      *reader
	evacuations *evacuations
	eras        *eras
	servers     *mirror.Mirror
	spread      *bulk.Distributor // of the configuration
	warmup      *warmup
	dial        spool.DialFunc
	started     spool.Instant

	fencingTokens *super.FencingTokens

	parsing      sync.Mutex // held while a configuration is parsed, so that none is parsed twice
	mutex        sync.Mutex
	revision     uint64       // of the configuration in force
	config       spool.Object // the configuration in force
	offered      configOffers
	operatorTeam spool.Team          // under which the proxy opens its own connections to servers
	lastReloaded spool.FleetSettings // newest valid settings, including changes that need a restart
	storeReached bool
	draining     bool
}

// New returns a proxy that has not started.
func New(settings spool.FleetSettings, adapter spool.Adapter, timers spool.Timers, logger *zap.Logger) *Proxy {
	adapter = guardedAdapter{adapter, logger}
	proxy := &Proxy{settings: settings, adapter: adapter, timers: timers, logger: logger, limiter: newLimiter(settings.VM, timers)}
	proxy.started = timers.Now()
	proxy.dial = sock.Dialer(sock.DefaultUserTimeout)
	proxy.storeReached, proxy.lastReloaded = true, settings
	proxy.eras = newEras(proxy)
	proxy.setUpMetrics()
	proxy.evacuations = newEvacuations(proxy)
	proxy.borrower, proxy.watermarks, proxy.warmup = newBorrower(proxy), newWatermarks(proxy), newWarmup(proxy)
	proxy.pool = pool.New(proxy.adapter, proxy.dial, timers,
		pool.WithLogger(proxy.logger), pool.WithRoundTrip(proxy.roundTrip), pool.WithDrain(settings.Bounds.Drain), pool.WithTunnelDialer(proxy.dialTunnel),
		pool.WithLenders(proxy.borrower), pool.WithObserver(waitObserver{proxy.metrics}), pool.WithWatermarkSource(proxy.watermarks), pool.WithSameRegion(func(left, right spool.Domain) bool {
			return settings.Regions[left] == settings.Regions[right]
		}), proxy.evacuationGuard(), pool.WithWarmupTokens(proxy.warmup), pool.WithFirstStart(settings.Bootstrap), pool.WithUnknownOrders())
	proxy.lender = lend.NewLender(proxy.pool, timers, proxy.logger)
	proxy.engine = engine.New(proxy.pool, timers, proxy.limiter, engine.WithLogger(proxy.logger), engine.WithRegions(settings.Regions),
		engine.WithObserver(statementObserver{proxy.metrics}))
	proxy.members = newMembers(proxy)
	proxy.peers = newPeers(proxy)
	proxy.reader = newReader(proxy)
	proxy.spread = proxy.newDistributor()
	kind := adapter.ServerKind()
	proxy.servers = mirror.New(proxy.adapter, timers, kind, serverObserver{reachabilityObserver{proxy, kind}}, mirror.WithLeaderCheck(proxy.reader.readsForRegion))
	proxy.limiter.requestTokens, proxy.limiter.logger = proxy.peers.requestTokens, proxy.logger
	proxy.limiter.sendTokens = proxy.peers.sendTokens
	proxy.fencingTokens = super.NewFencingTokens(proxy.adapter, settings.VM, rand.Uint64)
	proxy.supervisor = super.New(settings.VM, proxy.pool, proxy.adapter, proxy.fencingTokens, proxy.adapter, proxy.peers, timers, proxy.logger)
	return proxy
}

// roundTrip returns the expected round-trip time to a failure domain.
func (proxy *Proxy) roundTrip(domain spool.Domain) time.Duration {
	switch {
	case domain == proxy.settings.Domain:
		return sameDomainRTT
	case proxy.domainInRegion(domain):
		return sameRegionRTT
	}
	return otherRegionRTT
}

// domainInRegion reports whether a failure domain is in this proxy's region.
func (proxy *Proxy) domainInRegion(domain spool.Domain) bool {
	return proxy.settings.Regions[domain] == proxy.settings.Region
}

// Run serves until the context ends, then drains; it returns an error if a listener cannot be opened.
func (proxy *Proxy) Run(ctx context.Context) error {
	debug.SetMemoryLimit(memoryLimit(proxy.settings))
	debug.SetGCPercent(gcPercent)
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
	proxy.followStore(background)
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

// followStore starts to replicate the configuration, the servers and the members from the store.
func (proxy *Proxy) followStore(ctx context.Context) {
	go proxy.servers.Run(ctx)
	go proxy.members.run(ctx)
	go proxy.reader.run(ctx)
	go proxy.evacuations.run(ctx)
	go proxy.eras.run(ctx)
	go proxy.reader.watchConfig(ctx)
	go proxy.spread.Run(ctx)
	proxy.timers.Every(cleanupInterval, spool.TimerFunc(func(spool.Instant) { proxy.members.removeGone(ctx) }))
}

func (proxy *Proxy) accept(ctx context.Context, listener net.Listener) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	sessionSlots := make(chan struct{}, max(1, proxy.settings.Descriptors-reservedDescriptors))
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case sessionSlots <- struct{}{}:
		default:
			_ = conn.Close() // no session is open yet
			continue
		}
		sessions.Go(func() {
			proxy.engine.Serve(ctx, proxy.adapter.NewCallerConn(conn))
			<-sessionSlots
		})
	}
}

// ready reports whether the proxy accepts new callers.
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

// drain ends the sessions within the grace period, each after the answer to its request, and then closes the connections.
func (proxy *Proxy) drain(listener net.Listener) {
	proxy.mutex.Lock()
	proxy.draining = true
	proxy.mutex.Unlock()
	proxy.lender.Close()
	proxy.peers.notifyAll() // the heartbeats announce the shutdown
	event.Log(proxy.logger, event.ProxyDraining, zap.Int("Sessions", proxy.engine.SessionCount()))
	schedule := drain.Schedule{Began: proxy.timers.Now(), Grace: proxy.settings.Bounds.Grace}
	proxy.engine.Stop(schedule)
	accepting, stopAccepting := proxy.until(schedule.AcceptUntil())
	defer stopAccepting()
	proxy.engine.Drain(accepting)
	if remaining := schedule.MinAccept().Sub(proxy.timers.Now()); remaining > 0 {
		time.Sleep(remaining)
		proxy.engine.Drain(accepting)
	}
	_ = listener.Close() // no more callers are accepted
	ctx, cancel := proxy.until(schedule.End())
	defer cancel()
	proxy.engine.Drain(ctx)
	proxy.lender.Drain(ctx)
	proxy.supervisor.Drain(ctx)
	proxy.engine.CloseSessions()
	proxy.pool.Close(ctx)
}

// until returns a context that ends at an instant.
func (proxy *Proxy) until(instant spool.Instant) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), instant.Sub(proxy.timers.Now()))
}
