package lend

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// ErrRefused says that the other proxy has no connection to lend.
var ErrRefused = eris.New("no connection to lend")

var errUnexpected = eris.New("unexpected frame of the lender")

// Borrow asks the proxy at the other end of a stream for a connection; on an error the stream is closed.
func Borrow(conn net.Conn, request pool.LoanRequest, deadline time.Time) (*pool.Loan, error) {
	link := &link{stream: NewStream(conn)}
	loan, err := link.borrow(request, deadline)
	if err != nil {
		_ = conn.Close() // nothing was sent to the server
		return nil, err
	}
	return loan, nil
}

// link is a connection that another proxy lends; it implements pool.Lent.
type link struct {
	stream *Stream
}

func (link *link) borrow(request pool.LoanRequest, deadline time.Time) (*pool.Loan, error) {
	if err := link.stream.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	err := link.stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_LoanRequest{LoanRequest: &wire.LoanRequest{
		Group: string(request.Group), Server: string(request.Server), Team: string(request.Team),
		Values: request.Values, PatienceNanos: int64(request.IdleTimeout),
	}}})
	if err != nil {
		return nil, err
	}
	frame, err := link.stream.Read()
	if err != nil {
		return nil, err
	}
	answer := frame.GetLoanAnswer()
	if answer == nil {
		return nil, errUnexpected
	}
	if !answer.Granted {
		return nil, eris.Wrap(ErrRefused, answer.Reason)
	}
	return &pool.Loan{
		BorrowedLink: link, Term: spool.Term(answer.Term),
		ConnState: pool.ConnState{Values: orEmpty(answer.Values), Prepared: orEmpty(answer.Prepared), StatementCount: int(answer.Names)},
	}, link.stream.SetReadDeadline(time.Time{})
}

func orEmpty(values map[string]string) map[string]string {
	if values == nil {
		return map[string]string{}
	}
	return values
}

// Send passes commands on to the lender.
func (link *link) Send(commands ...spool.Command) error {
	return link.stream.Write(encodeCommands(commands))
}

// Receive returns the next answer that the lender passes on.
func (link *link) Receive(deadline time.Time) (spool.Answer, error) {
	if err := link.stream.SetReadDeadline(deadline); err != nil {
		return spool.Answer{}, err
	}
	frame, err := link.stream.Read()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return spool.Answer{}, os.ErrDeadlineExceeded
	}
	if err != nil {
		return spool.Answer{}, eris.Wrap(err, "the lender's stream broke")
	}
	switch body := frame.Body.(type) {
	case *wire.StreamFrame_LoanResult:
		return decodeAnswer(body.LoanResult), nil
	case *wire.StreamFrame_LoanLost:
		return spool.Answer{}, eris.Wrap(pool.ErrServerLost, body.LoanLost.Cause)
	}
	return spool.Answer{}, errUnexpected
}

// Stale is false: a connection is borrowed for use at once.
func (link *link) Stale() bool { return false }

// Return gives the connection back; the lender waits for answers that are owed.
func (link *link) Return() error {
	err := link.stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_LoanReturn{LoanReturn: &wire.LoanReturn{}}})
	return errors.Join(err, link.stream.Close())
}

// Close breaks the loan off; the lender closes the connection, which rolls back.
func (link *link) Close() error { return link.stream.Close() }
