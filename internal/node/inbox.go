package node

import (
	"context"
	"net"
	"sync"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// inbox reads the frames of a stream ahead, so that a cancellation reaches the cycle that runs.
type inbox struct {
	ctx    context.Context
	frames chan *wire.Frame

	mutex   sync.Mutex
	at      spool.Instant // receipt of the newest frame that is not a cancellation
	running context.CancelFunc
}

func newInbox(ctx context.Context, conn net.Conn, ended func()) *inbox {
	inbox := &inbox{ctx: ctx, frames: make(chan *wire.Frame)}
	go func() {
		defer close(inbox.frames)
		defer ended()
		inbox.read(conn)
	}()
	return inbox
}

func (inbox *inbox) read(conn net.Conn) {
	reader := peer.NewReader[wire.Frame](conn)
	for {
		frame, err := reader.Read()
		if err != nil {
			return
		}
		if _, isCancel := frame.Body.(*wire.Frame_Cancel); isCancel {
			inbox.cancel()
			continue
		}
		inbox.stamp()
		select {
		case inbox.frames <- frame:
		case <-inbox.ctx.Done():
			return
		}
	}
}

func (inbox *inbox) stamp() {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	inbox.at = clock.Real{}.Now()
}

// begin names the function that cancels the running cycle and returns when the cycle was received.
func (inbox *inbox) begin(cancel context.CancelFunc) spool.Instant {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	inbox.running = cancel
	return inbox.at
}

func (inbox *inbox) end() {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	inbox.running = nil
}

func (inbox *inbox) cancel() {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.running != nil {
		inbox.running()
	}
}
