package back

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// closeDetector inspects an idle socket without consuming data.
type closeDetector struct {
	raw     syscall.RawConn
	inspect func(descriptor uintptr) bool
	poll    [1]unix.PollFd
	closed  bool
}

func newCloseDetector(raw syscall.RawConn) *closeDetector {
	detector := &closeDetector{raw: raw}
	detector.inspect = func(descriptor uintptr) bool {
		detector.closed = detector.sessionEnded(int(descriptor))
		return true
	}
	return detector
}

// closedByServer reports whether the server closed the idle connection or sent an error that ends the session.
func (detector *closeDetector) closedByServer() bool {
	return detector.raw.Read(detector.inspect) != nil || detector.closed
}

func (detector *closeDetector) sessionEnded(descriptor int) bool {
	detector.poll[0] = unix.PollFd{Fd: int32(descriptor), Events: unix.POLLIN | unix.POLLRDHUP}
	ready, err := unix.Poll(detector.poll[:], 0)
	if err != nil || ready == 0 {
		return false
	}
	if detector.poll[0].Revents&unix.POLLIN == 0 {
		return true
	}
	var first [1]byte
	n, _, err := unix.Recvfrom(descriptor, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == unix.EAGAIN || err == unix.EINTR {
		return false
	}
	return err != nil || n <= 0 || first[0] == 'E'
}

// closedByServer reports whether the server ended the session while the connection was idle.
func (conn *Conn) closedByServer() bool {
	switch {
	case conn.unsynced:
		return false
	case conn.start < conn.end:
		return conn.buffer[conn.start] == 'E'
	}
	return conn.detector != nil && conn.detector.closedByServer()
}
