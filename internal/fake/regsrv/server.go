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

// Server is an in-memory backend server; use New, since the zero value is not usable.
type Server struct {
	address        string
	controlAddress string
	user           string
	password       string
	cleartext      bool
	maxConnections int
	initialTerm    spool.Term
	initialPrimary string
	credentials    scram.StoredCredentials

	store           *store
	recorder        activityRecorder
	slots           chan struct{}
	listener        net.Listener
	controlServer   *http.Server
	controlListener net.Listener
	context         context.Context
	cancel          context.CancelFunc

	mutex           sync.Mutex
	faults          faults
	sessions        map[uint32]*session
	lastSessionID   uint32
	stopReplication context.CancelFunc
}

// Option configures a Server.
type Option func(server *Server)

// WithAddress sets the listen address for clients; the default is a free port on the loopback interface.
func WithAddress(address string) Option {
	return func(server *Server) { server.address = address }
}

// WithControlAddress sets the listen address of the HTTP control port; the default is no control port.
func WithControlAddress(address string) Option {
	return func(server *Server) { server.controlAddress = address }
}

// WithLogin sets the only user and password that the server accepts.
func WithLogin(user, password string) Option {
	return func(server *Server) { server.user, server.password = user, password }
}

// WithCleartextPassword makes the server request a cleartext password instead of SCRAM-SHA-256.
func WithCleartextPassword() Option {
	return func(server *Server) { server.cleartext = true }
}

// WithSlots sets how many statements execute concurrently; further ones wait.
func WithSlots(slots int) Option {
	return func(server *Server) { server.slots = make(chan struct{}, slots) }
}

// WithConnectionLimit sets the limit of client connections; replication connections are not counted.
func WithConnectionLimit(connections int) Option {
	return func(server *Server) { server.maxConnections = connections }
}

// WithConnectDelay sets how long each new client connection is delayed.
func WithConnectDelay(delay time.Duration) Option {
	return func(server *Server) { server.faults.ConnectDelay = delay }
}

// WithLag sets the replication lag behind the primary.
func WithLag(lag time.Duration) Option {
	return func(server *Server) { server.faults.Lag = lag }
}

// WithPrimary makes the server start as primary of the given term.
func WithPrimary(term spool.Term) Option {
	return func(server *Server) { server.initialTerm = term }
}

// WithReplicaOf makes the server start as replica of the primary at the given address.
func WithReplicaOf(address string) Option {
	return func(server *Server) { server.initialPrimary = address }
}

// New returns a server that does not listen until Start.
func New(options ...Option) *Server {
	server := &Server{
		address:        "127.0.0.1:0",
		user:           "spool",
		password:       "spool",
		maxConnections: defaultConnections,
		store:          newStore(),
		slots:          make(chan struct{}, defaultSlots),
		sessions:       map[uint32]*session{},
	}
	for _, option := range options {
		option(server)
	}
	server.context, server.cancel = context.WithCancel(context.Background())
	return server
}

// Start listens and serves in the background; it fails if an address is already in use.
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
	if server.initialTerm > 0 {
		if _, err := server.store.promote(server.initialTerm); err != nil {
			return eris.Wrap(err, "starting as primary")
		}
	}
	if server.initialPrimary != "" {
		server.startFollowing(0, 0, server.initialPrimary)
	}
	go server.accept()
	return nil
}

// Close stops the server and closes all connections immediately, as if the process were killed.
func (server *Server) Close() {
	server.cancel()
	_ = server.listener.Close()
	if server.controlServer != nil {
		_ = server.controlServer.Close()
	}
	server.closeSessions(func(*session) bool { return true })
}

// Address returns the listen address for clients.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// ControlURL returns the base URL of the control port.
func (server *Server) ControlURL() string {
	return "http://" + server.controlListener.Addr().String()
}

// Log returns every write in the replication log.
func (server *Server) Log() []AppliedWrite {
	return server.store.appliedWrites()
}

// Activity returns what clients have sent so far.
func (server *Server) Activity() Activity {
	return server.recorder.snapshot()
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
	if !session.performStartup() {
		return
	}
	defer server.removeSession(session)
	session.serve()
}

// addSession registers a session and assigns its id; it fails at the connection limit or while CutClients or CutPeers
// applies to it.
func (server *Server) addSession(session *session) error {
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
	if !session.replica && count >= server.maxConnections {
		return errTooManyConnections
	}
	server.lastSessionID++
	session.id = server.lastSessionID
	server.sessions[session.id] = session
	if !session.replica {
		server.recorder.recordConnections(count + 1)
	}
	return nil
}

func (server *Server) removeSession(session *session) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.sessions, session.id)
}

func (server *Server) closeSessions(match func(*session) bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, session := range server.sessions {
		if match(session) {
			_ = session.connection.Close()
		}
	}
}

// cancelSession cancels the running statement of a session if the secret key matches.
func (server *Server) cancelSession(id uint32, secret []byte) {
	server.mutex.Lock()
	session := server.sessions[id]
	server.mutex.Unlock()
	if session != nil && string(secret) == string(secretKey(id)) {
		session.cancelStatement()
	}
}
