package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// Limiter admits operations of teams.
type Limiter interface {
	// Admit holds a token of the team for an operation or refuses.
	Admit(ctx context.Context, team spool.Team) *spool.Refusal
	// Settle ends the hold: the token is spent if the operation reached a server, else it comes back.
	Finish(team spool.Team, reached bool)
}

// Observer is told what became of statements.
type Observer interface {
	Finished(team spool.Team, refusal *spool.Refusal, took time.Duration)
}

// Engine runs sessions.
type Engine struct {
	pool     *pool.Pool
	timers   spool.Timers
	logger   *zap.Logger
	limiter  Limiter
	observer Observer
	config   atomic.Pointer[spool.FleetConfig]
	draining atomic.Bool
	arrived  chan struct{} // closed once there is a deployment

	mutex    sync.Mutex
	sessions map[*session]struct{}
}

// Option changes an engine under construction.
type Option func(*Engine)

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option { return func(engine *Engine) { engine.logger = logger } }

// WithObserver sets who is told what became of statements.
func WithObserver(observer Observer) Option {
	return func(engine *Engine) { engine.observer = observer }
}

// New returns an engine without a deployment.
func New(pool *pool.Pool, timers spool.Timers, limiter Limiter, options ...Option) *Engine {
	engine := &Engine{
		pool: pool, timers: timers, limiter: limiter, logger: zap.NewNop(), observer: nobody{},
		arrived: make(chan struct{}), sessions: map[*session]struct{}{},
	}
	for _, option := range options {
		option(engine)
	}
	return engine
}

type nobody struct{}

// Finished does nothing.
func (nobody) Finished(spool.Team, *spool.Refusal, time.Duration) {}

// SetConfig puts a deployment in force and ends idle sessions that it no longer allows.
func (engine *Engine) SetConfig(config *spool.FleetConfig) {
	if engine.config.Swap(config) == nil {
		close(engine.arrived)
	}
	for _, session := range engine.snapshot() {
		if !session.allowed(config) {
			session.caller.Interrupt()
		}
	}
}

// SessionCount returns how many callers are connected.
func (engine *Engine) SessionCount() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.sessions)
}

func (engine *Engine) snapshot() []*session {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	sessions := make([]*session, 0, len(engine.sessions))
	for session := range engine.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// Drain makes sessions end when they are idle; it returns when all are gone or the context ends.
func (engine *Engine) Drain(ctx context.Context) {
	engine.draining.Store(true)
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for engine.SessionCount() > 0 {
		for _, session := range engine.snapshot() {
			session.caller.Interrupt()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// CloseSessions ends the sessions that are left.
func (engine *Engine) CloseSessions() {
	for _, session := range engine.snapshot() {
		_ = session.caller.Close() // the grace is over
	}
}

// drainPeriod is the time between attempts to end sessions that were busy at the last one.
const drainPeriod = 50 * time.Millisecond

// Serve runs a caller's session until it ends and closes its connection.
func (engine *Engine) Serve(ctx context.Context, caller spool.CallerConn) {
	session := newSession(engine, caller)
	engine.mutex.Lock()
	engine.sessions[session] = struct{}{}
	engine.mutex.Unlock()
	defer func() {
		session.free()
		engine.mutex.Lock()
		delete(engine.sessions, session)
		engine.mutex.Unlock()
		_ = caller.Close() // the session has ended; nothing is left to send
	}()
	session.run(ctx)
}
