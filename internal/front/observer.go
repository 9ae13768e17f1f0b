package front

import (
	"net"

	"corianderspool.example/spool/pkg/spool"
)

// Observer is told of callers whom the front turns away; calls come from many goroutines.
type Observer interface {
	// LoginRefused tells why a caller was not let in.
	LoginRefused(caller net.Addr, refusal *spool.Refusal)
	// SessionEnded tells why the proxy ended a connected session.
	SessionEnded(login spool.Login, caller net.Addr, refusal *spool.Refusal)
}

type silent struct{}

// LoginRefused does nothing.
func (silent) LoginRefused(net.Addr, *spool.Refusal) {}

// SessionEnded does nothing.
func (silent) SessionEnded(spool.Login, net.Addr, *spool.Refusal) {}

// toldToEnd returns why the session was told to end, or nil if it was not.
func (session *session) toldToEnd() *spool.Refusal {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.ending == nil {
		return nil
	}
	return session.ending.Refusal
}

func (session *session) reportEnd(refusal *spool.Refusal) {
	session.front.observer.SessionEnded(session.login, session.socket.RemoteAddr(), refusal)
}
