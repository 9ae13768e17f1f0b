package back

import (
	"golang.org/x/sys/unix"
)

// hungUp tells that the server closed the connection, or said that it ends the session, while it was idle.
func (conn *Conn) hungUp() bool {
	if conn.start < conn.end {
		return !conn.unsynced && conn.buffer[conn.start] == 'E'
	}
	if conn.raw == nil {
		return false
	}
	var first [1]byte
	closed := false
	err := conn.raw.Read(func(descriptor uintptr) bool {
		n, _, err := unix.Recvfrom(int(descriptor), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
			closed = false
		case err != nil || n <= 0:
			closed = true
		default:
			closed = !conn.unsynced && first[0] == 'E'
		}
		return true
	})
	return err != nil || closed
}
