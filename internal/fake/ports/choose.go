package ports

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	loopback = "127.0.0.1"
	lowest   = 10000
	highest  = 32000 // outgoing connections get higher ports
	tries    = 100
)

// Choose returns as many different loopback addresses whose ports were free; it fails if there are none.
//
// No outgoing connection takes such a port before somebody listens on it, or while a process starts anew.
func Choose(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := listen()
		if err != nil {
			return nil, eris.Wrap(err, "choose a port")
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

func listen() (net.Listener, error) {
	var err error
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}
