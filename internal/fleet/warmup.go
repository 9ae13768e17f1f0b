package fleet

import (
	"slices"
	"sync"

	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// warmup issues and requests the tokens of servers that warm up; it implements pool.WarmupTokens.
type warmup struct {
	proxy   *Proxy
	mutex   sync.Mutex
	fleet   []quota.Proxy
	issuers map[spool.Server]*quota.WarmupIssuer // of the servers that this proxy issues tokens for
	tokens  map[spool.Server]*quota.WarmupTokens
}

func newWarmup(proxy *Proxy) *warmup {
	return &warmup{proxy: proxy, issuers: map[spool.Server]*quota.WarmupIssuer{}, tokens: map[spool.Server]*quota.WarmupTokens{}}
}

// setFleet sets the registered proxies, including this one. Issuers depend on registrations and not on heartbeats: the part of a
// proxy that is only silent is not given to another one.
func (warmup *warmup) setFleet(fleet []quota.Proxy) {
	warmup.mutex.Lock()
	defer warmup.mutex.Unlock()
	warmup.fleet = fleet
}

// issuersOf returns the proxies that issue a server's tokens, in the region of its failure domain if it has any; the caller
// holds the mutex.
func (warmup *warmup) issuersOf(server pool.WarmupServer) []spool.VM {
	return quota.WarmupIssuersOf(server.Server, warmup.proxy.settings.Regions[server.Domain], warmup.fleet)
}

// Available reports whether there is a token for a server, and requests tokens from its issuers if there is none.
func (warmup *warmup) Available(server pool.WarmupServer, now spool.Instant) bool {
	warmup.mutex.Lock()
	defer warmup.mutex.Unlock()
	tokens := warmup.tokens[server.Server]
	if tokens == nil {
		tokens = &quota.WarmupTokens{}
		warmup.tokens[server.Server] = tokens
	}
	if tokens.Available(now) {
		return true
	}
	number, due := tokens.Request(now)
	if !due {
		return false
	}
	request := &wire.TokenRequest{Server: string(server.Server), Tokens: quota.WarmupRequest, Sequence: number}
	for _, issuer := range warmup.issuersOf(server) {
		if issuer == warmup.proxy.settings.VM {
			tokens.Credit(number, warmup.issue(server, quota.WarmupRequest, now))
			continue
		}
		warmup.proxy.peers.transport.Send(issuer, &wire.Envelope{Body: &wire.Envelope_TokenRequest{TokenRequest: request}})
	}
	return tokens.Available(now)
}

// Take takes a token of a server.
func (warmup *warmup) Take(server spool.Server, now spool.Instant) (spool.Instant, bool) {
	warmup.mutex.Lock()
	defer warmup.mutex.Unlock()
	if tokens := warmup.tokens[server]; tokens != nil {
		return tokens.Take(now)
	}
	return 0, false
}

// issue returns how many tokens this proxy issues now, none if it is not an issuer; the caller holds the mutex.
func (warmup *warmup) issue(server pool.WarmupServer, wanted float64, now spool.Instant) float64 {
	if !slices.Contains(warmup.issuersOf(server), warmup.proxy.settings.VM) {
		delete(warmup.issuers, server.Server) // it begins with a pause if it becomes one again
		return 0
	}
	issuer := warmup.issuers[server.Server]
	if issuer == nil {
		issuer = quota.NewWarmupIssuer(now)
		warmup.issuers[server.Server] = issuer
	}
	return issuer.Issue(wanted, server.PerSecond, now)
}

// answer answers another proxy's request for tokens.
func (warmup *warmup) answer(from spool.VM, request *wire.TokenRequest) {
	server, known := warmup.proxy.pool.WarmupServer(spool.Server(request.Server)) // before locking: the pool calls Available under its mutex
	if !known {
		return
	}
	warmup.mutex.Lock()
	issued := warmup.issue(server, request.Tokens, warmup.proxy.timers.Now())
	warmup.mutex.Unlock()
	if issued <= 0 {
		return
	}
	transfer := &wire.TokenTransfer{
		Server: request.Server, Tokens: issued, LifeNanos: int64(quota.WarmupTokenLifetime), Sequence: request.Sequence,
	}
	warmup.proxy.peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_TokenTransfer{TokenTransfer: transfer}})
}

// credit adds the tokens that an issuer sent.
func (warmup *warmup) credit(transfer *wire.TokenTransfer) {
	warmup.mutex.Lock()
	defer warmup.mutex.Unlock()
	if tokens := warmup.tokens[spool.Server(transfer.Server)]; tokens != nil {
		tokens.Credit(transfer.Sequence, transfer.Tokens)
	}
}
