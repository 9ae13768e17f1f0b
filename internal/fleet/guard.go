package fleet

import (
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/guard"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// errDecodingPanicked means that an object or an answer is treated as malformed.
var errDecodingPanicked = eris.New("decoding panicked")

// guardedAdapter treats an object of the store or a server's answer as malformed if decoding it panics, so that one odd entry does
// not end the processes of all proxies that read it.
type guardedAdapter struct {
	spool.Adapter
	logger *zap.Logger
}

// ParseConfig decodes the configuration.
func (adapter guardedAdapter) ParseConfig(object spool.Object) (*spool.FleetConfig, error) {
	return decode(adapter.logger, object.Name, func() (*spool.FleetConfig, error) { return adapter.Adapter.ParseConfig(object) })
}

// ParseServer decodes the entry of a backend server.
func (adapter guardedAdapter) ParseServer(object spool.Object) (spool.RegisteredServer, error) {
	return decode(adapter.logger, object.Name, func() (spool.RegisteredServer, error) { return adapter.Adapter.ParseServer(object) })
}

// ParseStatus decodes a server's answer to a query of its status.
func (adapter guardedAdapter) ParseStatus(answer spool.Answer) (spool.ReplicaStatus, error) {
	return decode(adapter.logger, "status", func() (spool.ReplicaStatus, error) { return adapter.Adapter.ParseStatus(answer) })
}

// decode returns the result of decoding a part, or errDecodingPanicked.
func decode[T any](logger *zap.Logger, part string, parse func() (T, error)) (T, error) {
	var decoded T
	err := errDecodingPanicked
	guard.Run(logger, func() { decoded, err = parse() }, zap.String("Part", part))
	return decoded, err
}

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
