package node

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/internal/core/lease"
	"corianderspool.example/spool/internal/core/policy"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/internal/metric"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tickInterval      = 10 * time.Millisecond
	seedRetryInterval = 1 * time.Second
)

// Node is one running proxy.
type Node struct {
	settings    config.Settings
	logger      *zap.Logger
	timers      spool.Timers
	platform    spool.Platform
	credentials back.Credentials
	transport   *peer.Transport
	front       *front.Front
	peerBundle  *certs.Bundle

	ctx    context.Context // canceled when the proxy stops
	cancel context.CancelFunc

	mutex sync.Mutex // guards core and keeps its effects in order
	core  *core.Core

	snapshot         atomic.Pointer[policy.Snapshot]
	holders          sync.Map // lease.Role to spool.VM
	groups           registry[spool.Group, *hostedGroup]
	limiters         registry[spool.Team, *limiter]
	admins           registry[string, spool.Admin]
	sessions         sessions
	streamPool       streamPool
	pendingStreams   pendingStreams
	watcher          watcher
	leaving          atomic.Bool
	keysFresh        atomic.Bool
	holderSearchedAt atomic.Int64 // spool.Instant of the latest search for a role's holder

	metrics        *metric.Metrics
	auditTrail     *auditTrail
	platformOutage *outageDetector
	followedTerms  registry[spool.Server, spool.Term] // latest term in which a server was logged as following
	promotions     map[spool.Group]spool.Term         // promotion requested, term not open yet; guarded by mutex
}

// Option configures a Node.
type Option func(*Node)

// WithTimers sets the timers.
func WithTimers(timers spool.Timers) Option {
	return func(node *Node) { node.timers = timers }
}

// New returns a node that does not serve yet; it fails if a file named in the settings cannot be loaded.
func New(settings config.Settings, platform spool.Platform, logger *zap.Logger, options ...Option) (*Node, error) {
	node := &Node{
		settings: settings, platform: platform, logger: logger, timers: clock.Real{},
		promotions: map[spool.Group]spool.Term{},
	}
	for _, option := range options {
		option(node)
	}
	node.ctx, node.cancel = context.WithCancel(context.Background())
	node.snapshot.Store(policy.NewStore().Snapshot())
	node.initObservability()
	if err := node.loadFiles(); err != nil {
		return nil, err
	}
	self := spool.Member{
		VM: settings.VM, Domain: settings.Domain, Address: settings.Peer.Address,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	node.core = core.New(self, node.timers.Now())
	node.transport = peer.New(settings.VM, peer.NewTLSAuthenticator(node.peerBundle), node.address,
		peer.WithLogger(node.logger), peer.WithObserver(peer.ByteCounter(node.metrics.AddPeerBytes)))
	return node, nil
}

func (node *Node) loadFiles() error {
	password, err := readSecret(node.settings.Backend.PasswordFile)
	if err != nil {
		return err
	}
	node.credentials = back.Credentials{User: node.settings.Backend.User, Password: password}
	if authority := node.settings.Backend.Authority; authority != "" {
		pool, err := certs.LoadAuthority(authority)
		if err != nil {
			return err
		}
		node.credentials.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	node.peerBundle, err = certs.Load(certs.Files{
		Certificate: node.settings.Peer.Certificate,
		PrivateKey:  node.settings.Peer.PrivateKey,
		Authority:   node.settings.Peer.Authority,
	})
	if err != nil {
		return err
	}
	node.front, err = node.newFront()
	return err
}

// readSecret returns the content of a file without surrounding white space.
func readSecret(path string) (string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrap(err, "read secret file")
	}
	return strings.TrimSpace(string(content)), nil
}

func (node *Node) newFront() (*front.Front, error) {
	caller := node.settings.Caller
	if caller.Certificate == "" {
		return front.New(node, front.WithObserver(node)), nil
	}
	bundle, err := certs.Load(certs.Files{Certificate: caller.Certificate, PrivateKey: caller.PrivateKey})
	if err != nil {
		return nil, err
	}
	node.watchCertificate(bundle)
	return front.New(node, front.WithObserver(node), front.WithTLS(bundle.ServerConfig())), nil
}

func (node *Node) watchCertificate(bundle *certs.Bundle) {
	bundle.Watch(node.timers, func(err error) {
		node.logger.Warn("certificate reload failed; the last valid certificate stays in use", zap.Error(err))
	})
}

// Run serves until ctx ends, then drains; it fails if it cannot listen on an address.
func (node *Node) Run(ctx context.Context) error {
	defer node.cancel()
	operatorAddress, err := node.serveOperators()
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", node.settings.Peer.Address)
	if err != nil {
		return eris.Wrap(err, "listen for other proxies")
	}
	callerListener, err := net.Listen("tcp", node.settings.Caller.Address)
	if err != nil {
		_ = peerListener.Close()
		return eris.Wrap(err, "listen for callers")
	}
	node.watchCertificate(node.peerBundle)
	node.transport.Listen(peerListener, node)
	defer node.transport.Close()
	node.start()
	event.Log(node.logger, event.ProxyStarted,
		zap.String("Address", callerListener.Addr().String()), zap.String("Operator", operatorAddress))
	serveFailed := make(chan error, 1)
	go func() { serveFailed <- node.front.Serve(callerListener) }()
	select {
	case <-ctx.Done():
		node.drain()
		return nil
	case err := <-serveFailed:
		return err
	}
}

func (node *Node) start() {
	node.auditTrail.start(node.ctx)
	node.handle(core.Started{})
	stop := node.timers.Every(tickInterval, spool.TimerFunc(func(spool.Instant) { node.handle(core.Tick{}) }))
	context.AfterFunc(node.ctx, stop)
	for _, seed := range node.settings.Peer.Seeds {
		go node.identifySeed(seed)
	}
}

// handle passes an event to the core and executes the effects in order, none of which may block.
func (node *Node) handle(event core.Event) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	for _, effect := range node.core.Handle(event, node.timers.Now()) {
		node.execute(effect)
	}
}

func (node *Node) address(vm spool.VM) (string, bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.core.Address(vm)
}

// Receive passes a control message of another proxy to the core.
func (node *Node) Receive(from spool.VM, envelope *wire.Envelope) {
	node.handle(core.Received{From: from, Envelope: envelope})
}

// holder returns the VM that is known to hold a role.
func (node *Node) holder(role lease.Role) (spool.VM, bool) {
	vm, known := node.holders.Load(role)
	if !known {
		return "", false
	}
	return vm.(spool.VM), true
}

// identifySeed asks a seed address for its VM until it answers or the proxy stops.
func (node *Node) identifySeed(address string) {
	for node.ctx.Err() == nil {
		vm, err := node.transport.Identify(node.ctx, address)
		if err == nil {
			node.handle(core.MemberFound{Member: spool.Member{VM: vm, Address: address}})
			return
		}
		select {
		case <-node.ctx.Done():
		case <-time.After(seedRetryInterval):
		}
	}
}
