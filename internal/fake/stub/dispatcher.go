package stub

import (
	"context"
	"sync"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/pkg/spool"
)

// Dispatcher accepts the listed logins and runs their work on one server.
type Dispatcher struct {
	Server      spool.ServerSpec
	Credentials back.Credentials
	Logins      map[string]spool.Login                       // by key name
	Refuse      func(work spool.Work) *spool.Refusal         // nil refuses nothing
	Wrap        func(executor spool.Executor) spool.Executor // nil wraps nothing

	mutex        sync.Mutex
	idle         []*back.Conn
	recordedWork []spool.Work
	sessions     map[chan spool.SessionEnd]struct{}
	executors    int
}

var _ spool.Dispatcher = (*Dispatcher)(nil)

// Login returns the login of a key, or a refusal if the key or the route is unknown.
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

// Attach registers a session; the channel receives what End sends until detach is called.
func (dispatcher *Dispatcher) Attach(spool.Login) (sessionEnds <-chan spool.SessionEnd, detach func()) {
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

// End sends a request to end to all attached sessions.
func (dispatcher *Dispatcher) End(sessionEnd spool.SessionEnd) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for channel := range dispatcher.sessions {
		channel <- sessionEnd
	}
}

// RecordedWork returns the first 1000 units of work passed to Begin.
func (dispatcher *Dispatcher) RecordedWork() []spool.Work {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return append([]spool.Work(nil), dispatcher.recordedWork...)
}

// Executors returns the number of open executors.
func (dispatcher *Dispatcher) Executors() int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.executors
}

// Idle returns the number of idle connections in the pool.
func (dispatcher *Dispatcher) Idle() int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return len(dispatcher.idle)
}

// Begin opens an executor on an idle or a new connection; it returns a refusal if Refuse does or if the server cannot be
// reached.
func (dispatcher *Dispatcher) Begin(ctx context.Context, work spool.Work) (spool.Executor, error) {
	dispatcher.mutex.Lock()
	if len(dispatcher.recordedWork) < maxRecordedWork {
		dispatcher.recordedWork = append(dispatcher.recordedWork, work)
	}
	dispatcher.mutex.Unlock()
	if dispatcher.Refuse != nil {
		if refusal := dispatcher.Refuse(work); refusal != nil {
			return nil, refusal
		}
	}
	conn, err := dispatcher.acquire(ctx)
	if err != nil {
		return nil, &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, Message: err.Error()}
	}
	opened := &executor{Conn: conn, dispatcher: dispatcher}
	if dispatcher.Wrap != nil {
		return dispatcher.Wrap(opened), nil
	}
	return opened, nil
}

const maxRecordedWork = 1000

func (dispatcher *Dispatcher) acquire(ctx context.Context) (*back.Conn, error) {
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
		dispatcher.release(nil)
	}
	return conn, err
}

func (dispatcher *Dispatcher) release(conn *back.Conn) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.executors--
	if conn != nil {
		dispatcher.idle = append(dispatcher.idle, conn)
	}
}

type executor struct {
	*back.Conn
	dispatcher *Dispatcher
}

// Close resets the connection and returns it to the pool, or closes it if it is broken or the reset fails.
func (executor *executor) Close() {
	if executor.Broken() || executor.Reset(context.Background()) != nil {
		executor.Conn.Close()
		executor.dispatcher.release(nil)
		return
	}
	executor.dispatcher.release(executor.Conn)
}
