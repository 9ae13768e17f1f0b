package objsrv

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"corianderspool.example/spool/pkg/spool"
	"github.com/rotisserie/eris"
)

const readHeaderTimeout = 5 * time.Second

// Server is the fake object API; New returns one, its zero value is not usable.
type Server struct {
	address   string
	tokens    map[string][]string
	memberLag time.Duration
	listener  net.Listener
	http      *http.Server

	mutex      sync.Mutex
	store      store
	staleStore store // objects that stale reads return
	changed    chan struct{}
	faults     Faults
	outageEnd  time.Time
	calls      Calls
	random     *rand.Rand
}

// Option configures a Server.
type Option func(server *Server)

// WithAddress sets the address to listen on; the default is a free port on the loopback.
func WithAddress(address string) Option {
	return func(server *Server) { server.address = address }
}

// WithTokens sets the objects that each token may write: an entry is Kind/Name, or a prefix if it ends in an asterisk.
func WithTokens(tokens map[string][]string) Option {
	return func(server *Server) { server.tokens = tokens }
}

// WithMemberLag sets the delay after which changes of the list of VMs become visible.
func WithMemberLag(lag time.Duration) Option {
	return func(server *Server) { server.memberLag = lag }
}

// New returns a server that does not listen yet.
func New(options ...Option) *Server {
	server := &Server{
		address:    "127.0.0.1:0",
		store:      newStore(),
		staleStore: newStore(),
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(1, 1)),
	}
	for _, option := range options {
		option(server)
	}
	return server
}

// Start listens and serves in the background; it fails if the address is taken.
func (server *Server) Start() error {
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		return eris.Wrapf(err, "listening on %q", server.address)
	}
	server.listener = listener
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.http.Serve(listener) }()
	return nil
}

// Close stops serving and closes all connections.
func (server *Server) Close() error {
	return server.http.Close()
}

// URL returns the base URL that clients use.
func (server *Server) URL() string {
	return "http://" + server.listener.Addr().String()
}

// SetFaults replaces the injected faults; stale reads return the objects as of this call.
func (server *Server) SetFaults(faults Faults) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.faults = faults
	server.staleStore = server.store.clone()
	server.outageEnd = time.Now().Add(time.Duration(faults.DownFor))
	server.broadcast()
}

// Calls returns the numbers of calls so far.
func (server *Server) Calls() Calls {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.calls
}

// SetMembers replaces the list of VMs after the member lag; a VM that is missing becomes an object with a null body.
func (server *Server) SetMembers(members []spool.Member) {
	server.mutex.Lock()
	lag := server.memberLag
	server.mutex.Unlock()
	if lag == 0 {
		server.applyMembers(members)
		return
	}
	time.AfterFunc(lag, func() { server.applyMembers(members) })
}

// SetMemberLag changes the delay of later changes of the list of VMs.
func (server *Server) SetMemberLag(lag time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.memberLag = lag
}

func (server *Server) applyMembers(members []spool.Member) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.store.setMembers(members)
	server.broadcast()
}

// broadcast wakes all waiting watches; the caller holds the mutex.
func (server *Server) broadcast() {
	close(server.changed)
	server.changed = make(chan struct{})
}

// isDown returns whether an outage is in force; the caller holds the mutex.
func (server *Server) isDown() bool {
	return time.Now().Before(server.outageEnd)
}

// sleep waits for the duration or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
