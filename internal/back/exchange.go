package back

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/pkg/spool"
)

// Exchange sends one cycle and copies the response without ReadyForQuery to sink; an error is a *spool.Refusal or the
// error of the sink, after which the connection remains usable unless Broken reports otherwise.
func (conn *Conn) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if refusal := conn.checkUsable(ctx); refusal != nil {
		return spool.Result{}, refusal
	}
	messages, err := conn.planCycle(cycle)
	if err != nil {
		return spool.Result{}, &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeProtocol, Message: err.Error()}
	}
	forwarder := responseForwarder{
		Conn:        conn,
		cycle:       cycle,
		sink:        sink,
		startedIdle: conn.status == txIdle && !conn.unsynced,
	}
	conn.pending = conn.pending[:0]
	conn.token = spool.SessionToken{}
	defer conn.unwatchContext(conn.watchContext(ctx))
	written, err := conn.socket.Write(messages)
	if err != nil {
		return spool.Result{Sent: written > 0}, conn.failExchange(written > 0, eris.Wrap(err, "write to the server"))
	}
	err = forwarder.copyResponse()
	if forwarder.refusal != nil {
		if err != nil {
			conn.Close()
		}
		return conn.result(), forwarder.refusal
	}
	if err != nil {
		return spool.Result{Sent: true}, conn.failExchange(true, err)
	}
	return conn.result(), forwarder.sinkError
}

func (conn *Conn) result() spool.Result {
	result := spool.Result{TxStatus: conn.status, Token: conn.token, Sent: true}
	if conn.unsynced {
		result.TxStatus = 0
	}
	return result
}

// checkUsable refuses a cycle that is canceled or whose connection is known to be closed, before anything is sent.
func (conn *Conn) checkUsable(ctx context.Context) *spool.Refusal {
	if err := ctx.Err(); err != nil {
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun,
			Code:    spool.CodeDeadlineExpired,
			Message: "the request was canceled before it was sent",
		}
	}
	if conn.broken.Load() || conn.closedByServer() {
		conn.Close()
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun,
			Code:    spool.CodeNoPrimary,
			Message: "the connection to server " + string(conn.server.Name) + " is closed",
		}
	}
	return nil
}

// failExchange closes the connection and returns a refusal whose verdict tells whether the cycle may have run.
func (conn *Conn) failExchange(sent bool, err error) *spool.Refusal {
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

// watchContext cancels the running cycle when ctx ends, until unwatchContext is called with the returned function.
func (conn *Conn) watchContext(ctx context.Context) (stop func() bool) {
	if ctx.Done() == nil {
		return nil
	}
	conn.interrupts.Add(1)
	return context.AfterFunc(ctx, conn.interrupt)
}

// unwatchContext waits for a cancellation in progress; its connection is not reused, since a late cancel request could
// hit the statement of another caller.
func (conn *Conn) unwatchContext(stop func() bool) {
	if stop == nil {
		return
	}
	if stop() {
		conn.interrupts.Done()
		return
	}
	conn.interrupts.Wait()
	conn.closeWhenIdle = true
	_ = conn.socket.SetDeadline(time.Time{})
}
