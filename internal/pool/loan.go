package pool

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/pkg/spool"
)

// ErrServerLost says that a lender's connection to the server broke.
var ErrServerLost = eris.New("the lender's connection to the server broke")

// ConnState is what a connection holds at its server.
type ConnState struct {
	Values         map[string]string
	Prepared       map[string]string // name on the connection of each prepared shape
	StatementCount int               // prepared statements named so far
}

// BorrowedLink is a connection that another proxy lends.
type BorrowedLink interface {
	spool.ServerConn
	// Return gives the connection back; the lender waits for answers that are owed.
	Return() error
}

// Loan is a lent connection and what is known of it.
type Loan struct {
	BorrowedLink
	ConnState
	Term spool.Term // newest one that the lender knows
}

// LoanRequest names a connection to borrow; the lender finds the address.
type LoanRequest struct {
	spool.ServerTarget
	Values      map[string]string
	IdleTimeout time.Duration // longest wait for an answer or for the next command
}

// Lenders are the other proxies that lend connections.
type Lenders interface {
	// Homes returns the proxies near a server that gather a team's connections to it, best first, down to this one.
	PreferredLenders(server spool.Server, domain spool.Domain, team spool.Team) []spool.VM
	// Borrow returns a connection of another proxy.
	Borrow(ctx context.Context, from spool.VM, request LoanRequest) (*Loan, error)
}

// nobody lends nothing.
type nobody struct{}

// Homes returns none.
func (nobody) PreferredLenders(spool.Server, spool.Domain, spool.Team) []spool.VM { return nil }

// Borrow fails.
func (nobody) Borrow(context.Context, spool.VM, LoanRequest) (*Loan, error) {
	return nil, eris.New("no proxy lends connections")
}

// loanMargin is kept beyond the longest wait of a session, so that the borrower gives up before the lender.
const loanMargin = 2 * time.Second

// lender returns the proxy to borrow a connection from, or none if one is to be opened here.
func (pool *Pool) lender(server *server, want *Request) spool.VM {
	for _, vm := range pool.lenders.PreferredLenders(server.spec.Server, server.spec.Domain, want.Team) {
		if !slices.Contains(want.refused, vm) {
			return vm
		}
	}
	return ""
}

// borrow takes a loan on a grant, or returns nil if the proxy lends none.
func (pool *Pool) borrow(ctx context.Context, want Request, granted grant) *Conn {
	request := LoanRequest{
		ServerTarget: spool.ServerTarget{Group: want.Group, Server: granted.server.spec.Server, Team: want.Team},
		Values:       want.Values, IdleTimeout: want.IdleTimeout + loanMargin,
	}
	loan, err := pool.lenders.Borrow(ctx, granted.lender, request)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if err != nil {
		granted.server.borrowed--
		event.Log(pool.logger, event.BorrowFailed, zap.String("Lender", string(granted.lender)),
			zap.String("Group", string(want.Group)), zap.String("Server", string(granted.server.spec.Server)),
			zap.String("Team", string(want.Team)), event.Cause(err))
		return nil
	}
	group := pool.group(want.Group)
	group.term = max(group.term, loan.Term)
	return &Conn{
		ServerConn: loan, server: granted.server, team: want.Team, loan: loan, lender: granted.lender,
		values: loan.Values, prepared: loan.Prepared, names: loan.StatementCount,
	}
}

// giveBack ends a loan.
func (pool *Pool) giveBack(conn *Conn) {
	pool.mutex.Lock()
	conn.server.borrowed--
	pool.mutex.Unlock()
	if conn.broken {
		_ = conn.loan.Close() // the lender closes its connection too
		return
	}
	_ = conn.loan.Return() // on a failure the lender sees the stream's end
}

// Lend returns a connection for another proxy, without waiting for a free one, and the newest term of its group.
func (pool *Pool) Lend(ctx context.Context, request LoanRequest) (*Conn, spool.Term, error) {
	want := Request{Group: request.Group, Team: request.Team, Values: request.Values}
	for {
		granted, term, err := pool.spare(request.Server, want)
		if err != nil {
			return nil, 0, err
		}
		if granted.conn == nil {
			conn, err := pool.open(ctx, want, granted)
			return conn, term, err
		}
		if granted.conn.owed > 0 || !granted.conn.Stale() {
			return granted.conn, term, nil
		}
		granted.conn.MarkBroken()
		pool.Release(granted.conn)
	}
}

// spare reserves a connection to one server if one is free at once.
func (pool *Pool) spare(id spool.Server, want Request) (grant, spool.Term, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	group := pool.group(want.Group)
	server := group.servers[id]
	if server == nil || !pool.usable(server, pool.timers.Now()) {
		return grant{}, 0, eris.Errorf("server %s is not usable here", id)
	}
	granted, possible := pool.reserveOwn(server, &want)
	if !possible {
		return grant{}, 0, eris.Errorf("all connections to server %s are in use", id)
	}
	return granted, group.term, nil
}

// State returns what the connection holds at its server.
func (conn *Conn) State() ConnState {
	return ConnState{Values: conn.values, Prepared: conn.prepared, StatementCount: conn.names}
}

// RecordCommands keeps track of what a borrower's commands change at the server.
func (conn *Conn) RecordCommands(commands []spool.Command) {
	for _, command := range commands {
		switch command.Verb {
		case spool.VerbReset:
			conn.values, conn.prepared = map[string]string{}, map[string]string{}
		case spool.VerbSet:
			conn.values[command.Name] = command.Text
		case spool.VerbPrepare:
			conn.names++
			conn.prepared[command.Text] = command.Name
		}
	}
}

// serverFault tells if a failure on a connection is the server's and not that of a lender.
func (conn *Conn) serverFault(cause error) bool {
	if errors.Is(cause, context.Canceled) {
		return false
	}
	return conn.loan == nil || errors.Is(cause, ErrServerLost)
}
