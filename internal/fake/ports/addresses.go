package ports

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	loopback    = "127.0.0.1"
	minPort     = 10000
	maxPort     = 32000 // below the ephemeral ports of outgoing connections
	maxAttempts = 100
)

// FreeAddresses returns count different loopback addresses with free ports; it fails if it finds none in 100 attempts.
//
// The ports lie below the ephemeral range, so that no outgoing connection occupies one before a process listens on it or
// while a process restarts.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := listenOnRandomPort()
		if err != nil {
			return nil, eris.Wrap(err, "find a free loopback port")
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

func listenOnRandomPort() (net.Listener, error) {
	var err error
	for range maxAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, err
}
