package back

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// peeker looks at an idle socket without reading from it.
type peeker struct {
	raw    syscall.RawConn
	look   func(descriptor uintptr) bool
	poll   [1]unix.PollFd
	closed bool
}

func newPeeker(raw syscall.RawConn) *peeker {
	peeker := &peeker{raw: raw}
	peeker.look = func(descriptor uintptr) bool {
		peeker.closed = peeker.ended(int(descriptor))
		return true
	}
	return peeker
}

// hungUp tells that the server closed the connection, or said that it ends the session, while it was idle.
func (peeker *peeker) hungUp() bool {
	return peeker.raw.Read(peeker.look) != nil || peeker.closed
}

func (peeker *peeker) ended(descriptor int) bool {
	peeker.poll[0] = unix.PollFd{Fd: int32(descriptor), Events: unix.POLLIN | unix.POLLRDHUP}
	ready, err := unix.Poll(peeker.poll[:], 0)
	if err != nil || ready == 0 {
		return false
	}
	if peeker.poll[0].Revents&unix.POLLIN == 0 {
		return true
	}
	var first [1]byte
	n, _, err := unix.Recvfrom(descriptor, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == unix.EAGAIN || err == unix.EINTR {
		return false
	}
	return err != nil || n <= 0 || first[0] == 'E'
}

// hungUp tells that the server ended the session while the connection was idle.
func (conn *Conn) hungUp() bool {
	switch {
	case conn.unsynced:
		return false
	case conn.start < conn.end:
		return conn.buffer[conn.start] == 'E'
	}
	return conn.peeker != nil && conn.peeker.hungUp()
}
