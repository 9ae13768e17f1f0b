package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	dialTimeout      = 1 * time.Second
	writeTimeout     = 3 * time.Second
	handshakeTimeout = 2 * time.Second
	shortestBackoff  = 50 * time.Millisecond
	longestBackoff   = 1 * time.Second
	queueLength      = 512 // envelopes
	maxEnvelope      = 20 << 20
	streamWindow     = 1 << 20
	defaultKeepAlive = 2 * time.Second
	defaultIdleTime  = 10 * time.Second // after which a connection that nothing uses is closed; heartbeats come more often
)

// Kinds of connections: control messages have a connection of their own, so that bulk data never delays them.
const (
	kindControl = 'C'
	kindData    = 'D'
)

// Handler receives what other proxies send.
type Handler interface {
	// Receive handles a control message; the sender's identity is checked.
	Receive(from spool.VM, envelope *wire.Envelope)
	// Serve handles a data stream until it ends.
	Serve(from spool.VM, stream net.Conn)
}

// Transport sends messages to other proxies and accepts theirs.
type Transport struct {
	self    spool.VM
	guard   Authenticator
	handler Handler
	logger  *zap.Logger
	resolve func(spool.VM) (string, bool)
	observe func(bytes int)

	keepAlive time.Duration
	idleTime  time.Duration

	ctx    context.Context
	cancel context.CancelFunc

	mutex    sync.Mutex
	outboxes map[spool.VM]*outbox
	sessions map[spool.VM]*yamux.Session
	opened   map[spool.VM]time.Time // when a stream was last opened on a session
	accepted map[*yamux.Session]struct{}
}

// Option changes a transport under construction.
type Option func(*Transport)

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(transport *Transport) { transport.logger = logger }
}

// WithKeepAlive sets the time between probes of a session.
func WithKeepAlive(keepAlive time.Duration) Option {
	return func(transport *Transport) { transport.keepAlive = keepAlive }
}

// WithIdleTime sets after which time a connection that nothing uses is closed.
func WithIdleTime(idleTime time.Duration) Option {
	return func(transport *Transport) { transport.idleTime = idleTime }
}

// WithObserver sets a function that is told the size of each control message sent, in bytes.
func WithObserver(observe func(bytes int)) Option {
	return func(transport *Transport) { transport.observe = observe }
}

// New returns a transport that finds addresses through resolve.
func New(self spool.VM, guard Authenticator, resolve func(spool.VM) (string, bool), options ...Option) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &Transport{
		self: self, guard: guard, resolve: resolve,
		logger: zap.NewNop(), observe: func(int) {}, keepAlive: defaultKeepAlive, idleTime: defaultIdleTime,
		ctx: ctx, cancel: cancel,
		outboxes: map[spool.VM]*outbox{},
		sessions: map[spool.VM]*yamux.Session{},
		opened:   map[spool.VM]time.Time{},
		accepted: map[*yamux.Session]struct{}{},
	}
	for _, option := range options {
		option(transport)
	}
	return transport
}

// Listen accepts connections of other proxies until Close.
func (transport *Transport) Listen(listener net.Listener, handler Handler) {
	transport.handler = handler
	go func() {
		<-transport.ctx.Done()
		_ = listener.Close()
	}()
	go transport.closeIdle()
	go transport.acceptLoop(listener)
}

func (transport *Transport) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if transport.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(shortestBackoff)
			continue
		}
		go transport.accept(conn)
	}
}

func (transport *Transport) accept(accepted net.Conn) {
	conn, from, kind, err := transport.greet(accepted)
	if err != nil {
		transport.logger.Debug("peer refused", zap.Error(err))
		_ = accepted.Close()
		return
	}
	session, err := yamux.Server(conn, transport.settings())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !transport.keep(session) {
		return
	}
	defer transport.drop(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if kind == kindControl {
			go transport.receive(from, stream)
		} else {
			go transport.handler.Serve(from, stream)
		}
	}
}

func (transport *Transport) greet(accepted net.Conn) (conn net.Conn, from spool.VM, kind byte, err error) {
	_ = accepted.SetDeadline(time.Now().Add(handshakeTimeout))
	conn, from, err = transport.guard.Accept(accepted)
	if err != nil {
		return nil, "", 0, err
	}
	var hello [1]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return nil, "", 0, err
	}
	return conn, from, hello[0], accepted.SetDeadline(time.Time{})
}

func (transport *Transport) keep(session *yamux.Session) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.ctx.Err() != nil {
		_ = session.Close()
		return false
	}
	transport.accepted[session] = struct{}{}
	return true
}

func (transport *Transport) drop(session *yamux.Session) {
	_ = session.Close()
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	delete(transport.accepted, session)
}

func (transport *Transport) receive(from spool.VM, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	reader := NewControlReader[wire.Envelope](stream)
	for {
		envelope, err := reader.Read()
		if err != nil {
			return
		}
		envelope.From = string(from)
		transport.handler.Receive(from, envelope)
	}
}

// Send queues a control message; it is lost when the other proxy is out of reach or the queue is full.
func (transport *Transport) Send(to spool.VM, envelope *wire.Envelope) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.ctx.Err() != nil {
		return
	}
	box := transport.outboxes[to]
	if box == nil {
		box = newOutbox(transport, to)
		transport.outboxes[to] = box
		go box.run()
	}
	box.put(envelope)
}

// retire forgets an outbox that nothing was put into for a while, and tells if it did.
func (transport *Transport) retire(outbox *outbox) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if len(outbox.queue) > 0 || time.Since(outbox.used) < transport.idleTime {
		return false
	}
	delete(transport.outboxes, outbox.to)
	return true
}

// closeIdle closes sessions for data that nothing uses, until Close.
func (transport *Transport) closeIdle() {
	ticker := time.NewTicker(transport.idleTime / 2)
	defer ticker.Stop()
	for {
		select {
		case <-transport.ctx.Done():
			return
		case <-ticker.C:
		}
		transport.mutex.Lock()
		for vm, session := range transport.sessions {
			if session.NumStreams() == 0 && time.Since(transport.opened[vm]) > transport.idleTime {
				_ = session.Close() // no stream is open on it
				delete(transport.sessions, vm)
				delete(transport.opened, vm)
			}
		}
		transport.mutex.Unlock()
	}
}

// Open opens a data stream to another proxy.
func (transport *Transport) Open(ctx context.Context, to spool.VM) (net.Conn, error) {
	transport.mutex.Lock()
	session := transport.sessions[to]
	transport.opened[to] = time.Now()
	transport.mutex.Unlock()
	if session != nil {
		stream, err := session.OpenStream()
		if err == nil {
			return stream, nil
		}
	}
	session, err := transport.dial(ctx, to, kindData)
	if err != nil {
		return nil, err
	}
	transport.mutex.Lock()
	if other := transport.sessions[to]; other != nil && !other.IsClosed() {
		_ = session.Close()
		session = other
	}
	transport.sessions[to] = session
	transport.mutex.Unlock()
	stream, err := session.OpenStream()
	if err != nil {
		return nil, eris.Wrapf(err, "open a stream to %s", to)
	}
	return stream, nil
}

func (transport *Transport) dial(ctx context.Context, to spool.VM, kind byte) (*yamux.Session, error) {
	address, known := transport.resolve(to)
	if !known {
		return nil, eris.Errorf("the address of %s is not known", to)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := transport.guard.Dial(ctx, address, to)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	if _, err := conn.Write([]byte{kind}); err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "greet %s", to)
	}
	session, err := yamux.Client(conn, transport.settings())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "open a session with %s", to)
	}
	return session, nil
}

// Close ends all connections.
func (transport *Transport) Close() {
	transport.cancel()
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	for _, session := range transport.sessions {
		_ = session.Close()
	}
	for session := range transport.accepted {
		_ = session.Close()
	}
}

func (transport *Transport) log(number event.Number, to spool.VM, err error) {
	event.Log(transport.logger, number, zap.String("Peer", string(to)), zap.Error(err))
}

func (transport *Transport) settings() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = true
	config.KeepAliveInterval = transport.keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindow
	config.StreamOpenTimeout = 5 * time.Second
	config.LogOutput = io.Discard
	return config
}

// Identify returns the VM that listens at an address.
func (transport *Transport) Identify(ctx context.Context, address string) (spool.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return transport.guard.Identify(ctx, address)
}

// AcceptedCount returns how many connections of other proxies are open.
func (transport *Transport) AcceptedCount() int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	return len(transport.accepted)
}
