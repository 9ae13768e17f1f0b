package peer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

type recorder struct{ envelopes chan *wire.Envelope }

func (recorder *recorder) Receive(_ spool.VM, envelope *wire.Envelope) {
	recorder.envelopes <- envelope
}

func (recorder *recorder) Serve(_ spool.VM, stream net.Conn) {
	_, _ = io.Copy(stream, stream)
	_ = stream.Close()
}

type fixture struct {
	issuer    *certs.Issuer
	addresses map[spool.VM]string
}

func newFixture(c *qt.C) *fixture {
	issuer, err := certs.NewIssuer(time.Hour)
	c.Assert(err, qt.IsNil)
	return &fixture{issuer: issuer, addresses: map[spool.VM]string{}}
}

func (fixture *fixture) start(c *qt.C, vm spool.VM, options ...peer.Option) (*peer.Transport, *recorder) {
	files, err := fixture.issuer.Issue(c.TempDir(), vm)
	c.Assert(err, qt.IsNil)
	bundle, err := certs.Load(files)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	fixture.addresses[vm] = listener.Addr().String()
	transport := peer.New(vm, peer.NewTLSAuthenticator(bundle), func(vm spool.VM) (string, bool) {
		address, known := fixture.addresses[vm]
		return address, known
	}, options...)
	recorder := &recorder{envelopes: make(chan *wire.Envelope, 16)}
	transport.Listen(listener, recorder)
	c.Cleanup(transport.Close)
	return transport, recorder
}

func TestMessagesCarryAuthenticatedSender(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	_, received := fixture.start(c, "b")
	sender, _ := fixture.start(c, "a")
	sender.Send("b", &wire.Envelope{From: "somebody else", Incarnation: 7})
	select {
	case envelope := <-received.envelopes:
		c.Assert(envelope.From, qt.Equals, "a")
		c.Assert(envelope.Incarnation, qt.Equals, uint64(7))
	case <-time.After(5 * time.Second):
		c.Fatal("no message arrived")
	}
}

// TestCloseReleasesTheAddress guards against a proxy that cannot listen after a restart, because the listener of the one before is
// closed later than it ends.
func TestCloseReleasesTheAddress(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	for range 50 {
		transport, _ := fixture.start(c, "b")
		transport.Close()
		listener, err := net.Listen("tcp", fixture.addresses["b"])
		c.Assert(err, qt.IsNil)
		c.Assert(listener.Close(), qt.IsNil)
	}
}

func TestStreamsCarryData(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	fixture.start(c, "b")
	dialer, _ := fixture.start(c, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stream, err := dialer.Open(ctx, "b")
	c.Assert(err, qt.IsNil)
	defer func() { _ = stream.Close() }()
	_, err = stream.Write([]byte("hello"))
	c.Assert(err, qt.IsNil)
	answer := make([]byte, 5)
	_, err = io.ReadFull(stream, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(answer), qt.Equals, "hello")
}

func TestUnknownAuthorityIsRefused(t *testing.T) {
	c := qt.New(t)
	fixture, other := newFixture(c), newFixture(c)
	fixture.start(c, "b")
	other.addresses = fixture.addresses
	dialer, _ := other.start(c, "a")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := dialer.Open(ctx, "b")
	c.Assert(err, qt.ErrorMatches, `dial b: .*unknown authority.*`)
}

func TestCertificateOfAnotherVMIsRefused(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	fixture.start(c, "b")
	dialer, _ := fixture.start(c, "a")
	fixture.addresses["c"] = fixture.addresses["b"]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := dialer.Open(ctx, "c")
	c.Assert(err, qt.ErrorMatches, `dial c: .*not c.*`)
}

// TestIdleConnectionsAreClosed checks that both sides close connections after the idle time and that the next message opens
// one again.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c)
	first, _ := fixture.start(c, "vm1", peer.WithIdleTime(300*time.Millisecond))
	second, received := fixture.start(c, "vm2")
	for range 2 {
		first.Send("vm2", &wire.Envelope{Incarnation: 7})
		c.Assert((<-received.envelopes).Incarnation, qt.Equals, uint64(7))
		stream, err := first.Open(context.Background(), "vm2")
		c.Assert(err, qt.IsNil)
		await(c, func() bool { return second.AcceptedCount() == 2 })
		c.Assert(stream.Close(), qt.IsNil)
		await(c, func() bool { return second.AcceptedCount() == 0 })
	}
}

func await(c *qt.C, condition func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
	}
}
