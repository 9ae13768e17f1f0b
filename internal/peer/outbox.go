package peer

import (
	"errors"
	"net"
	"time"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// errIdle says that a connection was closed because nothing was sent for a while.
var errIdle = errors.New("nothing to send")

// outbox sends control messages to one proxy in order and drops them while it is out of reach.
type outbox struct {
	transport *Transport
	to        spool.VM
	queue     chan *wire.Envelope
	lost      bool
	used      time.Time // when a message was last queued; guarded by the transport's mutex
}

func newOutbox(transport *Transport, to spool.VM) *outbox {
	return &outbox{transport: transport, to: to, queue: make(chan *wire.Envelope, queueLength)}
}

func (outbox *outbox) put(envelope *wire.Envelope) {
	outbox.used = time.Now()
	select {
	case outbox.queue <- envelope:
	default:
	}
}

func (outbox *outbox) run() {
	backoff := shortestBackoff
	for outbox.transport.ctx.Err() == nil {
		err := outbox.connect()
		if outbox.transport.retire(outbox) {
			return
		}
		if errors.Is(err, errIdle) {
			continue // a message came at the last moment
		}
		if !outbox.lost && outbox.transport.ctx.Err() == nil {
			outbox.lost = true
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

// connect sends until the connection breaks.
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
	if outbox.lost {
		outbox.lost = false
		outbox.transport.log(event.PeerReachable, outbox.to, nil)
	}
	return outbox.pump(stream, session.CloseChan())
}

func (outbox *outbox) pump(stream net.Conn, closed <-chan struct{}) error {
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
