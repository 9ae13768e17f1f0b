package plain

import (
	"context"
	"sync"

	"corianderspool.example/spool/internal/back"
	"corianderspool.example/spool/pkg/spool"
)

// Gate lets the listed logins in and runs their work on one server.
type Gate struct {
	Server      spool.ServerSpec
	Credentials back.Credentials
	Logins      map[string]spool.Login                       // by key name
	Refuse      func(work spool.Work) *spool.Refusal         // nil refuses nothing
	Wrap        func(executor spool.Executor) spool.Executor // nil wraps nothing

	mutex     sync.Mutex
	idle      []*back.Conn
	works     []spool.Work
	sessions  map[chan spool.Ending]struct{}
	executors int
}

var _ spool.Gate = (*Gate)(nil)

// Login returns the login of a key or says that the key is unknown.
func (gate *Gate) Login(key, route string) (spool.Login, *spool.Refusal) {
	login, found := gate.Logins[key]
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
func (gate *Gate) Attach(spool.Login) (endings <-chan spool.Ending, detach func()) {
	channel := make(chan spool.Ending, 2)
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.sessions == nil {
		gate.sessions = map[chan spool.Ending]struct{}{}
	}
	gate.sessions[channel] = struct{}{}
	return channel, func() {
		gate.mutex.Lock()
		defer gate.mutex.Unlock()
		delete(gate.sessions, channel)
	}
}

// End ends all sessions.
func (gate *Gate) End(ending spool.Ending) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	for channel := range gate.sessions {
		channel <- ending
	}
}

// Works returns what was asked for so far.
func (gate *Gate) Works() []spool.Work {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return append([]spool.Work(nil), gate.works...)
}

// Executors returns the number of open executors.
func (gate *Gate) Executors() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.executors
}

// Idle returns the number of connections that wait for work.
func (gate *Gate) Idle() int {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return len(gate.idle)
}

// Begin opens an executor over an idle or a new connection.
func (gate *Gate) Begin(ctx context.Context, work spool.Work) (spool.Executor, error) {
	gate.mutex.Lock()
	if len(gate.works) < maxWorks {
		gate.works = append(gate.works, work)
	}
	gate.mutex.Unlock()
	if gate.Refuse != nil {
		if refusal := gate.Refuse(work); refusal != nil {
			return nil, refusal
		}
	}
	conn, err := gate.take(ctx)
	if err != nil {
		return nil, &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, Message: err.Error()}
	}
	opened := &executor{Conn: conn, gate: gate}
	if gate.Wrap != nil {
		return gate.Wrap(opened), nil
	}
	return opened, nil
}

const maxWorks = 1000

func (gate *Gate) take(ctx context.Context) (*back.Conn, error) {
	gate.mutex.Lock()
	gate.executors++
	if last := len(gate.idle) - 1; last >= 0 {
		conn := gate.idle[last]
		gate.idle = gate.idle[:last]
		gate.mutex.Unlock()
		return conn, nil
	}
	gate.mutex.Unlock()
	conn, err := back.Dial(ctx, gate.Server, gate.Credentials)
	if err != nil {
		gate.give(nil)
	}
	return conn, err
}

func (gate *Gate) give(conn *back.Conn) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.executors--
	if conn != nil {
		gate.idle = append(gate.idle, conn)
	}
}

type executor struct {
	*back.Conn
	gate *Gate
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
