package lend

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// maxLoanWait bounds the wait that a borrower may ask for. A statement waits for a quarter of its route's objective.
const maxLoanWait = 10 * time.Second

// borrower is the lender's view of the proxy that asked for a connection.
type borrower struct {
	stream *Stream
	frames chan received // the frame that is read while the request waits; nil if it did not wait
	gone   atomic.Bool   // the stream ended while the request waited
}

// received is the result of a read from the stream.
type received struct {
	frame *wire.StreamFrame
	err   error
}

// watch reads from the stream while a request waits, and calls cancel if the stream ends. The frame that arrives instead, after
// the answer, is kept for read.
func (borrower *borrower) watch(cancel context.CancelFunc) error {
	if err := borrower.stream.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	frames := make(chan received, 1)
	borrower.frames = frames
	go func() {
		frame, err := borrower.stream.Read()
		if err != nil {
			borrower.gone.Store(true)
			cancel()
		}
		frames <- received{frame, err}
	}()
	return nil
}

// left reports whether the borrower left while its request waited.
func (borrower *borrower) left() bool { return borrower.gone.Load() }

// read returns the next frame, or an error if none arrives in time.
func (borrower *borrower) read(timeout time.Duration) (*wire.StreamFrame, error) {
	if frames := borrower.frames; frames != nil {
		borrower.frames = nil
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case received := <-frames:
			return received.frame, received.err
		case <-timer.C:
			return nil, os.ErrDeadlineExceeded
		}
	}
	if err := borrower.stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return borrower.stream.Read()
}

// reserve reserves a connection. If none is available at once, it waits for one as long as the borrower does.
func (lender *Lender) reserve(request pool.LoanRequest, borrower *borrower) (*pool.Conn, spool.Term, error) {
	if lender.running.Err() != nil {
		return nil, 0, errStopping
	}
	wait := request.Wait
	request.Wait = 0
	conn, term, err := lender.pool.Lend(lender.running, request)
	var refusal *pool.LoanRefusal
	if err == nil || wait <= 0 || !errors.As(err, &refusal) || !refusal.InUse {
		return conn, term, err
	}
	ctx, cancel := context.WithCancel(lender.running)
	defer cancel()
	if err := borrower.watch(cancel); err != nil {
		return nil, 0, err
	}
	request.Wait = wait
	conn, term, err = lender.pool.Lend(ctx, request)
	if err != nil && lender.running.Err() != nil {
		err = errStopping
	}
	return conn, term, err
}

var errStopping = &pool.LoanRefusal{Reason: "the proxy is about to stop"}

// refuse answers that no connection is lent.
func (lender *Lender) refuse(from spool.VM, request pool.LoanRequest, stream *Stream, err error) {
	answer := &wire.LoanAnswer{Reason: err.Error()}
	var refusal *pool.LoanRefusal
	if errors.As(err, &refusal) {
		answer.Reason, answer.RetryNanos = refusal.Reason, int64(refusal.RetryAfter)
	}
	event.Log(lender.logger, event.LendRefused, zap.String("Borrower", string(from)), zap.String("Group", string(request.Group)),
		zap.String("Server", string(request.Server)), zap.String("Team", string(request.Team)), zap.Int("Priority", request.Priority),
		zap.Duration("Wait", request.Wait), zap.Duration("RetryAfter", time.Duration(answer.RetryNanos)), event.Cause(err))
	_ = sendLoanAnswer(stream, answer) // without an answer the borrower also tries elsewhere
}

// withdraw ends the request of a borrower that left while it waited; a connection that it got meanwhile is free again.
func (lender *Lender) withdraw(from spool.VM, request pool.LoanRequest, conn *pool.Conn) {
	if conn != nil {
		lender.pool.Release(conn)
	}
	event.Log(lender.logger, event.LoanWithdrawn, zap.String("Borrower", string(from)), zap.String("Group", string(request.Group)),
		zap.String("Server", string(request.Server)), zap.String("Team", string(request.Team)), zap.Int("Priority", request.Priority),
		zap.Bool("Granted", conn != nil))
}
