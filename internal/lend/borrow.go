package lend

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

var errUnexpectedFrame = eris.New("unexpected frame from lender")

// Borrow requests a connection from the proxy at the other end of a stream. On an error, which is a pool.LoanRefusal if the
// lender refused, and when the context ends before the answer, it closes the stream.
func Borrow(ctx context.Context, conn net.Conn, request pool.LoanRequest, deadline time.Time) (*pool.Loan, error) {
	borrowedConn := &borrowedConn{stream: NewStream(conn)}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // withdraws the request
	loan, err := borrowedConn.request(request, deadline)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		_ = conn.Close() // nothing was sent to the server
		return nil, err
	}
	return loan, nil
}

// borrowedConn is the borrower's side of a loan; it implements pool.BorrowedConn.
type borrowedConn struct {
	stream *Stream
}

func (borrowedConn *borrowedConn) request(request pool.LoanRequest, deadline time.Time) (*pool.Loan, error) {
	if err := borrowedConn.stream.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	err := borrowedConn.stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_LoanRequest{LoanRequest: &wire.LoanRequest{
		Group: string(request.Group), Server: string(request.Server), Team: string(request.Team),
		Values: request.Values, PatienceNanos: int64(request.IdleTimeout),
		Priority: int32(request.Priority), WaitNanos: int64(request.Wait),
	}}})
	if err != nil {
		return nil, err
	}
	frame, err := borrowedConn.stream.Read()
	if err != nil {
		return nil, err
	}
	answer := frame.GetLoanAnswer()
	if answer == nil {
		return nil, errUnexpectedFrame
	}
	if !answer.Granted {
		return nil, &pool.LoanRefusal{Reason: answer.Reason, RetryAfter: time.Duration(answer.RetryNanos)}
	}
	return &pool.Loan{
		BorrowedConn: borrowedConn, Term: spool.Term(answer.Term),
		ConnState: pool.ConnState{Values: emptyIfNil(answer.Values), Prepared: emptyIfNil(answer.Prepared), StatementCount: int(answer.Names)},
	}, borrowedConn.stream.SetReadDeadline(time.Time{})
}

func emptyIfNil(values map[string]string) map[string]string {
	if values == nil {
		return map[string]string{}
	}
	return values
}

// Send sends commands to the lender, which forwards them to the server; pool.ErrUnsendable means that it sent nothing.
func (borrowedConn *borrowedConn) Send(commands ...spool.Command) error {
	for _, command := range commands {
		if !utf8.ValidString(command.ID) || !utf8.ValidString(command.Name) || !utf8.ValidString(command.Text) {
			return pool.ErrUnsendable
		}
	}
	return borrowedConn.stream.Write(encodeCommands(commands))
}

// Receive returns the next answer that the lender forwards.
func (borrowedConn *borrowedConn) Receive(deadline time.Time) (spool.Answer, error) {
	if err := borrowedConn.stream.SetReadDeadline(deadline); err != nil {
		return spool.Answer{}, err
	}
	frame, err := borrowedConn.stream.Read()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return spool.Answer{}, os.ErrDeadlineExceeded
	}
	if err != nil {
		return spool.Answer{}, eris.Wrap(err, "read from lender")
	}
	switch body := frame.Body.(type) {
	case *wire.StreamFrame_LoanResult:
		return decodeAnswer(body.LoanResult), nil
	case *wire.StreamFrame_LoanLost:
		return spool.Answer{}, eris.Wrap(pool.ErrServerLost, body.LoanLost.Cause)
	}
	return spool.Answer{}, errUnexpectedFrame
}

// Stale returns false, since a connection is borrowed for immediate use.
func (borrowedConn *borrowedConn) Stale() bool { return false }

// Return ends the loan; the lender waits for pending answers.
func (borrowedConn *borrowedConn) Return() error {
	err := borrowedConn.stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_LoanReturn{LoanReturn: &wire.LoanReturn{}}})
	return errors.Join(err, borrowedConn.stream.Close())
}

// Close aborts the loan; the lender closes the connection, which rolls back.
func (borrowedConn *borrowedConn) Close() error { return borrowedConn.stream.Close() }
