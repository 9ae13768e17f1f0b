package peer

import (
	"errors"
	"net"
	"time"

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
	queue       chan *wire.Envelope
	unreachable bool
	lastUsed    time.Time // when a message was last queued; guarded by Transport.mutex
}

func newOutbox(transport *Transport, to spool.VM) *outbox {
	return &outbox{transport: transport, to: to, queue: make(chan *wire.Envelope, maxQueuedEnvelopes)}
}

func (outbox *outbox) enqueue(envelope *wire.Envelope) {
	outbox.lastUsed = time.Now()
	select {
	case outbox.queue <- envelope:
	default:
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
		if !outbox.unreachable && outbox.transport.ctx.Err() == nil {
			outbox.unreachable = true
			outbox.transport.log(event.PeerUnreachable, outbox.to, err)
		}
		outbox.discard()
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
	if outbox.unreachable {
		outbox.unreachable = false
		outbox.transport.log(event.PeerReachable, outbox.to, nil)
	}
	return outbox.sendQueued(stream, session.CloseChan())
}

func (outbox *outbox) sendQueued(stream net.Conn, closed <-chan struct{}) error {
	writer := NewWriter[wire.Envelope](stream)
	idle := time.NewTimer(outbox.transport.idleTime)
	defer idle.Stop()
	for {
		select {
		case <-outbox.transport.ctx.Done():
			return nil
		case <-closed:
			return nil
		case envelope := <-outbox.queue:
			_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
			size, err := writer.Write(envelope)
			if err != nil {
				return err
			}
			outbox.transport.observe(size)
			idle.Reset(outbox.transport.idleTime)
		case <-idle.C:
			return errIdle
		}
	}
}

func (outbox *outbox) discard() {
	for {
		select {
		case <-outbox.queue:
		default:
			return
		}
	}
}
