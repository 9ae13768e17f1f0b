package front

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"corianderspool.example/spool/pkg/spool"
)

// Transaction status values of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// session is one caller's connection.
type session struct {
	assembler
	front           *Front
	socket          net.Conn
	input           *input
	output          *output
	encrypted       bool
	processID       uint32
	secretKey       []byte
	login           spool.Login
	token           spool.SessionToken
	maxAge          time.Duration
	applicationName string
	executor        spool.Executor
	txStatus        byte

	mutex           sync.Mutex
	ctx             context.Context // of the running cycle; reused for the next unless it was canceled or has a timeout
	cancel          context.CancelFunc
	running         bool // the dispatcher or an executor is processing a cycle
	sessionEnd      *spool.SessionEnd
	endDeadline     time.Time // after which an ending session reads no further cycle
	idle            bool      // waiting for a cycle outside a transaction
	hasReadDeadline bool
}

func (front *Front) newSession(socket net.Conn) *session {
	return &session{
		assembler: newAssembler(&front.settings),
		front:     front,
		socket:    socket,
		input:     newInput(socket),
		output:    newOutput(socket, front.writeTimeout),
		txStatus:  txIdle,
	}
}

// run serves a logged-in session until it ends.
func (session *session) run() {
	defer session.front.cancelRegistry.remove(session)
	session.input.maxSize = session.maxMessageSize
	sessionEnds, detach := session.front.dispatcher.Attach(session.login)
	defer detach()
	done := make(chan struct{})
	defer close(done)
	go session.watchSessionEnds(sessionEnds, done)
	defer session.closeExecutor()
	for {
		more, refusal := session.serveCycle()
		if refusal != nil {
			session.reportEnd(refusal)
			session.output.sendFinal(errorResponse(refusal, severityFatal))
			session.closeExecutor()
			session.linger()
			return
		}
		if !more {
			session.finishSession()
			return
		}
	}
}

// serveCycle reads and answers one cycle. more means that the session continues; a refusal is the reason for ending it.
func (session *session) serveCycle() (more bool, refusal *spool.Refusal) {
	session.reset()
	session.executorOpen = session.executor != nil
	for {
		message, refusal := session.receive()
		if message == nil || refusal != nil || message[0] == 'X' {
			return false, refusal
		}
		done, refusal := session.add(message)
		if refusal != nil {
			return false, refusal
		}
		if done {
			break
		}
	}
	if session.executor == nil && session.txStatus == txIdle && !session.syncPending && !session.skippingToSync {
		clear(session.prepared.localPortals)
	}
	session.answerCycle()
	if !session.output.atMessageBoundary() {
		return false, nil
	}
	return session.output.Flush() == nil, nil
}

// receive waits for the next message; it returns nil and no refusal if the caller disconnected.
func (session *session) receive() ([]byte, *spool.Refusal) {
	if refusal := session.endDeadlineRefusal(); refusal != nil {
		return nil, refusal
	}
	if session.input.Buffered() == 0 {
		if refusal, ok := session.waitForInput(); !ok {
			return nil, refusal
		}
	}
	message, err := session.input.next()
	if err == nil {
		return message, nil
	}
	if refusal, ok := err.(*spool.Refusal); ok {
		return nil, refusal
	}
	return nil, nil
}

// endDeadlineRefusal returns the reason to end a session between two transactions once its end deadline has passed.
// Without it, a caller that sends cycles without a pause would keep an ending session open.
func (session *session) endDeadlineRefusal() *spool.Refusal {
	if session.executor != nil || session.started() || session.skippingToSync {
		return nil
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.sessionEnd == nil || time.Now().Before(session.endDeadline) {
		return nil
	}
	return session.sessionEnd.Refusal
}

// waitForInput waits until the caller has sent data. Otherwise ok is false and the refusal, if any, is the reason to
// end the session.
func (session *session) waitForInput() (refusal *spool.Refusal, ok bool) {
	session.mutex.Lock()
	if session.sessionEnd != nil && session.sessionEnd.AtOnce {
		session.mutex.Unlock()
		return session.sessionEnd.Refusal, false
	}
	session.idle = session.executor == nil && !session.started() && !session.skippingToSync
	switch {
	case !session.idle:
		session.hasReadDeadline = true
		_ = session.socket.SetReadDeadline(time.Now().Add(session.transactionTimeout))
	case session.sessionEnd != nil:
		session.hasReadDeadline = true
		_ = session.socket.SetReadDeadline(time.Now().Add(session.endIdleGrace))
	}
	session.mutex.Unlock()
	_, err := session.input.Peek(1)
	session.mutex.Lock()
	defer session.mutex.Unlock()
	idle := session.idle
	session.idle = false
	if err == nil {
		session.clearReadDeadline()
		return nil, true
	}
	if session.sessionEnd != nil && (idle || session.sessionEnd.AtOnce) {
		return session.sessionEnd.Refusal, false
	}
	if timeout, isNet := err.(net.Error); isNet && timeout.Timeout() {
		return notRun(codeIdleTransaction, "the transaction was idle for more than %s", session.transactionTimeout), false
	}
	return nil, false
}

// clearReadDeadline removes the read deadline; the mutex must be held.
func (session *session) clearReadDeadline() {
	if session.hasReadDeadline {
		session.hasReadDeadline = false
		_ = session.socket.SetReadDeadline(time.Time{})
	}
}

// watchSessionEnds applies the requests of the dispatcher to end the session until the session is done.
func (session *session) watchSessionEnds(sessionEnds <-chan spool.SessionEnd, done <-chan struct{}) {
	for {
		select {
		case sessionEnd, open := <-sessionEnds:
			if !open {
				return
			}
			session.applySessionEnd(sessionEnd)
		case <-done:
			return
		}
	}
}

// applySessionEnd ends the session at once, or after the running transaction.
func (session *session) applySessionEnd(sessionEnd spool.SessionEnd) {
	session.mutex.Lock()
	if session.sessionEnd == nil {
		session.endDeadline = time.Now().Add(session.endTimeout)
	}
	if session.sessionEnd == nil || sessionEnd.AtOnce {
		session.sessionEnd = &sessionEnd
	}
	if session.idle && !sessionEnd.AtOnce {
		session.hasReadDeadline = true
		_ = session.socket.SetReadDeadline(time.Now().Add(session.endIdleGrace))
	}
	running := session.running
	session.mutex.Unlock()
	if !sessionEnd.AtOnce {
		return
	}
	session.cancelCycle()
	session.output.shortenDeadline()
	session.output.sendFinal(errorResponse(interruptionRefusal(sessionEnd.Refusal, running), severityFatal))
	_ = session.socket.SetReadDeadline(time.Now())
	time.AfterFunc(2*closeTimeout, func() { _ = session.socket.Close() })
}

// interruptionRefusal returns the refusal for a session that ends at once; the outcome of a running cycle is unknown,
// since it may have reached a server.
func interruptionRefusal(refusal *spool.Refusal, running bool) *spool.Refusal {
	if !running || refusal.Verdict != spool.VerdictNotRun {
		return refusal
	}
	unknown := *refusal
	unknown.Verdict = spool.VerdictUnknown
	return &unknown
}

// cancelCycle cancels the running cycle, if any.
func (session *session) cancelCycle() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.running {
		session.cancel()
	}
}

// finishSession closes a session after its caller disconnected or a SessionEnd was applied.
func (session *session) finishSession() {
	refusal := session.endRefusal()
	session.closeExecutor()
	if refusal != nil {
		session.reportEnd(refusal)
		session.linger()
	}
}

// linger reads and discards input before the connection is closed. Closing with unread input resets the connection, and
// the caller would lose the last message.
func (session *session) linger() {
	if half, ok := session.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = session.socket.SetReadDeadline(time.Now().Add(closeTimeout))
	_, _ = io.Copy(io.Discard, session.input)
}

func (session *session) closeExecutor() {
	if session.executor == nil {
		return
	}
	session.executor.Close()
	session.executor = nil
}

// sendReady queues ReadyForQuery with the transaction status.
func (session *session) sendReady() {
	status := session.txStatus
	if session.txLost {
		status = txFailed
	}
	session.output.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}
