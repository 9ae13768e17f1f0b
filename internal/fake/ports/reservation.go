package ports

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	loopback    = "127.0.0.1"
	minPort     = 10000
	maxPort     = 32000 // below the ephemeral ports of outgoing connections
	blockSize   = 50    // ports that are reserved at once
	maxBlocks   = 20    // of one process, so that several run side by side
	maxAttempts = 100
)

// reservation holds blocks of ports and gives them out in turn. A block belongs to whoever listens on its first port, which is given to
// nobody: a port that is free when it is drawn would else be drawn by another process before it is used.
type reservation struct {
	mutex  sync.Mutex
	blocks []net.Listener // on the first port of each block
	given  int            // ports given out
}

// listen listens on the next reserved port that is free.
func (reservation *reservation) listen() (net.Listener, error) {
	reservation.mutex.Lock()
	defer reservation.mutex.Unlock()
	var err error
	for range maxAttempts {
		var port int
		if port, err = reservation.next(); err != nil {
			return nil, err
		}
		var listener net.Listener
		if listener, err = listenOn(port); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// next returns the next reserved port. With maxBlocks blocks it begins again.
func (reservation *reservation) next() (port int, err error) {
	const perBlock = blockSize - 1
	index := reservation.given / perBlock % maxBlocks
	if index == len(reservation.blocks) {
		block, err := reserveBlock()
		if err != nil {
			return 0, err
		}
		reservation.blocks = append(reservation.blocks, block)
	}
	first := reservation.blocks[index].Addr().(*net.TCPAddr).Port
	port = first + 1 + reservation.given%perBlock
	reservation.given++
	return port, nil
}

// reserveBlock listens on the first port of a block that no other process holds.
func reserveBlock() (net.Listener, error) {
	var err error
	for range maxAttempts {
		var block net.Listener
		if block, err = listenOn(minPort + blockSize*rand.IntN((maxPort-minPort)/blockSize)); err == nil {
			return block, nil
		}
	}
	return nil, eris.Wrap(err, "reserve a block of ports")
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
}
