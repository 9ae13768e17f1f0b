package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// errIdle reports that a connection was closed because nothing was sent within the idle time.
var errIdle = errors.New("connection idle")

// outbox sends control messages to one proxy in order and drops them while it is unreachable.
type outbox struct {
	transport   *Transport
	to          spool.VM
	queue       *queue
	unreachable atomic.Bool
	lastUsed    time.Time // when a message was last queued; guarded by Transport.mutex
}

func newOutbox(transport *Transport, to spool.VM) *outbox {
	return &outbox{transport: transport, to: to, queue: newQueue()}
}

func (outbox *outbox) enqueue(envelope *wire.Envelope) {
	outbox.lastUsed = time.Now()
	if !outbox.queue.push(envelope) {
		outbox.transport.observer.Dropped(outbox.to, Kind(envelope))
		event.Log(outbox.transport.logger, event.PeerMessagesDropped,
			zap.String("Peer", string(outbox.to)), zap.String("Kind", Kind(envelope)))
	}
}

func (outbox *outbox) run() {
	backoff := shortestBackoff
	for outbox.transport.ctx.Err() == nil {
		err := outbox.connect()
		if outbox.transport.removeIfIdle(outbox) {
			return
		}
		if errors.Is(err, errIdle) {
			continue // a message was queued just before the timeout
		}
		if outbox.transport.ctx.Err() == nil && !outbox.unreachable.Swap(true) {
			outbox.transport.log(event.PeerUnreachable, outbox.to, err)
		}
		outbox.queue.clear()
		select {
		case <-outbox.transport.ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, longestBackoff)
		if err == nil {
			backoff = shortestBackoff
		}
	}
}

// connect opens a connection and sends queued messages until it breaks or is idle.
func (outbox *outbox) connect() error {
	session, err := outbox.transport.dial(outbox.transport.ctx, outbox.to, kindControl)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	if outbox.unreachable.Swap(false) {
		outbox.transport.log(event.PeerReachable, outbox.to, nil)
	}
	return outbox.sendQueued(stream, session.CloseChan())
}

func (outbox *outbox) sendQueued(stream net.Conn, closed <-chan struct{}) error {
	writer := NewWriter[wire.Envelope](stream)
	idle := time.NewTimer(outbox.transport.idleTime)
	defer idle.Stop()
	for {
		if outbox.transport.ctx.Err() != nil {
			return nil
		}
		if next, found := outbox.queue.pop(); found {
			if err := outbox.write(stream, writer, next); err != nil {
				return err
			}
			idle.Reset(outbox.transport.idleTime)
			continue
		}
		select {
		case <-outbox.transport.ctx.Done():
			return nil
		case <-closed:
			return nil
		case <-outbox.queue.ready:
		case <-idle.C:
			return errIdle
		}
	}
}

func (outbox *outbox) write(stream net.Conn, writer *Writer[wire.Envelope, *wire.Envelope], next queued) error {
	defer outbox.queue.sent()
	_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	size, err := writer.Write(next.envelope)
	if err != nil {
		return err
	}
	outbox.transport.observer.Sent(outbox.to, next.kind, size)
	return nil
}
