package fleet

import (
	"bufio"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/fake/linesrv"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// TestTunnelsEndWithAnEvacuation evacuates the failure domain of a server to which a proxy that has not learned of it has a tunnel:
// the tunnel ends after TransactionTime, and no other is opened.
func TestTunnelsEndWithAnEvacuation(t *testing.T) {
	c := qt.New(t)
	group, err := linesrv.NewGroup("g1", "a")
	c.Assert(err, qt.IsNil)
	defer group.Close()
	server := group.Server("a")
	timers := &jumpingClock{}
	settings := spool.FleetSettings{
		VM: "vm0", Domain: "z1", Region: "r1", Regions: map[spool.Domain]string{"z1": "r1"}, Store: "127.0.0.1:1",
		Bounds: spool.FleetBounds{Evacuate: 5 * time.Second},
	}
	proxy := New(settings, platform.New(settings, sock.Dialer(time.Second)), timers, zap.NewNop())
	proxy.pool.SetServer(spool.RegisteredServer{Server: "a", Group: "g1", Address: server.Address, Domain: "z1", Slots: 5, Primary: true})
	near, ended := openTunnel(proxy, server.Address)
	defer func() { _ = near.Close() }()
	reader := bufio.NewReader(near)
	exchange := func(line string) string {
		_ = near.SetDeadline(time.Now().Add(time.Second))
		_, _ = near.Write([]byte(line + "\r\n"))
		answer, _ := reader.ReadString('\n')
		return answer
	}
	c.Assert(requestTunnel(near, server.Address), qt.IsNil)
	c.Assert(exchange("START g1 red"), qt.Matches, "READY I .*\r\n")
	proxy.evacuations.apply(7, []spool.Domain{"z1"}, fromStore)
	c.Assert(exchange("QUERY 1 COMMIT"), qt.Not(qt.Equals), "")
	arrived := server.LastArrival()

	refused, _ := openTunnel(proxy, server.Address)
	defer func() { _ = refused.Close() }()
	c.Assert(requestTunnel(refused, server.Address), qt.IsNotNil)
	for range 2 { // each step is too short to look like a suspension
		timers.offset.Add(int64(place.TransactionTime / 2))
		proxy.evacuations.tick(timers.Now())
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		c.Fatal("the tunnel is still open")
	}
	exchange("QUERY 2 READ item")
	c.Assert(server.LastArrival(), qt.Equals, arrived)
	connections, _ := proxy.evacuations.counts("z1")
	c.Assert(connections, qt.Equals, 0)
}

// openTunnel returns the stream of a proxy that requests a tunnel; ended is closed when the tunnel has ended.
func openTunnel(proxy *Proxy, address string) (near net.Conn, ended chan struct{}) {
	near, far := net.Pipe()
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = far.Close() }()
		stream := lend.NewStream(far)
		if _, err := stream.Read(); err == nil {
			proxy.serveTunnel(stream, address)
		}
	}()
	return near, ended
}
