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

// Transaction states of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// session is one caller's connection.
type session struct {
	assembly
	front       *Front
	socket      net.Conn
	input       *input
	output      *output
	encrypted   bool
	process     uint32
	secret      []byte
	login       spool.Login
	token       spool.SessionToken
	maxAge      time.Duration
	application string
	executor    spool.Executor
	status      byte

	mutex   sync.Mutex
	ctx     context.Context // of the running cycle; kept for the next one unless it was canceled
	cancel  context.CancelFunc
	running bool // a gate or an executor works on a cycle
	ending  *spool.SessionEnd
	endBy   time.Time // instant after which an ending session reads no further cycle
	idle    bool      // waits for a cycle outside of a transaction
	bounded bool      // a read deadline is set
}

func (front *Front) newSession(socket net.Conn) *session {
	return &session{
		assembly: newAssembly(&front.settings),
		front:    front,
		socket:   socket,
		input:    newInput(socket),
		output:   newOutput(socket, front.writeTimeout),
		status:   txIdle,
	}
}

// run serves the caller from its login to its end.
func (session *session) run() {
	defer session.front.cancels.remove(session)
	session.input.limit = session.messageSize
	endings, detach := session.front.dispatcher.Attach(session.login)
	defer detach()
	done := make(chan struct{})
	defer close(done)
	go session.watch(endings, done)
	defer session.closeExecutor()
	for {
		more, refusal := session.serveCycle()
		if refusal != nil {
			session.reportEnd(refusal)
			session.output.farewell(errorResponse(refusal, severityFatal))
			session.closeExecutor()
			session.linger()
			return
		}
		if !more {
			session.leave()
			return
		}
	}
}

// serveCycle reads and answers one cycle; a refusal is the reason for which the session ends.
func (session *session) serveCycle() (more bool, refusal *spool.Refusal) {
	session.reset()
	session.open = session.executor != nil
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
	if session.executor == nil && session.status == txIdle && !session.unsynced && !session.skipping {
		clear(session.definitions.portals)
	}
	session.perform()
	if !session.output.between() {
		return false, nil
	}
	return session.output.Flush() == nil, nil
}

// receive waits for the next message; none and no refusal mean that the caller left.
func (session *session) receive() ([]byte, *spool.Refusal) {
	if refusal := session.overdue(); refusal != nil {
		return nil, refusal
	}
	if session.input.Buffered() == 0 {
		if refusal, ok := session.wait(); !ok {
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

// overdue returns why an ending session whose caller never pauses ends between two transactions.
func (session *session) overdue() *spool.Refusal {
	if session.executor != nil || session.started() || session.skipping {
		return nil
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.ending == nil || time.Now().Before(session.endBy) {
		return nil
	}
	return session.ending.Refusal
}

// wait returns once the caller has sent something; else it gives the reason to end, if there is one.
func (session *session) wait() (refusal *spool.Refusal, ok bool) {
	session.mutex.Lock()
	if session.ending != nil && session.ending.AtOnce {
		session.mutex.Unlock()
		return session.ending.Refusal, false
	}
	session.idle = session.executor == nil && !session.started() && !session.skipping
	switch {
	case !session.idle:
		session.bounded = true
		_ = session.socket.SetReadDeadline(time.Now().Add(session.transactionTimeout))
	case session.ending != nil:
		session.bounded = true
		_ = session.socket.SetReadDeadline(time.Now().Add(session.endingGrace))
	}
	session.mutex.Unlock()
	_, err := session.input.Peek(1)
	session.mutex.Lock()
	defer session.mutex.Unlock()
	idle := session.idle
	session.idle = false
	if err == nil {
		session.unbound()
		return nil, true
	}
	if session.ending != nil && (idle || session.ending.AtOnce) {
		return session.ending.Refusal, false
	}
	if timeout, isNet := err.(net.Error); isNet && timeout.Timeout() {
		return notRun(codeIdle, "the transaction was idle for more than %s", session.transactionTimeout), false
	}
	return nil, false
}

// unbound lifts the read deadline; the mutex is held.
func (session *session) unbound() {
	if session.bounded {
		session.bounded = false
		_ = session.socket.SetReadDeadline(time.Time{})
	}
}

// watch waits for the gate to end the session.
func (session *session) watch(endings <-chan spool.SessionEnd, done <-chan struct{}) {
	for {
		select {
		case ending, open := <-endings:
			if !open {
				return
			}
			session.conclude(ending)
		case <-done:
			return
		}
	}
}

// conclude ends the session at once, or after the running transaction.
func (session *session) conclude(ending spool.SessionEnd) {
	session.mutex.Lock()
	if session.ending == nil {
		session.endBy = time.Now().Add(session.endingPatience)
	}
	if session.ending == nil || ending.AtOnce {
		session.ending = &ending
	}
	if session.idle && !ending.AtOnce {
		session.bounded = true
		_ = session.socket.SetReadDeadline(time.Now().Add(session.endingGrace))
	}
	running := session.running
	session.mutex.Unlock()
	if !ending.AtOnce {
		return
	}
	session.cancelCycle()
	session.output.hurry()
	session.output.farewell(errorResponse(interrupting(ending.Refusal, running), severityFatal))
	_ = session.socket.SetReadDeadline(time.Now())
	time.AfterFunc(2*farewellTimeout, func() { _ = session.socket.Close() })
}

// interrupting gives the reason to end a session at once; a cycle that runs meanwhile may have reached a server.
func interrupting(refusal *spool.Refusal, running bool) *spool.Refusal {
	if !running || refusal.Verdict != spool.VerdictNotRun {
		return refusal
	}
	unknown := *refusal
	unknown.Verdict = spool.VerdictUnknown
	return &unknown
}

// cancelCycle ends the running cycle at the caller's wish.
func (session *session) cancelCycle() {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.running {
		session.cancel()
	}
}

// leave ends a session whose caller left or was told to end.
func (session *session) leave() {
	refusal := session.toldToEnd()
	session.closeExecutor()
	if refusal != nil {
		session.reportEnd(refusal)
		session.linger()
	}
}

// linger reads what the caller still sends, so that the last message is not lost with the connection.
func (session *session) linger() {
	if half, ok := session.socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = session.socket.SetReadDeadline(time.Now().Add(farewellTimeout))
	_, _ = io.Copy(io.Discard, session.input)
}

func (session *session) closeExecutor() {
	if session.executor == nil {
		return
	}
	session.executor.Close()
	session.executor = nil
}

// ready queues ReadyForQuery with the state of the transaction.
func (session *session) ready() {
	status := session.status
	if session.lost {
		status = txFailed
	}
	session.output.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}
