package lend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// drainPeriod is the interval between checks for active loans.
const drainPeriod = 20 * time.Millisecond

// Lender lends a pool's connections to other proxies.
type Lender struct {
	pool        *pool.Pool
	timers      spool.Timers
	logger      *zap.Logger
	activeLoans atomic.Int64
	loans       sync.Map        // of *loan, those that are granted
	running     context.Context // ends when the lender refuses loans
	stop        context.CancelFunc
}

// NewLender returns a lender for a pool.
func NewLender(pool *pool.Pool, timers spool.Timers, logger *zap.Logger) *Lender {
	running, stop := context.WithCancel(context.Background())
	return &Lender{pool: pool, timers: timers, logger: logger, running: running, stop: stop}
}

// ActiveLoans returns the number of connections on loan.
func (lender *Lender) ActiveLoans() int { return int(lender.activeLoans.Load()) }

// Close makes the lender refuse new loans and those that wait for a connection; active ones continue.
func (lender *Lender) Close() { lender.stop() }

// Drain waits until no loan is active or the context ends.
func (lender *Lender) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for lender.ActiveLoans() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Serve lends a connection to the proxy at the other end of a stream until it is returned or the stream breaks.
func (lender *Lender) Serve(from spool.VM, stream *Stream, body *wire.LoanRequest) {
	lender.activeLoans.Add(1)
	defer lender.activeLoans.Add(-1)
	request := pool.LoanRequest{
		ServerTarget: spool.ServerTarget{
			Group: spool.Group(body.Group), Server: spool.Server(body.Server), Team: spool.Team(body.Team),
		},
		Values: body.Values, IdleTimeout: time.Duration(body.PatienceNanos),
		Priority: int(body.Priority), Wait: min(time.Duration(body.WaitNanos), maxLoanWait),
	}
	borrower := &borrower{stream: stream}
	conn, term, err := lender.reserve(request, borrower)
	if borrower.left() {
		lender.withdraw(from, request, conn)
		return
	}
	if err != nil {
		lender.refuse(from, request, stream, err)
		return
	}
	reusable := true // until a loan began
	defer func() {
		if !reusable { // also after a panic
			conn.MarkBroken()
		}
		lender.pool.Release(conn)
	}()
	state := conn.State()
	answer := &wire.LoanAnswer{
		Granted: true, Term: uint64(term), Values: state.Values, Prepared: state.Prepared, Names: int64(state.StatementCount),
	}
	if sendLoanAnswer(stream, answer) != nil {
		return // nothing was sent to the server
	}
	loan := &loan{lender: lender, conn: conn, group: request.Group, borrower: borrower, stream: stream, idleTimeout: request.IdleTimeout}
	lender.loans.Store(loan, nil)
	defer lender.loans.Delete(loan)
	reusable = false
	reusable = loan.run()
}

func sendLoanAnswer(stream *Stream, answer *wire.LoanAnswer) error {
	return stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_LoanAnswer{LoanAnswer: answer}})
}

// loan is the lender's side of a loan.
type loan struct {
	lender      *Lender
	conn        *pool.Conn
	group       spool.Group
	borrower    *borrower
	stream      *Stream
	idleTimeout time.Duration
	used        bool          // commands were sent to the server
	state       spool.TxState // after the last answer; zero before the first one
	txWrote     bool          // the open transaction has written
}

// run forwards commands and answers, and reports whether the connection was returned and can be reused.
func (loan *loan) run() bool {
	for {
		frame, err := loan.borrower.read(loan.idleTimeout)
		if err != nil {
			return !loan.used // a borrower that left without a command leaves the connection as it was
		}
		switch body := frame.Body.(type) {
		case *wire.StreamFrame_LoanReturn:
			return loan.state == spool.TxIdle || loan.state == 0
		case *wire.StreamFrame_LoanCommands:
			commands, valid := decodeCommands(body.LoanCommands)
			if !valid || !loan.forward(commands) {
				return false
			}
		default:
			return false
		}
	}
}

// forward sends commands to the server and its answers to the borrower; false means that the connection to the server broke.
func (loan *loan) forward(commands []spool.Command) bool {
	loan.used = true
	pool := loan.lender.pool
	deadline := time.Now().Add(loan.idleTimeout)
	pool.MarkActive(loan.conn)
	err := loan.conn.DiscardPending(deadline)
	if err == nil && loan.conn.Strays() {
		return false // home regions were set since, and the tunnel may lead through another region
	}
	began := loan.lender.timers.Now()
	if err == nil {
		pool.AwaitEvacuation(began)
		loan.conn.RecordCommands(commands)
		err = loan.conn.Send(commands...)
	}
	if loan.refuseEvacuated(commands, err) {
		return false
	}
	for _, command := range commands {
		if err != nil {
			break
		}
		var answer spool.Answer
		if answer, err = loan.conn.Receive(deadline); err != nil {
			break
		}
		loan.state = answer.State
		loan.record(command, answer, began)
		_ = loan.stream.Write(encodeAnswer(answer)) // the next read fails if the borrower has gone
	}
	if err != nil {
		pool.RecordFailure(loan.conn, err)
		lost := &wire.StreamFrame{Body: &wire.StreamFrame_LoanLost{LoanLost: &wire.LoanLost{Cause: err.Error()}}}
		_ = loan.stream.Write(lost) // the end of the stream signals it too
	}
	if loan.state == spool.TxOpen {
		pool.MarkIdleInTx(loan.conn)
	}
	return err == nil
}

// record updates the pool's view of the server from an answer, as for statements of this proxy's own callers.
func (loan *loan) record(command spool.Command, answer spool.Answer, sent spool.Instant) {
	pool, group := loan.lender.pool, loan.group
	switch {
	case command.ID != "":
		pool.RecordAnswer(loan.conn, answer, loan.lender.timers.Now().Sub(sent))
	case command.Verb == spool.VerbBegin && answer.Refusal == nil:
		pool.RecordPrimary(group, loan.conn.Server(), fresh.Watermark{Position: answer.Position, SentAt: sent})
	}
	if answer.Refusal != nil {
		if answer.Refusal.Code == spool.CodeReadOnly {
			pool.RecordNotPrimary(group, loan.conn.Server())
		}
		return
	}
	loan.txWrote = loan.txWrote || command.Writes
	if loan.txWrote && answer.State == spool.TxIdle && command.Verb != spool.VerbRollback {
		pool.RecordCommit(group, loan.conn.Server(), answer.Position, sent) // the borrower may be asked for its newest commit before the answer reaches it
	}
	loan.txWrote = loan.txWrote && answer.State == spool.TxOpen
}
