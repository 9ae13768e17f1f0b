package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/drain"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/guard"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// Limiter limits the rate of operations of each team.
type Limiter interface {
	// Admit reserves a token of the team for an operation of a priority or refuses it; zero is the most urgent.
	Admit(ctx context.Context, team spool.Team, priority int) *spool.Refusal
	// Finish ends the reservation: the token is spent if the operation reached a server, else it is returned.
	Finish(team spool.Team, reached bool)
}

// Observer receives the outcome of each statement.
type Observer interface {
	Finished(team spool.Team, priority int, refusal *spool.Refusal, took time.Duration)
}

// Engine runs the sessions of callers.
type Engine struct {
	pool       *pool.Pool
	timers     spool.Timers
	logger     *zap.Logger
	limiter    Limiter
	observer   Observer
	config     atomic.Pointer[spool.FleetConfig]
	regions    map[spool.Domain]string
	homes      atomic.Pointer[place.HomeRegions] // nil if the configuration has none
	draining   atomic.Bool
	stopping   atomic.Pointer[drain.Schedule] // nil until the proxy is told to stop
	configured chan struct{}                  // closed when the first configuration is set

	mutex    sync.Mutex
	sessions map[*session]struct{}
}

// Option configures an engine.
type Option func(*Engine)

// WithLogger sets the logger; the default discards.
func WithLogger(logger *zap.Logger) Option { return func(engine *Engine) { engine.logger = logger } }

// WithObserver sets the observer of statements.
func WithObserver(observer Observer) Option {
	return func(engine *Engine) { engine.observer = observer }
}

// New returns an engine without a configuration.
func New(pool *pool.Pool, timers spool.Timers, limiter Limiter, options ...Option) *Engine {
	engine := &Engine{
		pool: pool, timers: timers, limiter: limiter, logger: zap.NewNop(), observer: noObserver{},
		configured: make(chan struct{}), sessions: map[*session]struct{}{},
	}
	for _, option := range options {
		option(engine)
	}
	return engine
}

type noObserver struct{}

// Finished does nothing.
func (noObserver) Finished(spool.Team, int, *spool.Refusal, time.Duration) {}

// SetConfig applies a configuration and ends idle sessions that it no longer authorizes.
func (engine *Engine) SetConfig(config *spool.FleetConfig) {
	engine.setHomes(config)
	if engine.config.Swap(config) == nil {
		close(engine.configured)
	}
	for _, session := range engine.sessionList() {
		if !session.authorized(config) {
			session.caller.Interrupt()
		}
	}
}

// SessionCount returns the number of connected callers.
func (engine *Engine) SessionCount() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return len(engine.sessions)
}

func (engine *Engine) sessionList() []*session {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	sessions := make([]*session, 0, len(engine.sessions))
	for session := range engine.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// Stop announces a planned stop: statements that may not be finished in time are refused from now on. Drain ends the sessions.
func (engine *Engine) Stop(schedule drain.Schedule) {
	engine.stopping.Store(&schedule)
	engine.draining.Store(true)
}

// Drain ends sessions as they become idle; it returns when all have ended or the context ends.
func (engine *Engine) Drain(ctx context.Context) {
	engine.draining.Store(true)
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for engine.SessionCount() > 0 {
		for _, session := range engine.sessionList() {
			session.caller.Interrupt()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// CloseSessions closes the connections of the sessions that remain at the end of a planned stop.
func (engine *Engine) CloseSessions() {
	for _, session := range engine.sessionList() {
		_ = session.caller.Close() // the grace period is over
	}
}

// drainPeriod is the interval between attempts to end sessions that were busy.
const drainPeriod = 50 * time.Millisecond

// Serve runs a caller's session until it ends, and closes its connection.
func (engine *Engine) Serve(ctx context.Context, caller spool.CallerConn) {
	session := newSession(engine, caller)
	engine.mutex.Lock()
	engine.sessions[session] = struct{}{}
	engine.mutex.Unlock()
	defer func() {
		engine.mutex.Lock()
		delete(engine.sessions, session)
		engine.mutex.Unlock()
		_ = caller.Close() // the session has ended, so there is nothing left to send
	}()
	part := zap.String("Part", "session")
	if guard.Run(engine.logger, func() { session.run(ctx) }, part) {
		session.breakConns()
	}
	guard.Run(engine.logger, session.releaseTx, part)
}
