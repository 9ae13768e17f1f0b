package lend

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/fresh"
	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// drainPeriod is the time between looks for loans that are still out.
const drainPeriod = 20 * time.Millisecond

// Lender lends the connections of a pool to other proxies.
type Lender struct {
	pool   *pool.Pool
	timers spool.Timers
	logger *zap.Logger
	out    atomic.Int64
	closed atomic.Bool
}

// NewLender returns a lender of a pool's connections.
func NewLender(pool *pool.Pool, timers spool.Timers, logger *zap.Logger) *Lender {
	return &Lender{pool: pool, timers: timers, logger: logger}
}

// ActiveLoans returns how many connections are on loan.
func (lender *Lender) ActiveLoans() int { return int(lender.out.Load()) }

// Close refuses new loans.
func (lender *Lender) Close() { lender.closed.Store(true) }

// Drain returns when all loans are back or the context ends.
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

// Serve lends a connection to the proxy at the other end of a stream until it is given back or the stream breaks.
func (lender *Lender) Serve(from spool.VM, stream *Stream, body *wire.LoanRequest) {
	lender.out.Add(1)
	defer lender.out.Add(-1)
	request := pool.LoanRequest{
		ServerTarget: spool.ServerTarget{
			Group: spool.Group(body.Group), Server: spool.Server(body.Server), Team: spool.Team(body.Team),
		},
		Values: body.Values, IdleTimeout: time.Duration(body.PatienceNanos),
	}
	conn, term, err := lender.lend(request)
	if err != nil {
		event.Log(lender.logger, event.LendRefused, zap.String("Borrower", string(from)), zap.String("Group", body.Group),
			zap.String("Server", body.Server), zap.String("Team", body.Team), event.Cause(err))
		_ = answerLoan(stream, &wire.LoanAnswer{Reason: err.Error()}) // the borrower asks elsewhere also without it
		return
	}
	defer lender.pool.Release(conn)
	held := conn.State()
	answer := &wire.LoanAnswer{
		Granted: true, Term: uint64(term), Values: held.Values, Prepared: held.Prepared, Names: int64(held.StatementCount),
	}
	if answerLoan(stream, answer) != nil {
		return // nothing was sent to the server
	}
	loan := &loan{lender: lender, conn: conn, group: request.Group, stream: stream, patience: request.IdleTimeout}
	if !loan.run() {
		conn.MarkBroken()
	}
}

func (lender *Lender) lend(request pool.LoanRequest) (*pool.Conn, spool.Term, error) {
	if lender.closed.Load() {
		return nil, 0, eris.New("the proxy is about to stop")
	}
	return lender.pool.Lend(context.Background(), request)
}

func answerLoan(stream *Stream, answer *wire.LoanAnswer) error {
	return stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_LoanAnswer{LoanAnswer: answer}})
}

// loan is a connection on loan.
type loan struct {
	lender   *Lender
	conn     *pool.Conn
	group    spool.Group
	stream   *Stream
	patience time.Duration
	state    spool.TxState // after the last answer; zero before the first one
	wrote    bool          // in the open transaction
}

// run passes commands and answers on and tells if the connection came back fit for use.
func (loan *loan) run() bool {
	for {
		if err := loan.stream.SetReadDeadline(time.Now().Add(loan.patience)); err != nil {
			return false
		}
		frame, err := loan.stream.Read()
		if err != nil {
			return false
		}
		switch body := frame.Body.(type) {
		case *wire.StreamFrame_LoanReturn:
			return loan.state == spool.TxIdle || loan.state == 0
		case *wire.StreamFrame_LoanCommands:
			if !loan.pass(decodeCommands(body.LoanCommands)) {
				return false
			}
		default:
			return false
		}
	}
}

// pass sends commands to the server and its answers back; false means that the connection to the server broke.
func (loan *loan) pass(commands []spool.Command) bool {
	pool := loan.lender.pool
	deadline := time.Now().Add(loan.patience)
	pool.MarkActive(loan.conn)
	err := loan.conn.DiscardPending(deadline)
	if err == nil {
		loan.conn.RecordCommands(commands)
		err = loan.conn.Send(commands...)
	}
	began := loan.lender.timers.Now()
	for _, command := range commands {
		if err != nil {
			break
		}
		var answer spool.Answer
		if answer, err = loan.conn.Receive(deadline); err != nil {
			break
		}
		loan.state = answer.State
		loan.note(command, answer, began)
		_ = loan.stream.Write(encodeAnswer(answer)) // the next read tells if the borrower gave up
	}
	if err != nil {
		pool.RecordFailure(loan.conn, err)
		lost := &wire.StreamFrame{Body: &wire.StreamFrame_LoanLost{LoanLost: &wire.LoanLost{Cause: err.Error()}}}
		_ = loan.stream.Write(lost) // the end of the stream says the same
	}
	if loan.state == spool.TxOpen {
		pool.MarkIdleInTx(loan.conn)
	}
	return err == nil
}

// note learns from an answer what it tells of the server, as for statements of this proxy's own callers.
func (loan *loan) note(command spool.Command, answer spool.Answer, sent spool.Instant) {
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
	loan.wrote = loan.wrote || command.Writes
	if loan.wrote && answer.State == spool.TxIdle && command.Verb != spool.VerbRollback {
		pool.RecordCommit(group, answer.Position) // the answer may reach the borrower after it was asked for its newest one
	}
	loan.wrote = loan.wrote && answer.State == spool.TxOpen
}
