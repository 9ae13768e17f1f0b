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
	teamHomes   = 2                      // proxies that gather a team's connections to a server; a hot team overflows to the second
	loanTimeout = 300 * time.Millisecond // a round trip between regions, and the handshake of a busy server
	suspectFor  = time.Second            // a proxy that did not answer is not asked; two heartbeats show if it is live
)

// loans borrows connections from other proxies; it implements pool.Lenders.
type loans struct {
	proxy    *Proxy
	mutex    sync.Mutex
	suspects map[spool.VM]spool.Instant // when proxies last did not answer
}

func newLoans(proxy *Proxy) *loans {
	return &loans{proxy: proxy, suspects: map[spool.VM]spool.Instant{}}
}

// Homes returns the proxies of the server's region that gather a team's connections to it, best first, down to this one.
func (loans *loans) PreferredLenders(server spool.Server, domain spool.Domain, team spool.Team) []spool.VM {
	return loans.proxy.members.homes(string(server)+"\x00"+string(team), domain, loans.suspected)
}

func (loans *loans) suspected(vm spool.VM, now spool.Instant) bool {
	loans.mutex.Lock()
	defer loans.mutex.Unlock()
	since, known := loans.suspects[vm]
	return known && now.Sub(since) < suspectFor
}

// Borrow asks a proxy for a connection.
func (loans *loans) Borrow(ctx context.Context, from spool.VM, request pool.LoanRequest) (*pool.Loan, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	stream, err := loans.proxy.peers.transport.Open(ctx, from)
	if err != nil {
		loans.suspect(from)
		return nil, err
	}
	loan, err := lend.Borrow(stream, request, deadline)
	if err != nil && !errors.Is(err, lend.ErrRefused) {
		loans.suspect(from)
	}
	return loan, err
}

func (loans *loans) suspect(vm spool.VM) {
	loans.mutex.Lock()
	defer loans.mutex.Unlock()
	loans.suspects[vm] = loans.proxy.timers.Now()
}
