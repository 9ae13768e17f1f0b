package front

import (
	"net"

	"corianderspool.example/spool/pkg/spool"
)

// Observer is notified of refused logins and ended sessions; its methods are called concurrently.
type Observer interface {
	// LoginRefused is called with the reason for which a login was refused.
	LoginRefused(caller net.Addr, refusal *spool.Refusal)
	// SessionEnded is called with the reason for which the proxy ended a session.
	SessionEnded(login spool.Login, caller net.Addr, refusal *spool.Refusal)
}

type noopObserver struct{}

// LoginRefused does nothing.
func (noopObserver) LoginRefused(net.Addr, *spool.Refusal) {}

// SessionEnded does nothing.
func (noopObserver) SessionEnded(spool.Login, net.Addr, *spool.Refusal) {}

// endRefusal returns the reason for which the session is ending, or nil if it is not.
func (session *session) endRefusal() *spool.Refusal {
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if session.sessionEnd == nil {
		return nil
	}
	return session.sessionEnd.Refusal
}

func (session *session) reportEnd(refusal *spool.Refusal) {
	session.front.observer.SessionEnded(session.login, session.socket.RemoteAddr(), refusal)
}
