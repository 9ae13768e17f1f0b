package node

import (
	"context"
	"time"

	"corianderspool.example/spool/internal/leader"
	"corianderspool.example/spool/pkg/spool"
)

const (
	defaultTimeout   = 30 * time.Second
	executionReserve = 250 * time.Millisecond // part of a request's timeout kept for its execution after admission
)

// Login returns the key and route of a new caller, or the reason why the caller is refused.
func (node *Node) Login(key, route string) (spool.Login, *spool.Refusal) {
	if node.leaving.Load() {
		return spool.Login{}, &spool.Refusal{Code: spool.CodeShutdown, Message: "the proxy is shutting down"}
	}
	login, refusal := node.snapshot.Load().Authorize(key, route)
	if refusal == nil {
		refusal = node.checkKeyFreshness(login.Route)
	}
	return login, refusal
}

// checkKeyFreshness refuses keys while this proxy may have missed their withdrawal; open routes need no key.
func (node *Node) checkKeyFreshness(route spool.RouteSpec) *spool.Refusal {
	if route.Open || node.keysFresh.Load() {
		return nil
	}
	return &spool.Refusal{
		Verdict: spool.VerdictNotRun, Code: spool.CodeNoPrimary, RetryAfter: refusalRetryAfter,
		Message: "the proxy is cut off from the platform and from most other proxies",
	}
}

// Attach registers a connected session; the channel delivers requests to end it.
func (node *Node) Attach(login spool.Login) (sessionEnds <-chan spool.SessionEnd, detach func()) {
	entry := node.sessions.add(login)
	entry.endIfRefused(node.snapshot.Load()) // the key may have been withdrawn since the login
	return entry.sessionEnds, func() { node.sessions.remove(entry) }
}

// admit checks the session's key and waits for its team's rate limit; errors are *spool.Refusal with VerdictNotRun.
func (node *Node) admit(ctx context.Context, work spool.Work) (spool.Executor, error) {
	snapshot := node.snapshot.Load()
	if refusal := snapshot.CheckLogin(work.Session.Login); refusal != nil {
		return nil, refusal
	}
	route, _ := snapshot.Route(work.Session.Login.Route.Name)
	if refusal := node.checkKeyFreshness(route); refusal != nil {
		return nil, refusal
	}
	timeout := node.requestTimeout(route, work)
	deadline := node.timers.Now().Add(timeout)
	admitBy := deadline.Add(-min(executionReserve, timeout/2))
	if refusal := node.limiter(work.Session.Login.Team).admit(ctx, admitBy); refusal != nil {
		return nil, refusal
	}
	return &executor{node: node, group: route.Group, request: newRequest(route, work, deadline), timeout: timeout}, nil
}

func (node *Node) requestTimeout(route spool.RouteSpec, work spool.Work) time.Duration {
	timeout := time.Duration(route.Timeout)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if !work.Deadline.IsZero() {
		timeout = min(timeout, time.Until(work.Deadline))
	}
	return timeout
}

func newRequest(route spool.RouteSpec, work spool.Work, deadline spool.Instant) leader.Request {
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
