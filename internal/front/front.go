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

// Front serves callers.
type Front struct {
	settings
	dispatcher spool.Dispatcher
	mock       mockVerifiers
	startups   chan struct{}
	cancels    cancels
	mutex      sync.Mutex
	listeners  map[net.Listener]struct{}
	logins     map[net.Conn]struct{}
	sessions   map[*session]struct{}
	drain      *spool.Refusal // nil until Drain begins
	running    sync.WaitGroup
}

// New returns a Front whose decisions gate makes.
func New(dispatcher spool.Dispatcher, options ...Option) *Front {
	front := &Front{
		settings:   defaultSettings(),
		dispatcher: dispatcher,
		mock:       newMockVerifiers(),
		cancels:    newCancels(),
		listeners:  map[net.Listener]struct{}{},
		logins:     map[net.Conn]struct{}{},
		sessions:   map[*session]struct{}{},
	}
	for _, option := range options {
		option(&front.settings)
	}
	front.startups = make(chan struct{}, front.settings.startups)
	return front
}

// Serve accepts callers until the listener is closed or Drain begins, then returns nil or the listener's error.
func (front *Front) Serve(listener net.Listener) error {
	if !front.enter(listener) {
		return listener.Close()
	}
	defer front.leave(listener)
	for {
		socket, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept a caller")
		}
		front.accept(socket)
	}
}

func (front *Front) enter(listener net.Listener) bool {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drain != nil {
		return false
	}
	front.listeners[listener] = struct{}{}
	return true
}

func (front *Front) leave(listener net.Listener) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	delete(front.listeners, listener)
}

func (front *Front) accept(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: front.keepAlive, Interval: front.keepAlive})
	}
	select {
	case front.startups <- struct{}{}:
	default:
		refusal := &spool.Refusal{Code: spool.CodeNoSlot, Message: "too many connections are logging in"}
		front.observer.LoginRefused(socket.RemoteAddr(), refusal)
		refuse(socket, refusal)
		return
	}
	if refusal := front.start(); refusal != nil {
		<-front.startups
		refuse(socket, refusal)
		return
	}
	go func() {
		defer front.running.Done()
		front.serve(socket)
	}()
}

// start counts a connection that Drain waits for.
func (front *Front) start() *spool.Refusal {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drain != nil {
		return front.drain
	}
	front.running.Add(1)
	return nil
}

// register adds a logged-in session, unless the front drains.
func (front *Front) register(session *session) *spool.Refusal {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drain != nil {
		return front.drain
	}
	front.sessions[session] = struct{}{}
	return nil
}

// enterLogin bounds the time of a login; Drain shortens it.
func (front *Front) enterLogin(socket net.Conn) *spool.Refusal {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.drain != nil {
		return front.drain
	}
	front.logins[socket] = struct{}{}
	_ = socket.SetDeadline(time.Now().Add(front.startupTimeout))
	return nil
}

func (front *Front) leaveLogin(socket net.Conn) {
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

// Drain stops accepting, ends idle sessions, and the others after their transaction; when ctx ends it cuts those
// that are left and returns the context's error.
func (front *Front) Drain(ctx context.Context) error {
	refusal := &spool.Refusal{
		Verdict: spool.VerdictNotRun,
		Code:    spool.CodeShutdown,
		Message: "the proxy is shutting down; connect again",
	}
	front.mutex.Lock()
	front.drain = refusal
	for listener := range front.listeners {
		_ = listener.Close()
	}
	for socket := range front.logins {
		_ = socket.SetDeadline(time.Now().Add(farewellTimeout))
	}
	front.mutex.Unlock()
	front.end(spool.SessionEnd{Refusal: refusal})
	done := make(chan struct{})
	go func() {
		front.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		front.end(spool.SessionEnd{AtOnce: true, Refusal: refusal})
		return ctx.Err()
	}
}

func (front *Front) end(ending spool.SessionEnd) {
	front.mutex.Lock()
	sessions := make([]*session, 0, len(front.sessions))
	for session := range front.sessions {
		sessions = append(sessions, session)
	}
	front.mutex.Unlock()
	for _, session := range sessions {
		session.conclude(ending)
	}
}
