package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

const (
	maxRanked       = 2                      // proxies per subject, such as a team's connections to a server; a busy team overflows to the second
	borrowTimeout   = 300 * time.Millisecond // a round trip between regions and the handshake of a busy server
	rankingLifetime = 100 * time.Millisecond // well below the time after which a silent proxy counts as lost
	maxRankings     = 4096                   // servers times teams of a large fleet that one proxy serves at a time
	suspectDuration = time.Second            // skips a proxy that did not answer; two heartbeats show whether it is live
)

// borrower borrows connections from other proxies; it implements pool.Lenders.
type borrower struct {
	proxy    *Proxy
	mutex    sync.Mutex
	suspects map[spool.VM]spool.Instant // when each proxy last failed to answer
	ranked   map[rankedSubject]rankedLenders
}

// rankedSubject is what lenders are ranked for.
type rankedSubject struct {
	server spool.Server
	team   spool.Team
}

// rankedLenders are lenders as they ranked at an instant.
type rankedLenders struct {
	lenders []spool.VM
	at      spool.Instant
}

func newBorrower(proxy *Proxy) *borrower {
	return &borrower{proxy: proxy, suspects: map[spool.VM]spool.Instant{}, ranked: map[rankedSubject]rankedLenders{}}
}

// PreferredLenders returns the proxies of the server's region that pool a team's connections to it, best first. If this
// proxy is one of them, only those that rank higher are returned.
//
// A ranking takes time that grows with the fleet and is asked for several times a statement, so it is kept for rankingLifetime.
func (borrower *borrower) PreferredLenders(server spool.Server, domain spool.Domain, team spool.Team) []spool.VM {
	subject, now := rankedSubject{server, team}, borrower.proxy.timers.Now()
	borrower.mutex.Lock()
	known, found := borrower.ranked[subject]
	borrower.mutex.Unlock()
	if found && now.Sub(known.at) < rankingLifetime {
		return known.lenders
	}
	lenders := borrower.proxy.members.topRanked(string(server)+"\x00"+string(team), domain, borrower.suspected)
	borrower.mutex.Lock()
	defer borrower.mutex.Unlock()
	if len(borrower.ranked) >= maxRankings {
		clear(borrower.ranked)
	}
	borrower.ranked[subject] = rankedLenders{lenders, now}
	return lenders
}

func (borrower *borrower) suspected(vm spool.VM, now spool.Instant) bool {
	borrower.mutex.Lock()
	defer borrower.mutex.Unlock()
	since, known := borrower.suspects[vm]
	return known && now.Sub(since) < suspectDuration
}

// Borrow borrows a connection from a proxy. A proxy that gives no answer within borrowTimeout after the wait that was asked for
// is suspected for a while, unless the request was withdrawn.
func (borrower *borrower) Borrow(caller context.Context, from spool.VM, request pool.LoanRequest) (*pool.Loan, error) {
	ctx, cancel := context.WithTimeout(caller, request.Wait+borrowTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	stream, err := borrower.proxy.peers.transport.Open(ctx, from)
	if err != nil {
		borrower.judge(caller, from, err)
		return nil, err
	}
	loan, err := lend.Borrow(ctx, stream, request, deadline)
	if err != nil {
		borrower.judge(caller, from, err)
	}
	return loan, err
}

// judge suspects a proxy that gave no answer. One that refused has answered, and a caller that left did not wait for it.
func (borrower *borrower) judge(caller context.Context, from spool.VM, err error) {
	var refusal *pool.LoanRefusal
	if !errors.As(err, &refusal) && caller.Err() == nil {
		borrower.suspect(from)
	}
}

func (borrower *borrower) suspect(vm spool.VM) {
	borrower.mutex.Lock()
	defer borrower.mutex.Unlock()
	borrower.suspects[vm] = borrower.proxy.timers.Now()
	clear(borrower.ranked)
}
