package fleet

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// panickingHandler panics on each message and stream.
type panickingHandler struct{}

func (panickingHandler) Receive(spool.VM, *wire.Envelope) { panic("message") }

func (panickingHandler) Serve(spool.VM, net.Conn) { panic("stream") }

// TestPanicsOnPeerTrafficAreRecovered guards against a message or stream of another proxy that ends the process.
func TestPanicsOnPeerTrafficAreRecovered(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	handler := guardedHandler{panickingHandler{}, zap.New(core)}
	handler.Receive("vm1", &wire.Envelope{})
	handler.Serve("vm1", nil)
	c.Assert(logs.Len(), qt.Equals, 2)
	for index, part := range []string{"message", "stream"} {
		fields := logs.All()[index].ContextMap()
		c.Assert(fields["Event"], qt.Equals, int64(event.PanicRecovered))
		c.Assert(fields["Part"], qt.Equals, part)
		c.Assert(fields["Peer"], qt.Equals, "vm1")
	}
}
