package node

import (
	"context"
	"time"

	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultTimeout = 30 * time.Second
	runReserve     = 250 * time.Millisecond // left of a request's time once its team's rate admits it
)

// Login finds the key and route of a new caller or says why it may not enter.
func (node *Node) Login(key, route string) (spool.Login, *spool.Refusal) {
	if node.leaving.Load() {
		return spool.Login{}, &spool.Refusal{Code: spool.CodeShutdown, Message: "the proxy is shutting down"}
	}
	login, refusal := node.snapshot.Load().Authorize(key, route)
	if refusal == nil {
		refusal = node.checkTrust(login.Route)
	}
	return login, refusal
}

// checkTrust refuses keys while this proxy may have missed their withdrawal.
func (node *Node) checkTrust(route spool.RouteSpec) *spool.Refusal {
	if route.Open || node.trusted.Load() {
		return nil
	}
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: movedRetryAfter,
		Message: "the proxy is cut off from the platform and from most other proxies",
	}
}

// Attach registers a connected session.
func (node *Node) Attach(login spool.Login) (endings <-chan spool.SessionEnd, detach func()) {
	entry := node.sessions.add(login)
	entry.check(node.snapshot.Load()) // the key may have been withdrawn since the login
	return entry.endings, func() { node.sessions.remove(entry) }
}

// admit admits work against its team's rate.
func (node *Node) admit(ctx context.Context, work spool.Work) (spool.Executor, error) {
	snapshot := node.snapshot.Load()
	if refusal := snapshot.CheckLogin(work.Session.Login); refusal != nil {
		return nil, refusal
	}
	route, _ := snapshot.Route(work.Session.Login.Route.Name)
	if refusal := node.checkTrust(route); refusal != nil {
		return nil, refusal
	}
	timeout := node.timeout(route, work)
	deadline := node.timers.Now().Add(timeout)
	admitBy := deadline.Add(-min(runReserve, timeout/2))
	if refusal := node.limiter(work.Session.Login.Team).admit(ctx, admitBy); refusal != nil {
		return nil, refusal
	}
	return &executor{node: node, group: route.Group, request: request(route, work, deadline), timeout: timeout}, nil
}

func (node *Node) timeout(route spool.RouteSpec, work spool.Work) time.Duration {
	timeout := time.Duration(route.Timeout)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if !work.Deadline.IsZero() {
		timeout = min(timeout, time.Until(work.Deadline))
	}
	return timeout
}

func request(route spool.RouteSpec, work spool.Work, deadline spool.Instant) leader.Request {
	session := work.Session
	maxAge := time.Duration(route.MaxAge)
	if session.MaxAge > 0 {
		maxAge = session.MaxAge
	}
	return leader.Request{
		Team: session.Login.Team, Token: session.Token, Tokenless: session.Token.Term == 0,
		Read: work.Read, Idempotent: work.Idempotent, Durable: route.Durable,
		MaxAge: maxAge, Deadline: deadline,
	}
}
