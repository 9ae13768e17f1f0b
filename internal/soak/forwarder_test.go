package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// forwardMode is how a forwarder treats connections and bytes.
type forwardMode int32

const (
	modePass   forwardMode = iota
	modeDelay              // each read waits up to maxForwardDelay
	modeOneWay             // bytes towards the target are dropped
	modeSilent             // bytes are dropped in both directions
	modeCut                // open and new connections are reset
	modeCount  = 5
)

const maxForwardDelay = 60 * time.Millisecond

// forwarder forwards TCP connections to a target and injects network faults.
type forwarder struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	mutex    sync.Mutex
	conns    map[net.Conn]struct{}
}

func newForwarder(target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	forwarder := &forwarder{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go forwarder.accept()
	return forwarder, nil
}

func (forwarder *forwarder) address() string { return forwarder.listener.Addr().String() }

// setMode changes the mode; modeCut resets the open connections.
func (forwarder *forwarder) setMode(mode forwardMode) {
	forwarder.mode.Store(int32(mode))
	if mode != modeCut {
		return
	}
	forwarder.mutex.Lock()
	defer forwarder.mutex.Unlock()
	for conn := range forwarder.conns {
		resetConn(conn)
	}
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	_ = conn.Close()
}

func (forwarder *forwarder) accept() {
	for {
		clientConn, err := forwarder.listener.Accept()
		if err != nil {
			return
		}
		if forwardMode(forwarder.mode.Load()) == modeCut {
			resetConn(clientConn)
			continue
		}
		serverConn, err := net.Dial("tcp", forwarder.target)
		if err != nil {
			resetConn(clientConn)
			continue
		}
		forwarder.mutex.Lock()
		forwarder.conns[clientConn], forwarder.conns[serverConn] = struct{}{}, struct{}{}
		forwarder.mutex.Unlock()
		go forwarder.copy(serverConn, clientConn, true)
		go forwarder.copy(clientConn, serverConn, false)
	}
}

// copy forwards bytes until either side closes. After dropped bytes it drops all later ones, since the stream has a gap.
func (forwarder *forwarder) copy(to, from net.Conn, toTarget bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		forwarder.mutex.Lock()
		delete(forwarder.conns, from)
		forwarder.mutex.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := forwardMode(forwarder.mode.Load())
		dropping = dropping || mode == modeSilent || mode == modeOneWay && toTarget
		if mode == modeDelay {
			time.Sleep(time.Duration(rand.Int64N(int64(maxForwardDelay))))
		}
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (forwarder *forwarder) close() {
	_ = forwarder.listener.Close()
	forwarder.setMode(modeCut)
}
