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
	suspectDuration = time.Second            // skips a proxy that did not answer; two heartbeats show whether it is live
)

// borrower borrows connections from other proxies; it implements pool.Lenders.
type borrower struct {
	proxy    *Proxy
	mutex    sync.Mutex
	suspects map[spool.VM]spool.Instant // when each proxy last failed to answer
}

func newBorrower(proxy *Proxy) *borrower {
	return &borrower{proxy: proxy, suspects: map[spool.VM]spool.Instant{}}
}

// PreferredLenders returns the proxies of the server's region that pool a team's connections to it, best first. If this
// proxy is one of them, only those that rank higher are returned.
func (borrower *borrower) PreferredLenders(server spool.Server, domain spool.Domain, team spool.Team) []spool.VM {
	return borrower.proxy.members.topRanked(string(server)+"\x00"+string(team), domain, borrower.suspected)
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
}
