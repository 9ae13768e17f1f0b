package fleet

import (
	"net"

	"go.uber.org/zap"

	"corianderspool.example/spool/internal/guard"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// guardedHandler drops a message and ends a stream of another proxy whose handling panics; it implements peer.Handler.
type guardedHandler struct {
	peer.Handler
	logger *zap.Logger
}

// Receive handles a message.
func (handler guardedHandler) Receive(from spool.VM, envelope *wire.Envelope) {
	guardPeer(handler.logger, "message", from, func() { handler.Handler.Receive(from, envelope) })
}

// Serve handles a stream.
func (handler guardedHandler) Serve(from spool.VM, stream net.Conn) {
	guardPeer(handler.logger, "stream", from, func() { handler.Handler.Serve(from, stream) })
}

// guardPeer runs the handling of a part of another proxy's traffic.
func guardPeer(logger *zap.Logger, part string, from spool.VM, handle func()) {
	guard.Run(logger, handle, zap.String("Part", part), zap.String("Peer", string(from)))
}
