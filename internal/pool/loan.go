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

// ErrServerLost reports that a lender lost its connection to the server.
var ErrServerLost = eris.New("lender lost its connection to the server")

// ErrUnsendable reports that commands were not sent, since a lender's stream cannot carry their text.
var ErrUnsendable = eris.New("the text is not valid UTF-8")

// ConnState is the session state of a connection at its server.
type ConnState struct {
	Values         map[string]string
	Prepared       map[string]string // statement name by statement text
	StatementCount int               // prepared statements so far, which numbers their names
}

// BorrowedConn is a connection that another proxy lends.
type BorrowedConn interface {
	spool.ServerConn
	// Return ends the loan; the lender waits for pending answers.
	Return() error
}

// Loan is a borrowed connection with its session state.
type Loan struct {
	BorrowedConn
	ConnState
	Term spool.Term // newest term that the lender knows
}

// LoanRequest describes a connection to borrow; the lender knows the server's address.
type LoanRequest struct {
	spool.ServerTarget
	Values      map[string]string
	IdleTimeout time.Duration // longest wait for an answer or for the next command
	Priority    int           // of the route; zero is the most urgent
	Wait        time.Duration // longest wait in the lender's queue; zero asks for an answer at once
}

// Lenders are the other proxies that lend connections.
type Lenders interface {
	// PreferredLenders returns the proxies near a server that pool a team's connections to it, best first; it leaves out
	// this proxy and those ranked below it.
	PreferredLenders(server spool.Server, domain spool.Domain, team spool.Team) []spool.VM
	// Borrow borrows a connection from another proxy.
	Borrow(ctx context.Context, from spool.VM, request LoanRequest) (*Loan, error)
}

// disabled stands in for lenders or a watermark source that are not configured.
type disabled struct{}

// PreferredLenders returns none.
func (disabled) PreferredLenders(spool.Server, spool.Domain, spool.Team) []spool.VM { return nil }

// Borrow fails.
func (disabled) Borrow(context.Context, spool.VM, LoanRequest) (*Loan, error) {
	return nil, eris.New("borrowing is not configured")
}

// loanMargin is added to a session's idle timeout, so that the borrower times out before the lender.
const loanMargin = 2 * time.Second

// chooseLender returns the proxy to borrow a connection from, or an empty VM if this proxy is to open one.
func (pool *Pool) chooseLender(server *server, request *Request) spool.VM {
	for _, vm := range pool.lenders.PreferredLenders(server.name, server.spec.Domain, request.Team) {
		if !slices.Contains(request.refusedBy, vm) {
			return vm
		}
	}
	return ""
}

// borrow borrows the connection that a grant allows, or returns nil if the proxy lends none, with its refusal if it gave one.
func (pool *Pool) borrow(ctx context.Context, request Request, granted grant) (*Conn, *LoanRefusal) {
	loanRequest := LoanRequest{
		ServerTarget: spool.ServerTarget{Group: request.Group, Server: granted.server.name, Team: request.Team},
		Values:       request.Values, IdleTimeout: request.IdleTimeout + loanMargin,
		Priority: request.Priority, Wait: pool.loanWait(request.Deadline),
	}
	loan, err := pool.lenders.Borrow(ctx, granted.lender, loanRequest)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if err != nil {
		granted.server.borrowed--
		event.Log(pool.logger, event.BorrowFailed, zap.String("Lender", string(granted.lender)),
			zap.String("Group", string(request.Group)), zap.String("Server", string(granted.server.name)),
			zap.String("Team", string(request.Team)), zap.Int("Priority", request.Priority),
			zap.Duration("Wait", loanRequest.Wait), event.Cause(err))
		var refusal *LoanRefusal
		_ = errors.As(err, &refusal) // otherwise the proxy gave no answer
		return nil, refusal
	}
	group := pool.group(request.Group)
	group.term = max(group.term, loan.Term)
	return &Conn{
		ServerConn: loan, pool: pool, server: granted.server, domain: granted.server.spec.Domain, team: request.Team, loan: loan, lender: granted.lender,
		values: loan.Values, prepared: loan.Prepared, statementCount: loan.StatementCount,
	}, nil
}

// returnLoan ends a loan.
func (pool *Pool) returnLoan(conn *Conn) {
	pool.mutex.Lock()
	conn.server.borrowed--
	pool.mutex.Unlock()
	if conn.broken || pool.evacuation.Load().Closed(conn.domain) {
		_ = conn.loan.Close() // makes the lender close its connection too
		return
	}
	_ = conn.loan.Return() // on a failure the lender sees the end of the stream
}

// State returns the session state of the connection.
func (conn *Conn) State() ConnState {
	return ConnState{Values: conn.values, Prepared: conn.prepared, StatementCount: conn.statementCount}
}

// RecordCommands updates the session state after the commands of a borrower.
func (conn *Conn) RecordCommands(commands []spool.Command) {
	for _, command := range commands {
		switch command.Verb {
		case spool.VerbReset:
			conn.values, conn.prepared = map[string]string{}, map[string]string{}
		case spool.VerbSet:
			conn.values[command.Name] = command.Text
		case spool.VerbPrepare:
			conn.statementCount++
			conn.prepared[command.Text] = command.Name
		}
	}
}

// serverFault reports whether a failure on a connection is that of the server and not of a lender.
func (conn *Conn) serverFault(cause error) bool {
	if errors.Is(cause, context.Canceled) {
		return false
	}
	return conn.loan == nil || errors.Is(cause, ErrServerLost)
}
