package back

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Exchange sends one cycle and copies the answer to sink, all but ReadyForQuery; errors are *spool.Refusal, or the
// sink's own error after which the connection is in order unless it is broken.
func (conn *Conn) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if refusal := conn.check(ctx); refusal != nil {
		return spool.Result{}, refusal
	}
	messages, err := conn.plan(cycle)
	if err != nil {
		return spool.Result{}, &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeProtocol, Message: err.Error()}
	}
	answer := answer{
		Conn:  conn,
		cycle: cycle,
		sink:  sink,
		fresh: conn.status == txIdle && !conn.unsynced,
	}
	conn.pending = conn.pending[:0]
	conn.token = spool.SessionToken{}
	defer conn.unwatch(conn.watch(ctx))
	written, err := conn.socket.Write(messages)
	if err != nil {
		return spool.Result{Sent: written > 0}, conn.fail(written > 0, eris.Wrap(err, "write"))
	}
	err = answer.copy()
	if answer.refusal != nil {
		if err != nil {
			conn.Close()
		}
		return conn.result(), answer.refusal
	}
	if err != nil {
		return spool.Result{Sent: true}, conn.fail(true, err)
	}
	return conn.result(), answer.sinkError
}

func (conn *Conn) result() spool.Result {
	result := spool.Result{TxStatus: conn.status, Token: conn.token, Sent: true}
	if conn.unsynced {
		result.TxStatus = 0
	}
	return result
}

// check refuses a cycle when the connection is known to be lost before anything is sent.
func (conn *Conn) check(ctx context.Context) *spool.Refusal {
	if err := ctx.Err(); err != nil {
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun,
			Code:    spool.CodeDeadlineExpired,
			Message: "the request was canceled before it was sent",
		}
	}
	if conn.broken.Load() || conn.hungUp() {
		conn.Close()
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun,
			Code:    spool.CodeNoPrimary,
			Message: "the connection to server " + string(conn.server.Name) + " is closed",
		}
	}
	return nil
}

// fail closes the connection and says whether the cycle may have run.
func (conn *Conn) fail(sent bool, err error) *spool.Refusal {
	conn.Close()
	refusal := &spool.Refusal{
		Verdict: spool.VerdictNotRun,
		Code:    spool.CodeNoPrimary,
		Message: "the connection to server " + string(conn.server.Name) + " was lost",
		Cause:   err,
	}
	if sent {
		refusal.Verdict = spool.VerdictUnknown
		refusal.Code = spool.CodeOutcomeUnknown
	}
	return refusal
}

// watch has the running cycle canceled when ctx ends, until unwatch is called with its result.
func (conn *Conn) watch(ctx context.Context) (halt func() bool) {
	if ctx.Done() == nil {
		return nil
	}
	conn.interrupts.Add(1)
	return context.AfterFunc(ctx, conn.interrupt)
}

// unwatch waits for a cancellation under way; its connection serves no other caller, whom a late cancellation could hit.
func (conn *Conn) unwatch(halt func() bool) {
	if halt == nil {
		return
	}
	if halt() {
		conn.interrupts.Done()
		return
	}
	conn.interrupts.Wait()
	conn.retired = true
	_ = conn.socket.SetDeadline(time.Time{})
}
