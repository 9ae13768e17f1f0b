package quota

import (
	"math"
	"time"

	"corianderspool.example/spool/pkg/spool"
)

const (
	// WarmupIssuers is how many proxies issue the tokens of a server that warms up, each an equal part, so that the loss of one
	// proxy stops only that part and no second proxy ever takes it over.
	WarmupIssuers = 3
	// WarmupTokenLifetime is how long a token is valid, counted from when it was requested. It covers a round trip between
	// regions and bounds how many tokens of earlier moments may be used together.
	WarmupTokenLifetime = 200 * time.Millisecond
	// warmupChangePause is how long a new issuer waits before it issues, within which all tokens of its predecessor expire.
	warmupChangePause     = 2 * WarmupTokenLifetime
	warmupRequestInterval = 50 * time.Millisecond // between requests for tokens of a server: a round trip between regions
	// WarmupRequest is how many tokens one request asks each issuer for; more would expire before they are used.
	WarmupRequest = 2
	// warmupBurstTime is the time of refilling whose tokens an issuer holds at most, which bounds the burst that a cold server gets
	// after a time without requests.
	warmupBurstTime = 100 * time.Millisecond
)

// WarmupIssuer issues this proxy's part of the requests that a server may get while it warms up.
type WarmupIssuer struct {
	level    float64
	filledAt spool.Instant
}

// NewWarmupIssuer returns an issuer that begins empty after a pause, in which the tokens of another issuer expire.
func NewWarmupIssuer(now spool.Instant) *WarmupIssuer {
	return &WarmupIssuer{filledAt: now.Add(warmupChangePause)}
}

// Issue returns how many of the wanted tokens are issued now; perSecond is the limit of the server over all proxies. Tokens that
// were issued up to WarmupTokenLifetime earlier are used beside later ones, so fewer are issued than the limit allows.
func (issuer *WarmupIssuer) Issue(want, perSecond float64, now spool.Instant) float64 {
	rate := perSecond / (1 + WarmupTokenLifetime.Seconds()) / WarmupIssuers
	if elapsed := now.Sub(issuer.filledAt); elapsed > 0 {
		issuer.level = min(max(1, rate*warmupBurstTime.Seconds()), issuer.level+rate*elapsed.Seconds())
		issuer.filledAt = now
	}
	issued := math.Floor(min(want, issuer.level))
	if issued <= 0 {
		return 0
	}
	issuer.level -= issued
	return issued
}

// WarmupTokens are the tokens of one server at a proxy that sends requests to it.
type WarmupTokens struct {
	expiries    []spool.Instant
	requestedAt spool.Instant
	lastNumber  uint64 // of the newest request
}

// Take takes a token and returns when it expires, or false if there is none.
func (tokens *WarmupTokens) Take(now spool.Instant) (expiry spool.Instant, taken bool) {
	tokens.expire(now)
	if len(tokens.expiries) == 0 {
		return 0, false
	}
	expiry = tokens.expiries[0]
	tokens.expiries = tokens.expiries[1:]
	return expiry, true
}

// Available reports whether there is a token.
func (tokens *WarmupTokens) Available(now spool.Instant) bool {
	tokens.expire(now)
	return len(tokens.expiries) > 0
}

// expire drops the tokens that are not valid any more; they are ordered by their expiry.
func (tokens *WarmupTokens) expire(now spool.Instant) {
	for len(tokens.expiries) > 0 && tokens.expiries[0] <= now {
		tokens.expiries = tokens.expiries[1:]
	}
}

// Request returns the number of the next request to the issuers, or false if one was sent recently.
func (tokens *WarmupTokens) Request(now spool.Instant) (number uint64, due bool) {
	if tokens.requestedAt != 0 && now.Sub(tokens.requestedAt) < warmupRequestInterval {
		return 0, false
	}
	tokens.requestedAt = now
	tokens.lastNumber++
	return tokens.lastNumber, true
}

// Credit adds the tokens that an issuer sent in answer to a request. Those of an earlier request than the newest one are dropped,
// since their expiry is not known.
func (tokens *WarmupTokens) Credit(number uint64, issued float64) {
	if number != tokens.lastNumber {
		return
	}
	for range int(min(issued, WarmupRequest)) {
		tokens.expiries = append(tokens.expiries, tokens.requestedAt.Add(WarmupTokenLifetime))
	}
}

// WarmupIssuersOf returns the proxies that issue a server's tokens: those of its region that rank first for it, or of the whole
// fleet if its region has no proxy.
func WarmupIssuersOf(server spool.Server, region string, fleet []Proxy) []spool.VM {
	eligible := make([]Proxy, 0, len(fleet))
	for _, proxy := range fleet {
		if proxy.Region == region {
			eligible = append(eligible, proxy)
		}
	}
	if len(eligible) == 0 {
		for _, proxy := range fleet {
			proxy.Region = region // so that the issuers are chosen over the whole fleet
			eligible = append(eligible, proxy)
		}
	}
	issuers := make([]spool.VM, 0, WarmupIssuers)
	for _, proxy := range topPerRegion("warmup\x00"+string(server), eligible, WarmupIssuers) {
		issuers = append(issuers, proxy.VM)
	}
	return issuers
}
