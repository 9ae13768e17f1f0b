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
	receiveTimeout = 10 * time.Second
	window         = 100 // messages in flight
)

func transportMeasures() []measure {
	return []measure{
		newMeasure("LinkControl", "peers", "bytes on both VMs, each sends to the other", []int{8, 16, 32, 64}, controlConnectionMemory),
		newMeasure("LinkData", "peers", "bytes on both VMs, one opened a stream", []int{8, 16, 32, 64}, dataConnectionMemory),
		newMeasure("LinkMessage", "bytes of a message", "CPU µs a message on both VMs", []int{100, 1000, 10000, 100000}, messageMicros),
	}
}

// messageCounter counts the messages that reach a transport.
type messageCounter struct{ received chan struct{} }

// Receive counts one message.
func (messageCounter *messageCounter) Receive(spool.VM, *wire.Envelope) {
	messageCounter.received <- struct{}{}
}

// Serve keeps a stream open until the other side closes it.
func (messageCounter *messageCounter) Serve(_ spool.VM, stream net.Conn) {
	var buffer [1]byte
	_, _ = stream.Read(buffer[:])
	_ = stream.Close()
}

// transportMesh holds the transports of several VMs in this process.
type transportMesh struct {
	dir            string
	issuer         *certs.Issuer
	addresses      map[spool.VM]string
	transports     []*peer.Transport
	messageCounter *messageCounter
}

func newTransportMesh(vms int) (*transportMesh, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, eris.Wrap(err, "create a directory for certificates")
	}
	transportMesh := &transportMesh{dir: dir, addresses: map[spool.VM]string{}, messageCounter: &messageCounter{received: make(chan struct{}, 2*window)}}
	if transportMesh.issuer, err = certs.NewIssuer(time.Hour); err != nil {
		return transportMesh, err
	}
	for i := range vms {
		if err := transportMesh.add(memberAt(i).VM); err != nil {
			return transportMesh, err
		}
	}
	return transportMesh, nil
}

func (transportMesh *transportMesh) add(vm spool.VM) error {
	files, err := transportMesh.issuer.Issue(transportMesh.dir, vm)
	if err != nil {
		return err
	}
	bundle, err := certs.Load(files)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	transportMesh.addresses[vm] = listener.Addr().String()
	transport := peer.New(vm, peer.NewTLSAuthenticator(bundle), func(vm spool.VM) (string, bool) {
		address, known := transportMesh.addresses[vm]
		return address, known
	})
	transport.Listen(listener, transportMesh.messageCounter)
	transportMesh.transports = append(transportMesh.transports, transport)
	return nil
}

func (transportMesh *transportMesh) close() {
	for _, transport := range transportMesh.transports {
		transport.Close()
	}
	_ = os.RemoveAll(transportMesh.dir)
}

func (transportMesh *transportMesh) awaitMessages(messages int) error {
	timeout := time.NewTimer(receiveTimeout)
	defer timeout.Stop()
	for range messages {
		select {
		case <-transportMesh.messageCounter.received:
		case <-timeout.C:
			return eris.New("a message did not arrive before the timeout")
		}
	}
	return nil
}

func controlConnectionMemory(peers int) (float64, error) {
	transportMesh, err := newTransportMesh(peers + 1)
	if err != nil {
		return 0, err
	}
	defer transportMesh.close()
	return retainedBytes(func() (any, error) {
		for i := 1; i <= peers; i++ {
			transportMesh.transports[0].Send(memberAt(i).VM, &wire.Envelope{From: "vm-0000"})
			transportMesh.transports[i].Send(memberAt(0).VM, &wire.Envelope{From: "vm-0001"})
		}
		return transportMesh, transportMesh.awaitMessages(2 * peers)
	})
}

func dataConnectionMemory(peers int) (float64, error) {
	transportMesh, err := newTransportMesh(peers + 1)
	if err != nil {
		return 0, err
	}
	defer transportMesh.close()
	return retainedBytes(func() (any, error) {
		streams := []net.Conn{}
		for i := 1; i <= peers; i++ {
			stream, err := transportMesh.transports[0].Open(context.Background(), memberAt(i).VM)
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

// messageMicros measures the CPU time per message; messages are sent in windows.
func messageMicros(size int) (float64, error) {
	transportMesh, err := newTransportMesh(2)
	if err != nil {
		return 0, err
	}
	defer transportMesh.close()
	envelope := &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: &wire.ConfigAnswer{
		Objects: []*wire.ObjectCopy{{Body: bytes.Repeat([]byte("a"), size)}},
	}}}
	var failure error
	micros := microsPerCall(func() {
		for range window {
			transportMesh.transports[0].Send(memberAt(1).VM, envelope)
		}
		if err := transportMesh.awaitMessages(window); err != nil {
			failure = err
		}
	})
	return micros / window, failure
}
