package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayMode is how a relay treats bytes.
type relayMode int32

const (
	modePass   relayMode = iota
	modeDelay            // each piece waits for relayDelay
	modeOneWay           // bytes towards the target vanish
	modeSilent           // bytes vanish both ways
	modeCut              // connections are reset and refused
	modes      = 5
)

const relayDelay = 60 * time.Millisecond

// relay passes connections on to a target and breaks them.
type relay struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	relay := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go relay.accept()
	return relay, nil
}

func (relay *relay) address() string { return relay.listener.Addr().String() }

// set changes the mode; a cut resets what is open.
func (relay *relay) set(mode relayMode) {
	relay.mode.Store(int32(mode))
	if mode != modeCut {
		return
	}
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for conn := range relay.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // a closed connection needs none
	_ = conn.Close()
}

func (relay *relay) accept() {
	for {
		near, err := relay.listener.Accept()
		if err != nil {
			return
		}
		if relayMode(relay.mode.Load()) == modeCut {
			reset(near)
			continue
		}
		far, err := net.Dial("tcp", relay.target)
		if err != nil {
			reset(near)
			continue
		}
		relay.mutex.Lock()
		relay.conns[near], relay.conns[far] = struct{}{}, struct{}{}
		relay.mutex.Unlock()
		go relay.copy(far, near, true)
		go relay.copy(near, far, false)
	}
}

// copy passes bytes on until either side ends; bytes that vanish are not made up for, so a connection stays broken.
func (relay *relay) copy(to, from net.Conn, forward bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		relay.mutex.Lock()
		delete(relay.conns, from)
		relay.mutex.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	broken := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := relayMode(relay.mode.Load())
		broken = broken || mode == modeSilent || mode == modeOneWay && forward
		if mode == modeDelay {
			time.Sleep(time.Duration(rand.Int64N(int64(relayDelay))))
		}
		if broken {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (relay *relay) close() {
	_ = relay.listener.Close()
	relay.set(modeCut)
}
