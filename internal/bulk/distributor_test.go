package bulk

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/spread"
	"corianderspool.example/spool/internal/lend"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	testKind = "config"
	testName = "main"
)

// testFleet is a set of proxies with transports of their own.
type testFleet struct {
	c         *qt.C
	mutex     sync.Mutex
	addresses map[spool.VM]string
	linkRate  int // bytes a second from each proxy; zero means unlimited
}

// testProxy is one proxy of a fleet.
type testProxy struct {
	*Distributor
	fleet     *testFleet
	vm        spool.VM
	transport *peer.Transport
	serve     func(from spool.VM, conn net.Conn) // replaces the distributor's answer

	mutex     sync.Mutex
	versions  []uint64 // in effect, in order
	whole     []spool.VM
	outcomes  map[string]int
	served    int // bytes
	malformed bool
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{c: qt.New(t), addresses: map[spool.VM]string{}}
}

func (fleet *testFleet) address(vm spool.VM) (string, bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	address, known := fleet.addresses[vm]
	return address, known
}

func (fleet *testFleet) start(vm spool.VM) *testProxy {
	proxy := &testProxy{fleet: fleet, vm: vm, outcomes: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fleet.c.Assert(err, qt.IsNil)
	fleet.mutex.Lock()
	fleet.addresses[vm] = listener.Addr().String()
	fleet.mutex.Unlock()
	proxy.transport = peer.New(vm, peer.NewPlainAuthenticator(vm, sock.Dialer(sock.DefaultUserTimeout)), fleet.address)
	proxy.Distributor = New(testKind, testName, clock.Real{}, proxy, proxy.put, WithObserver(proxy), WithBandwidth(float64(fleet.linkRate)))
	proxy.transport.Listen(listener, proxy)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		proxy.Run(ctx)
	}()
	fleet.c.Cleanup(func() {
		cancel()
		proxy.transport.Close()
		<-done
	})
	return proxy
}

func (proxy *testProxy) put(object spool.Object, version uint64, _ bool) error {
	proxy.mutex.Lock()
	if proxy.malformed {
		proxy.mutex.Unlock()
		return errors.New("malformed")
	}
	proxy.versions = append(proxy.versions, version)
	proxy.mutex.Unlock()
	proxy.Publish(object, version)
	return nil
}

// Open, Locate, RequestWhole, Receive and Serve implement Peers and peer.Handler.
func (proxy *testProxy) Open(ctx context.Context, vm spool.VM) (net.Conn, error) {
	return proxy.transport.Open(ctx, vm)
}

func (*testProxy) Locate(spool.VM) (spool.Domain, spread.Distance) { return "d1", spread.SameDomain }

func (proxy *testProxy) RequestWhole(vm spool.VM) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.whole = append(proxy.whole, vm)
}

func (*testProxy) Receive(spool.VM, *wire.Envelope) {}

func (proxy *testProxy) Serve(from spool.VM, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if proxy.serve != nil {
		proxy.serve(from, conn)
		return
	}
	link := conn
	if proxy.fleet.linkRate > 0 {
		link = &slowConn{Conn: conn, rate: proxy.fleet.linkRate}
	}
	stream := lend.NewStream(link)
	frame, err := stream.Read()
	if err == nil && frame.GetBulkRequest() != nil {
		proxy.Distributor.Serve(from, stream, frame.GetBulkRequest())
	}
}

// Fetched and Served implement Observer.
func (proxy *testProxy) Fetched(outcome string) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.outcomes["fetch "+outcome]++
}

func (proxy *testProxy) Served(_ spool.VM, outcome string, bytes int) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.outcomes["serve "+outcome]++
	proxy.served += bytes
}

func (proxy *testProxy) count(outcome string) int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.outcomes[outcome]
}

func (proxy *testProxy) publish(version uint64, body []byte) {
	proxy.Publish(spool.Object{Kind: testKind, Name: testName, Version: spool.Version(100 + version), Body: body}, version)
}

func (proxy *testProxy) await(version uint64) {
	proxy.fleet.c.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for proxy.Sample().InEffect < version {
		if time.Now().After(deadline) {
			proxy.fleet.c.Fatalf("%s has version %d after 20 s", proxy.vm, proxy.Sample().InEffect)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// slowConn sends at a bounded rate.
type slowConn struct {
	net.Conn
	rate int
}

func (conn *slowConn) Write(data []byte) (int, error) {
	time.Sleep(time.Duration(len(data)) * time.Second / time.Duration(conn.rate))
	return conn.Conn.Write(data)
}

// TestVersionSpreadsOverSlowLinks sends a configuration of 5,000 routes from one proxy to eight others, each with a link of
// 10 Mbit/s. It guards against a source that serves all at once, and against a small change that costs a whole body.
func TestVersionSpreadsOverSlowLinks(t *testing.T) {
	fleet := newTestFleet(t)
	fleet.linkRate = 1_250_000
	source := fleet.start("source")
	var others []*testProxy
	for i := range 8 {
		others = append(others, fleet.start(spool.VM(fmt.Sprintf("vm%d", i))))
	}
	body := configText(1, 5000)
	bodies := map[uint64][]byte{1: body, 2: changed(body)}
	served := map[uint64]int{}
	for version := uint64(1); version <= 2; version++ {
		source.publish(version, bodies[version])
		began := time.Now()
		for _, other := range others {
			other.Announce("source", version)
		}
		for _, other := range others {
			other.await(version)
		}
		source.mutex.Lock()
		served[version] = source.served - served[1]
		source.mutex.Unlock()
		t.Logf("version %d at all after %v, %d bytes from the source", version, time.Since(began), served[version])
	}
	fleet.c.Check(served[1] <= 6*140_000, qt.IsTrue, qt.Commentf("%d", served[1]))
	fleet.c.Check(served[2] <= 8*700, qt.IsTrue, qt.Commentf("%d", served[2]))
	fleet.c.Check(source.count("serve busy") > 0, qt.IsTrue)
	for _, other := range others {
		fleet.c.Check(other.versions, qt.DeepEquals, []uint64{1, 2})
		newest := other.library.Newest()
		fleet.c.Check(string(newest.Body) == string(bodies[2]), qt.IsTrue)
		fleet.c.Check(newest.Stored, qt.Equals, spool.Version(102))
	}
}

// TestFailedSourceIsReplaced guards against a receiver that waits for a source which is frozen, closes streams, answers as a
// proxy of an older version or sends false data: it gets the version from the other source within 2 s, never a false one.
func TestFailedSourceIsReplaced(t *testing.T) {
	body := configText(1, 300)
	sources := map[string]func(conn net.Conn){
		"fetch stalled":     func(net.Conn) { time.Sleep(3 * time.Second) },
		"fetch older_proxy": func(net.Conn) {},
		"fetch closed": func(conn net.Conn) {
			stream := lend.NewStream(conn)
			_, _ = stream.Read()
			_ = writeAnswer(stream, &wire.BulkAnswer{Version: 1, Bytes: 1000, PackedBytes: 1000})
		},
		"fetch corrupted": func(conn net.Conn) {
			stream := lend.NewStream(conn)
			_, _ = stream.Read()
			packed, _ := pack(101, changed(body), nil)
			hash := contentHash(101, body)
			_ = writeAnswer(stream, &wire.BulkAnswer{Version: 1, Hash: hash, Bytes: uint64(len(changed(body))), PackedBytes: uint64(len(packed))})
			piece := &wire.BulkPiece{Data: packed}
			_ = stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_BulkPiece{BulkPiece: piece}})
			_, _ = stream.Read()
		},
	}
	for outcome, serve := range sources {
		t.Run(outcome, func(t *testing.T) {
			fleet := newTestFleet(t)
			failing, source, receiver := fleet.start("failing"), fleet.start("source"), fleet.start("receiver")
			failing.serve = func(_ spool.VM, conn net.Conn) { serve(conn) }
			source.publish(1, body)
			receiver.Announce("failing", 1)
			began := time.Now()
			for receiver.count(outcome) == 0 {
				fleet.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("%v", receiver.outcomes))
				time.Sleep(time.Millisecond)
			}
			fleet.c.Check(receiver.Sample().InEffect, qt.Equals, uint64(0))
			receiver.Announce("source", 1)
			receiver.await(1)
			fleet.c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			fleet.c.Check(string(receiver.library.Newest().Body), qt.Equals, string(body))
			if outcome == "fetch older_proxy" {
				fleet.c.Check(receiver.whole, qt.DeepEquals, []spool.VM{"failing"})
			}
		})
	}
}

// TestSourceThatBreaksOffItsAnswerIsNoOlderProxy guards against a source whose stream ends within its answer being taken for a proxy
// of an older version, which is skipped for longer and asked for the whole configuration. Only an end before the first byte
// tells an older version.
func TestSourceThatBreaksOffItsAnswerIsNoOlderProxy(t *testing.T) {
	var answer bytes.Buffer
	frame := &wire.StreamFrame{Body: &wire.StreamFrame_BulkAnswer{BulkAnswer: &wire.BulkAnswer{
		Version: 1, Bytes: 1000, PackedBytes: 1000, Sources: []string{strings.Repeat("x", 200)}, // the length takes two bytes
	}}}
	_, err := peer.NewWriter[wire.StreamFrame](&answer).Write(frame)
	qt.Assert(t, err, qt.IsNil)
	for _, sent := range []int{1, 2, 3, answer.Len() - 1, answer.Len()} {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			fleet := newTestFleet(t)
			failing, receiver := fleet.start("failing"), fleet.start("receiver")
			failing.serve = func(_ spool.VM, conn net.Conn) {
				_, _ = lend.NewStream(conn).Read()
				_, _ = conn.Write(answer.Bytes()[:sent])
			}
			receiver.Announce("failing", 1)
			began := time.Now()
			for receiver.count("fetch closed") == 0 {
				fleet.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("%v", receiver.outcomes))
				time.Sleep(time.Millisecond)
			}
			fleet.c.Check(receiver.count("fetch older_proxy"), qt.Equals, 0)
			receiver.mutex.Lock()
			defer receiver.mutex.Unlock()
			fleet.c.Check(receiver.whole, qt.HasLen, 0)
		})
	}
}

// TestMalformedVersionIsNotServed guards against a malformed body that spreads from proxies which cannot use it.
func TestMalformedVersionIsNotServed(t *testing.T) {
	fleet := newTestFleet(t)
	source, receiver := fleet.start("source"), fleet.start("receiver")
	source.publish(1, configText(1, 10))
	receiver.Announce("source", 1)
	receiver.await(1)
	receiver.mutex.Lock()
	receiver.malformed = true
	receiver.mutex.Unlock()
	source.publish(2, configText(2, 10))
	receiver.Announce("source", 2)
	for receiver.count("fetch corrupted") == 0 {
		time.Sleep(time.Millisecond)
	}
	fleet.c.Check(receiver.Sample().InEffect, qt.Equals, uint64(1))
	fleet.c.Check(receiver.library.Newest().Version, qt.Equals, uint64(1))
}

// TestSlowReceiverFreesItsPlace guards against a receiver that takes nothing and keeps others from being served.
func TestSlowReceiverFreesItsPlace(t *testing.T) {
	fleet := newTestFleet(t)
	source, receiver := fleet.start("source"), fleet.start("receiver")
	source.publish(1, configText(1, 5000))
	conn, err := receiver.Open(context.Background(), "source")
	fleet.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	stream := lend.NewStream(conn)
	request := &wire.BulkRequest{Kind: testKind, Name: testName}
	fleet.c.Assert(stream.Write(&wire.StreamFrame{Body: &wire.StreamFrame_BulkRequest{BulkRequest: request}}), qt.IsNil)
	began := time.Now()
	for source.Sample().Serving == 0 {
		fleet.c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
	receiver.Announce("source", 1)
	receiver.await(1)
	fleet.c.Check(time.Since(began) < 4*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	fleet.c.Check(source.count("serve broken"), qt.Equals, 1)
}
