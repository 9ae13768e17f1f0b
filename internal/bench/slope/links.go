package slope

import (
	"bytes"
	"context"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"corianderspool.example/spool/internal/certs"
	"corianderspool.example/spool/internal/peer"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	linkPatience = 10 * time.Second
	window       = 100 // messages sent ahead
)

func linkMeasures() []measure {
	return []measure{
		line("LinkControl", "peers", "bytes on both VMs, each sends to the other", []int{8, 16, 32, 64}, controlLinks),
		line("LinkData", "peers", "bytes on both VMs, one opened a stream", []int{8, 16, 32, 64}, dataLinks),
		line("LinkMessage", "bytes of a message", "CPU µs a message on both VMs", []int{100, 1000, 10000, 100000}, messages),
	}
}

// sink counts the messages that reach a transport.
type sink struct{ received chan struct{} }

// Receive counts one message.
func (sink *sink) Receive(spool.VM, *wire.Envelope) { sink.received <- struct{}{} }

// Serve keeps a stream open until the other side closes it.
func (sink *sink) Serve(_ spool.VM, stream net.Conn) {
	var buffer [1]byte
	_, _ = stream.Read(buffer[:])
	_ = stream.Close()
}

// yard holds transports of several VMs in this process.
type yard struct {
	dir        string
	issuer     *certs.Issuer
	addresses  map[spool.VM]string
	transports []*peer.Transport
	sink       *sink
}

func newYard(vms int) (*yard, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, eris.Wrap(err, "make a folder for certificates")
	}
	yard := &yard{dir: dir, addresses: map[spool.VM]string{}, sink: &sink{received: make(chan struct{}, 2*window)}}
	if yard.issuer, err = certs.NewIssuer(time.Hour); err != nil {
		return yard, err
	}
	for i := range vms {
		if err := yard.add(memberAt(i).VM); err != nil {
			return yard, err
		}
	}
	return yard, nil
}

func (yard *yard) add(vm spool.VM) error {
	files, err := yard.issuer.Issue(yard.dir, vm)
	if err != nil {
		return err
	}
	bundle, err := certs.Load(files)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	yard.addresses[vm] = listener.Addr().String()
	transport := peer.New(vm, peer.NewTLSAuthenticator(bundle), func(vm spool.VM) (string, bool) {
		address, known := yard.addresses[vm]
		return address, known
	})
	transport.Listen(listener, yard.sink)
	yard.transports = append(yard.transports, transport)
	return nil
}

func (yard *yard) close() {
	for _, transport := range yard.transports {
		transport.Close()
	}
	_ = os.RemoveAll(yard.dir)
}

func (yard *yard) await(messages int) error {
	patience := time.NewTimer(linkPatience)
	defer patience.Stop()
	for range messages {
		select {
		case <-yard.sink.received:
		case <-patience.C:
			return eris.New("a message did not arrive")
		}
	}
	return nil
}

func controlLinks(peers int) (float64, error) {
	yard, err := newYard(peers + 1)
	if err != nil {
		return 0, err
	}
	defer yard.close()
	return bytesOf(func() (any, error) {
		for i := 1; i <= peers; i++ {
			yard.transports[0].Send(memberAt(i).VM, &wire.Envelope{From: "vm-0000"})
			yard.transports[i].Send(memberAt(0).VM, &wire.Envelope{From: "vm-0001"})
		}
		return yard, yard.await(2 * peers)
	})
}

func dataLinks(peers int) (float64, error) {
	yard, err := newYard(peers + 1)
	if err != nil {
		return 0, err
	}
	defer yard.close()
	return bytesOf(func() (any, error) {
		streams := []net.Conn{}
		for i := 1; i <= peers; i++ {
			stream, err := yard.transports[0].Open(context.Background(), memberAt(i).VM)
			if err != nil {
				return streams, err
			}
			if _, err := stream.Write(nil); err != nil {
				return streams, err
			}
			streams = append(streams, stream)
		}
		time.Sleep(100 * time.Millisecond)
		return streams, nil
	})
}

// messages measures messages that are sent a window at a time.
func messages(size int) (float64, error) {
	yard, err := newYard(2)
	if err != nil {
		return 0, err
	}
	defer yard.close()
	envelope := &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: &wire.ConfigAnswer{
		Objects: []*wire.ObjectCopy{{Body: bytes.Repeat([]byte("a"), size)}},
	}}}
	var lost error
	micros := microsPerCall(func() {
		for range window {
			yard.transports[0].Send(memberAt(1).VM, envelope)
		}
		if err := yard.await(window); err != nil {
			lost = err
		}
	})
	return micros / window, lost
}
