package regsrv

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"
)

const (
	defaultSlots       = 3
	defaultConnections = 20
	readHeaderTimeout  = 5 * time.Second
)

// Server is the stand-in; its zero value is not usable, call New.
type Server struct {
	address        string
	controlAddress string
	user           string
	password       string
	cleartext      bool
	connections    int
	firstTerm      spool.Term
	firstFollow    string
	credentials    scram.StoredCredentials

	store    *store
	seen     seen
	slots    chan struct{}
	listener net.Listener
	control  *http.Server
	controls net.Listener
	context  context.Context
	stop     context.CancelFunc

	mutex       sync.Mutex
	faults      faults
	sessions    map[uint32]*session
	lastSession uint32
	following   context.CancelFunc
}

// Option configures a Server.
type Option func(server *Server)

// WithAddress sets the address for clients; the default is a free port on the loopback.
func WithAddress(address string) Option {
	return func(server *Server) { server.address = address }
}

// WithControlAddress sets the address of the HTTP control port; without it there is none.
func WithControlAddress(address string) Option {
	return func(server *Server) { server.controlAddress = address }
}

// WithLogin sets the one user and password that the server accepts.
func WithLogin(user, password string) Option {
	return func(server *Server) { server.user, server.password = user, password }
}

// WithCleartext makes the server ask for the password in clear instead of SCRAM-SHA-256.
func WithCleartext() Option {
	return func(server *Server) { server.cleartext = true }
}

// WithSlots sets how many statements execute at once; others wait.
func WithSlots(slots int) Option {
	return func(server *Server) { server.slots = make(chan struct{}, slots) }
}

// WithConnections sets the limit of connections, not counting replicas.
func WithConnections(connections int) Option {
	return func(server *Server) { server.connections = connections }
}

// WithConnectDelay sets the cost of a new connection.
func WithConnectDelay(delay time.Duration) Option {
	return func(server *Server) { server.faults.ConnectDelay = delay }
}

// WithLag sets how far the server stays behind its primary.
func WithLag(lag time.Duration) Option {
	return func(server *Server) { server.faults.Lag = lag }
}

// WithPrimary makes the server start as primary of a term.
func WithPrimary(term spool.Term) Option {
	return func(server *Server) { server.firstTerm = term }
}

// WithFollow makes the server start as replica of the primary at an address.
func WithFollow(address string) Option {
	return func(server *Server) { server.firstFollow = address }
}

// New returns a server that does not listen yet.
func New(options ...Option) *Server {
	server := &Server{
		address:     "127.0.0.1:0",
		user:        "spool",
		password:    "spool",
		connections: defaultConnections,
		store:       newStore(),
		slots:       make(chan struct{}, defaultSlots),
		sessions:    map[uint32]*session{},
	}
	for _, option := range options {
		option(server)
	}
	server.context, server.stop = context.WithCancel(context.Background())
	return server
}

// Start listens and serves in the background; it fails if an address is taken.
func (server *Server) Start() error {
	if err := server.prepareCredentials(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return eris.Wrapf(err, "listening on %q", server.address)
	}
	server.listener = listener
	if err := server.startControl(); err != nil {
		_ = listener.Close()
		return err
	}
	if server.firstTerm > 0 {
		if _, err := server.store.promote(server.firstTerm); err != nil {
			return eris.Wrap(err, "starting as primary")
		}
	}
	if server.firstFollow != "" {
		server.startFollowing(0, 0, server.firstFollow)
	}
	go server.accept()
	return nil
}

// Close ends the server at once, as a kill would.
func (server *Server) Close() {
	server.stop()
	_ = server.listener.Close()
	if server.control != nil {
		_ = server.control.Close()
	}
	server.cutSessions(func(*session) bool { return true })
}

// Address returns the address for clients.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// ControlURL returns the base URL of the control port.
func (server *Server) ControlURL() string {
	return "http://" + server.controls.Addr().String()
}

// Log returns every write that the server holds.
func (server *Server) Log() []Applied {
	return server.store.applied()
}

// Seen returns what clients sent so far.
func (server *Server) Seen() Seen {
	return server.seen.snapshot()
}

func (server *Server) accept() {
	for {
		connection, err := server.listener.Accept()
		if err != nil {
			return
		}
		go server.serve(connection)
	}
}

func (server *Server) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	session := newSession(server, connection)
	if !session.start() {
		return
	}
	defer server.remove(session)
	session.loop()
}

// add registers a session, gives it an identity and fails beyond the limit of connections or while cut.
func (server *Server) add(session *session) error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	cut := server.faults.CutClients
	if session.replica {
		cut = server.faults.CutPeers
	}
	if cut {
		return net.ErrClosed
	}
	count := 0
	for _, other := range server.sessions {
		if !other.replica {
			count++
		}
	}
	if !session.replica && count >= server.connections {
		return errTooMany
	}
	server.lastSession++
	session.id = server.lastSession
	server.sessions[session.id] = session
	if !session.replica {
		server.seen.countConnections(count + 1)
	}
	return nil
}

func (server *Server) remove(session *session) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session.id)
}

func (server *Server) cutSessions(wanted func(*session) bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, session := range server.sessions {
		if wanted(session) {
			_ = session.connection.Close()
		}
	}
}

// cancel cancels the statement that runs on a session, if the secret fits.
func (server *Server) cancel(id uint32, secret []byte) {
	server.mutex.Lock()
	session := server.sessions[id]
	server.mutex.Unlock()
	if session != nil && string(secret) == string(secretOf(id)) {
		session.cancelStatement()
	}
}
