package pool

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// ErrWarmingUp reports that a statement was not sent because the server warms up and had no room for it in time.
var ErrWarmingUp = eris.New("the server warms up")

// warmupPoll is the time between looks for a token while a statement waits for one.
const warmupPoll = 10 * time.Millisecond

// WarmupTokens gives out the tokens that requests to a server need while it warms up, over all proxies; see quota.WarmupTokens.
type WarmupTokens interface {
	// Available reports whether there is a token for a server, and requests tokens if there is none. The pool's mutex is held.
	Available(server WarmupServer, now spool.Instant) bool
	// Take takes a token and returns when it expires, or false if there is none.
	Take(server spool.Server, now spool.Instant) (expiry spool.Instant, taken bool)
}

// WarmupServer is a server with a limit while it warms up.
type WarmupServer struct {
	Server    spool.Server
	Domain    spool.Domain
	PerSecond float64 // requests that it may get over all proxies; zero sets no limit
}

// WithWarmupTokens sets the source of tokens; the default allows every request.
func WithWarmupTokens(tokens WarmupTokens) Option {
	return func(pool *Pool) { pool.warmupTokens = tokens }
}

// Available returns true.
func (disabled) Available(WarmupServer, spool.Instant) bool { return true }

// Take returns a token that does not expire.
func (disabled) Take(spool.Server, spool.Instant) (spool.Instant, bool) { return 1 << 62, true }

// WarmupServer returns a registered server with its limit.
func (pool *Pool) WarmupServer(name spool.Server) (found WarmupServer, known bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, group := range pool.groups {
		if server := group.servers[name]; server != nil {
			return group.warmupServer(server), true
		}
	}
	return WarmupServer{}, false
}

func (group *group) warmupServer(server *server) WarmupServer {
	return WarmupServer{Server: server.name, Domain: server.spec.Domain, PerSecond: group.limits.WarmupPerSecond}
}

// warmupReport is what a server's entry says of its warm-up.
type warmupReport struct {
	startMillis int64
	left        time.Duration
}

// recordWarmup records until when a server warms up after its registration changed: it reports the remaining time itself, also
// when it became cold without a restart, and the time since its start is known by the clocks of both.
func (pool *Pool) recordWarmup(group *group, server *server, now spool.Instant) {
	wasCold := group.cold(server, now)
	if reported := (warmupReport{server.spec.StartMillis, server.spec.Warmup}); reported != server.warmupReport {
		// The same remaining time in a later entry or configuration is the one that was reported before.
		server.warmupReport = reported
		server.coldUntil = max(server.coldUntil, now.Add(reported.left))
	}
	if server.spec.StartMillis != 0 {
		age := max(0, time.Since(time.UnixMilli(server.spec.StartMillis)))
		server.coldUntil = max(server.coldUntil, now.Add(group.limits.Warmup-age))
	}
	pool.coldUntil.Store(max(pool.coldUntil.Load(), int64(server.coldUntil)))
	if group.cold(server, now) && !wasCold {
		event.Log(pool.logger, event.ServerWarmingUp, zap.String("Group", string(group.name)), zap.String("Server", string(server.name)),
			zap.Float64("PerSecond", group.limits.WarmupPerSecond), zap.Duration("Remaining", server.coldUntil.Sub(now)))
	}
}

// cold reports whether a server warms up and requests to it are limited.
func (group *group) cold(server *server, now spool.Instant) bool {
	return group.limits.WarmupPerSecond > 0 && now < server.coldUntil
}

// reserveCold is like reserve for a server that warms up: it needs a token as well.
func (pool *Pool) reserveCold(group *group, server *server, request *Request, now spool.Instant) (grant, bool) {
	if !pool.warmupTokens.Available(group.warmupServer(server), now) {
		return grant{}, false
	}
	granted, possible := pool.reserve(server, request)
	if possible {
		granted.warmupExpiry, _ = pool.warmupTokens.Take(server.name, now) // without one the statement waits for the next
	}
	return granted, possible
}

// AwaitWarmup waits until a statement may be sent to a server that warms up, and reports whether it waited; it returns
// ErrWarmingUp if the deadline passes before.
func (pool *Pool) AwaitWarmup(conn *Conn, now spool.Instant, deadline time.Time) (waited bool, err error) {
	if int64(now) >= pool.coldUntil.Load() {
		return false, nil
	}
	expiry := conn.warmupExpiry
	conn.warmupExpiry = 0
	for {
		if pool.takeWarmup(conn.server, expiry) {
			return waited, nil
		}
		if time.Now().Add(warmupPoll).After(deadline) {
			return waited, ErrWarmingUp
		}
		time.Sleep(warmupPoll)
		waited = true
	}
}

// takeWarmup reports whether a statement may be sent now: the server is warm, the token that came with the connection is still
// valid, or another one is taken.
func (pool *Pool) takeWarmup(server *server, expiry spool.Instant) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group, now := pool.group(server.group), pool.timers.Now()
	if !group.cold(server, now) || now < expiry {
		return true
	}
	if !pool.warmupTokens.Available(group.warmupServer(server), now) {
		return false
	}
	_, taken := pool.warmupTokens.Take(server.name, now)
	return taken
}
