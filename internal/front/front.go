package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Front accepts connections from callers and serves their sessions.
type Front struct {
	settings
	dispatcher     spool.Dispatcher
	mockVerifiers  mockVerifiers
	startupSlots   chan struct{} // one element per connection that has not logged in
	cancelRegistry cancelRegistry
	mutex          sync.Mutex
	listeners      map[net.Listener]struct{}
	logins         map[net.Conn]struct{}
	sessions       map[*session]struct{}
	drainRefusal   *spool.Refusal // nil until Drain begins
	connections    sync.WaitGroup
}

// New returns a Front that uses dispatcher for authentication, admission and routing.
func New(dispatcher spool.Dispatcher, options ...Option) *Front {
	front := &Front{
		settings:       defaultSettings(),
		dispatcher:     dispatcher,
		mockVerifiers:  newMockVerifiers(),
		cancelRegistry: newCancelRegistry(),
		listeners:      map[net.Listener]struct{}{},
		logins:         map[net.Conn]struct{}{},
		sessions:       map[*session]struct{}{},
	}
	for _, option := range options {
		option(&front.settings)
	}
	front.startupSlots = make(chan struct{}, front.settings.maxStartups)
	return front
}

// Serve accepts connections until the listener is closed or Drain begins, and then returns nil. It returns any other
// error of the listener.
func (front *Front) Serve(listener net.Listener) error {
	if !front.addListener(listener) {
		return listener.Close()
	}
	defer front.removeListener(listener)
	for {
		socket, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept a caller connection")
		}
		front.startConnection(socket)
	}
}

func (front *Front) addListener(listener net.Listener) bool {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drainRefusal != nil {
		return false
	}
	front.listeners[listener] = struct{}{}
	return true
}

func (front *Front) removeListener(listener net.Listener) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	delete(front.listeners, listener)
}

func (front *Front) startConnection(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: front.keepAlive, Interval: front.keepAlive})
	}
	select {
	case front.startupSlots <- struct{}{}:
	default:
		refusal := &spool.Refusal{Code: spool.CodeNoSlot, Message: "too many connections are logging in"}
		front.observer.LoginRefused(socket.RemoteAddr(), refusal)
		refuse(socket, refusal)
		return
	}
	if refusal := front.trackConnection(); refusal != nil {
		<-front.startupSlots
		refuse(socket, refusal)
		return
	}
	go func() {
		defer front.connections.Done()
		front.serveConnection(socket)
	}()
}

// trackConnection registers a connection that Drain waits for; it returns a refusal once Drain has begun.
func (front *Front) trackConnection() *spool.Refusal {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drainRefusal != nil {
		return front.drainRefusal
	}
	front.connections.Add(1)
	return nil
}

// register adds a logged-in session; it returns a refusal once Drain has begun.
func (front *Front) register(session *session) *spool.Refusal {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drainRefusal != nil {
		return front.drainRefusal
	}
	front.sessions[session] = struct{}{}
	return nil
}

// beginLogin sets the startup deadline of the connection, which Drain shortens.
func (front *Front) beginLogin(socket net.Conn) *spool.Refusal {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drainRefusal != nil {
		return front.drainRefusal
	}
	front.logins[socket] = struct{}{}
	_ = socket.SetDeadline(time.Now().Add(front.startupTimeout))
	return nil
}

func (front *Front) endLogin(socket net.Conn) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	delete(front.logins, socket)
	_ = socket.SetDeadline(time.Time{})
}

func (front *Front) unregister(session *session) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	delete(front.sessions, session)
}

// Drain stops accepting connections and ends idle sessions at once, others after their transaction. When ctx ends
// first, it ends the remaining sessions immediately and returns the context's error.
func (front *Front) Drain(ctx context.Context) error {
	refusal := &spool.Refusal{
		Verdict: spool.VerdictNotRun,
		Code:    spool.CodeShutdown,
		Message: "the proxy is shutting down; connect again",
	}
	front.mutex.Lock()
	front.drainRefusal = refusal
	for listener := range front.listeners {
		_ = listener.Close()
	}
	for socket := range front.logins {
		_ = socket.SetDeadline(time.Now().Add(closeTimeout))
	}
	front.mutex.Unlock()
	front.endSessions(spool.SessionEnd{Refusal: refusal})
	done := make(chan struct{})
	go func() {
		front.connections.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		front.endSessions(spool.SessionEnd{AtOnce: true, Refusal: refusal})
		return ctx.Err()
	}
}

func (front *Front) endSessions(sessionEnd spool.SessionEnd) {
	front.mutex.Lock()
	sessions := make([]*session, 0, len(front.sessions))
	for session := range front.sessions {
		sessions = append(sessions, session)
	}
	front.mutex.Unlock()
	for _, session := range sessions {
		session.applySessionEnd(sessionEnd)
	}
}
