package plain

import (
	"context"
	"sync"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/pkg/spool"
)

// Dispatcher lets the listed logins in and runs their work on one server.
type Dispatcher struct {
	Server      spool.ServerSpec
	Credentials back.Credentials
	Logins      map[string]spool.Login                       // by key name
	Refuse      func(work spool.Work) *spool.Refusal         // nil refuses nothing
	Wrap        func(executor spool.Executor) spool.Executor // nil wraps nothing

	mutex     sync.Mutex
	idle      []*back.Conn
	works     []spool.Work
	sessions  map[chan spool.SessionEnd]struct{}
	executors int
}

var _ spool.Dispatcher = (*Dispatcher)(nil)

// Login returns the login of a key or says that the key is unknown.
func (dispatcher *Dispatcher) Login(key, route string) (spool.Login, *spool.Refusal) {
	login, found := dispatcher.Logins[key]
	if !found {
		return spool.Login{}, &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeBadKey, Message: "unknown key"}
	}
	if login.Route.Name != route {
		return spool.Login{}, &spool.Refusal{
			Verdict: spool.VerdictNotRun,
			Code:    spool.CodeUnknownRoute,
			Message: "unknown route",
		}
	}
	return login, nil
}

// Attach registers a session for End.
func (dispatcher *Dispatcher) Attach(spool.Login) (endings <-chan spool.SessionEnd, detach func()) {
	channel := make(chan spool.SessionEnd, 2)
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.sessions == nil {
		dispatcher.sessions = map[chan spool.SessionEnd]struct{}{}
	}
	dispatcher.sessions[channel] = struct{}{}
	return channel, func() {
		dispatcher.mutex.Lock()
		defer dispatcher.mutex.Unlock()
		delete(dispatcher.sessions, channel)
	}
}

// End ends all sessions.
func (dispatcher *Dispatcher) End(ending spool.SessionEnd) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for channel := range dispatcher.sessions {
		channel <- ending
	}
}

// Works returns what was asked for so far.
func (dispatcher *Dispatcher) Works() []spool.Work {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return append([]spool.Work(nil), dispatcher.works...)
}

// Executors returns the number of open executors.
func (dispatcher *Dispatcher) Executors() int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.executors
}

// Idle returns the number of connections that wait for work.
func (dispatcher *Dispatcher) Idle() int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return len(dispatcher.idle)
}

// Begin opens an executor over an idle or a new connection.
func (dispatcher *Dispatcher) Begin(ctx context.Context, work spool.Work) (spool.Executor, error) {
	dispatcher.mutex.Lock()
	if len(dispatcher.works) < maxWorks {
		dispatcher.works = append(dispatcher.works, work)
	}
	dispatcher.mutex.Unlock()
	if dispatcher.Refuse != nil {
		if refusal := dispatcher.Refuse(work); refusal != nil {
			return nil, refusal
		}
	}
	conn, err := dispatcher.take(ctx)
	if err != nil {
		return nil, &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, Message: err.Error()}
	}
	opened := &executor{Conn: conn, gate: dispatcher}
	if dispatcher.Wrap != nil {
		return dispatcher.Wrap(opened), nil
	}
	return opened, nil
}

const maxWorks = 1000

func (dispatcher *Dispatcher) take(ctx context.Context) (*back.Conn, error) {
	dispatcher.mutex.Lock()
	dispatcher.executors++
	if last := len(dispatcher.idle) - 1; last >= 0 {
		conn := dispatcher.idle[last]
		dispatcher.idle = dispatcher.idle[:last]
		dispatcher.mutex.Unlock()
		return conn, nil
	}
	dispatcher.mutex.Unlock()
	conn, err := back.Dial(ctx, dispatcher.Server, dispatcher.Credentials)
	if err != nil {
		dispatcher.give(nil)
	}
	return conn, err
}

func (dispatcher *Dispatcher) give(conn *back.Conn) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.executors--
	if conn != nil {
		dispatcher.idle = append(dispatcher.idle, conn)
	}
}

type executor struct {
	*back.Conn
	gate *Dispatcher
}

// Close resets the connection and keeps it unless it is broken.
func (executor *executor) Close() {
	if executor.Broken() || executor.Reset(context.Background()) != nil {
		executor.Conn.Close()
		executor.gate.give(nil)
		return
	}
	executor.gate.give(executor.Conn)
}
