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
	"corianderspool.example/spool/internal/guard"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	dialTimeout       = 1 * time.Second
	writeTimeout      = 3 * time.Second
	handshakeTimeout  = 2 * time.Second
	shortestBackoff   = 50 * time.Millisecond
	longestBackoff    = 1 * time.Second
	maxEnvelopeBytes  = 20 << 20
	streamWindowBytes = 1 << 20
	defaultKeepAlive  = 2 * time.Second
	defaultIdleTime   = 10 * time.Second // unused connections are closed after this time, which is longer than the heartbeat interval
)

// Kinds of connections. Control messages have a separate connection, so that bulk data never delays them.
const (
	kindControl = 'C'
	kindData    = 'D'
)

// Handler handles messages and streams from other proxies.
type Handler interface {
	// Receive handles a control message from an authenticated sender.
	Receive(from spool.VM, envelope *wire.Envelope)
	// Serve handles a data stream until it ends.
	Serve(from spool.VM, stream net.Conn)
}

// Transport sends messages and opens streams to other proxies, and accepts theirs.
type Transport struct {
	self          spool.VM
	authenticator Authenticator
	handler       Handler
	logger        *zap.Logger
	resolve       func(spool.VM) (string, bool)
	observer      Observer

	keepAlive time.Duration
	idleTime  time.Duration

	ctx    context.Context
	cancel context.CancelFunc

	mutex      sync.Mutex
	outboxes   map[spool.VM]*outbox
	sessions   map[spool.VM]*yamux.Session
	lastOpened map[spool.VM]time.Time // when a stream was last opened on a session
	accepted   map[*yamux.Session]struct{}
	listener   net.Listener // nil before Listen
}

// Option configures a transport.
type Option func(*Transport)

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option {
	return func(transport *Transport) { transport.logger = logger }
}

// WithKeepAlive sets the interval of yamux keep-alives.
func WithKeepAlive(keepAlive time.Duration) Option {
	return func(transport *Transport) { transport.keepAlive = keepAlive }
}

// WithIdleTime sets the time after which an unused connection is closed.
func WithIdleTime(idleTime time.Duration) Option {
	return func(transport *Transport) { transport.idleTime = idleTime }
}

// Observer counts control messages; it must be safe for concurrent use.
type Observer interface {
	// Sent reports a control message that was sent, its kind and its size in bytes.
	Sent(to spool.VM, kind string, bytes int)
	// Dropped reports a control message that found no room in the queue.
	Dropped(to spool.VM, kind string)
}

// WithObserver sets the observer of control messages.
func WithObserver(observer Observer) Option {
	return func(transport *Transport) { transport.observer = observer }
}

// ByteCounter is an Observer that counts the bytes sent.
type ByteCounter func(bytes int)

// Sent counts the bytes.
func (counter ByteCounter) Sent(_ spool.VM, _ string, bytes int) { counter(bytes) }

// Dropped counts nothing.
func (ByteCounter) Dropped(spool.VM, string) {}

// New returns a transport that looks up the addresses of VMs with resolve.
func New(self spool.VM, authenticator Authenticator, resolve func(spool.VM) (string, bool), options ...Option) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &Transport{
		self: self, authenticator: authenticator, resolve: resolve,
		logger: zap.NewNop(), observer: ByteCounter(func(int) {}), keepAlive: defaultKeepAlive, idleTime: defaultIdleTime,
		ctx: ctx, cancel: cancel,
		outboxes:   map[spool.VM]*outbox{},
		sessions:   map[spool.VM]*yamux.Session{},
		lastOpened: map[spool.VM]time.Time{},
		accepted:   map[*yamux.Session]struct{}{},
	}
	for _, option := range options {
		option(transport)
	}
	return transport
}

// Listen accepts connections from other proxies until Close.
func (transport *Transport) Listen(listener net.Listener, handler Handler) {
	transport.handler = handler
	transport.mutex.Lock()
	transport.listener = listener
	transport.mutex.Unlock()
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
		go guard.Run(transport.logger, func() { transport.accept(conn) }, zap.String("Part", "connection"))
	}
}

func (transport *Transport) accept(accepted net.Conn) {
	conn, from, kind, err := transport.handshake(accepted)
	if err != nil {
		transport.logger.Debug("peer connection rejected", zap.Error(err))
		_ = accepted.Close()
		return
	}
	session, err := yamux.Server(conn, transport.yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !transport.track(session) {
		return
	}
	defer transport.untrack(session)
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

func (transport *Transport) handshake(accepted net.Conn) (conn net.Conn, from spool.VM, kind byte, err error) {
	_ = accepted.SetDeadline(time.Now().Add(handshakeTimeout))
	conn, from, err = transport.authenticator.Accept(accepted)
	if err != nil {
		return nil, "", 0, err
	}
	var kindByte [1]byte
	if _, err := io.ReadFull(conn, kindByte[:]); err != nil {
		return nil, "", 0, err
	}
	return conn, from, kindByte[0], accepted.SetDeadline(time.Time{})
}

func (transport *Transport) track(session *yamux.Session) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.ctx.Err() != nil {
		_ = session.Close()
		return false
	}
	transport.accepted[session] = struct{}{}
	return true
}

func (transport *Transport) untrack(session *yamux.Session) {
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

// Send queues a control message; it is dropped if the other proxy is unreachable or the queue is full.
func (transport *Transport) Send(to spool.VM, envelope *wire.Envelope) {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.ctx.Err() != nil {
		return
	}
	outbox := transport.outboxes[to]
	if outbox == nil {
		outbox = newOutbox(transport, to)
		transport.outboxes[to] = outbox
		go outbox.run()
	}
	outbox.enqueue(envelope)
}

// Reachable returns false if the last attempt to send control messages to another proxy failed.
func (transport *Transport) Reachable(vm spool.VM) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	outbox := transport.outboxes[vm]
	return outbox == nil || !outbox.unreachable.Load()
}

// removeIfIdle removes an outbox that was unused for the idle time, and reports whether it did.
func (transport *Transport) removeIfIdle(outbox *outbox) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if outbox.queue.length() > 0 || time.Since(outbox.lastUsed) < transport.idleTime {
		return false
	}
	delete(transport.outboxes, outbox.to)
	return true
}

// closeIdle closes unused data sessions until Close.
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
			if session.NumStreams() == 0 && time.Since(transport.lastOpened[vm]) > transport.idleTime {
				_ = session.Close() // it has no open stream
				delete(transport.sessions, vm)
				delete(transport.lastOpened, vm)
			}
		}
		transport.mutex.Unlock()
	}
}

// Open opens a data stream to another proxy.
func (transport *Transport) Open(ctx context.Context, to spool.VM) (net.Conn, error) {
	transport.mutex.Lock()
	session := transport.sessions[to]
	transport.lastOpened[to] = time.Now()
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
		return nil, eris.Wrapf(err, "open stream to %s", to)
	}
	return stream, nil
}

func (transport *Transport) dial(ctx context.Context, to spool.VM, kind byte) (*yamux.Session, error) {
	address, known := transport.resolve(to)
	if !known {
		return nil, eris.Errorf("address of %s is unknown", to)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := transport.authenticator.Dial(ctx, address, to)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", to)
	}
	if _, err := conn.Write([]byte{kind}); err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "send connection kind to %s", to)
	}
	session, err := yamux.Client(conn, transport.yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(err, "open session with %s", to)
	}
	return session, nil
}

// Close closes all connections and the listener, so that the next process can listen at its address at once.
func (transport *Transport) Close() {
	transport.cancel()
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if transport.listener != nil {
		_ = transport.listener.Close()
	}
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

func (transport *Transport) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = true
	config.KeepAliveInterval = transport.keepAlive
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.StreamOpenTimeout = 5 * time.Second
	config.LogOutput = io.Discard
	return config
}

// Identify returns the VM that listens at an address.
func (transport *Transport) Identify(ctx context.Context, address string) (spool.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return transport.authenticator.Identify(ctx, address)
}

// AcceptedCount returns the number of open connections that other proxies opened.
func (transport *Transport) AcceptedCount() int {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	return len(transport.accepted)
}
