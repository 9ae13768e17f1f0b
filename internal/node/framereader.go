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

// frameReader reads the frames of a stream ahead, so that a Cancel frame takes effect while a cycle runs.
type frameReader struct {
	ctx    context.Context
	frames chan *wire.Frame

	mutex         sync.Mutex
	receivedAt    spool.Instant // when the newest frame other than Cancel was received
	cancelRunning context.CancelFunc
}

func newFrameReader(ctx context.Context, conn net.Conn, onEnd func()) *frameReader {
	frameReader := &frameReader{ctx: ctx, frames: make(chan *wire.Frame)}
	go func() {
		defer close(frameReader.frames)
		defer onEnd()
		frameReader.read(conn)
	}()
	return frameReader
}

func (frameReader *frameReader) read(conn net.Conn) {
	reader := peer.NewReader[wire.Frame](conn)
	for {
		frame, err := reader.Read()
		if err != nil {
			return
		}
		if _, isCancel := frame.Body.(*wire.Frame_Cancel); isCancel {
			frameReader.cancelCycle()
			continue
		}
		frameReader.setReceivedAt()
		select {
		case frameReader.frames <- frame:
		case <-frameReader.ctx.Done():
			return
		}
	}
}

func (frameReader *frameReader) setReceivedAt() {
	frameReader.mutex.Lock()
	defer frameReader.mutex.Unlock()
	frameReader.receivedAt = clock.Real{}.Now()
}

// beginCycle sets the function that cancels the running cycle and returns when the cycle was received.
func (frameReader *frameReader) beginCycle(cancel context.CancelFunc) spool.Instant {
	frameReader.mutex.Lock()
	defer frameReader.mutex.Unlock()
	frameReader.cancelRunning = cancel
	return frameReader.receivedAt
}

func (frameReader *frameReader) endCycle() {
	frameReader.mutex.Lock()
	defer frameReader.mutex.Unlock()
	frameReader.cancelRunning = nil
}

func (frameReader *frameReader) cancelCycle() {
	frameReader.mutex.Lock()
	defer frameReader.mutex.Unlock()
	if frameReader.cancelRunning != nil {
		frameReader.cancelRunning()
	}
}
