package front

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"
)

const secretSize = 4

// cancels finds the session that a CancelRequest means.
type cancels struct {
	mutex    sync.Mutex
	sessions map[uint32]*session
}

func newCancels() cancels {
	return cancels{sessions: map[uint32]*session{}}
}

// add gives the session its key data.
func (cancels *cancels) add(session *session) {
	session.secret = make([]byte, secretSize)
	_, _ = rand.Read(session.secret)
	cancels.mutex.Lock()
	defer cancels.mutex.Unlock()
	var number [4]byte
	for {
		_, _ = rand.Read(number[:])
		session.process = binary.BigEndian.Uint32(number[:]) >> 1
		if _, taken := cancels.sessions[session.process]; !taken && session.process != 0 {
			break
		}
	}
	cancels.sessions[session.process] = session
}

func (cancels *cancels) remove(session *session) {
	cancels.mutex.Lock()
	defer cancels.mutex.Unlock()
	delete(cancels.sessions, session.process)
}

// cancel ends the running cycle of the session that the key data names.
func (cancels *cancels) cancel(process uint32, secret []byte) {
	cancels.mutex.Lock()
	session := cancels.sessions[process]
	cancels.mutex.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.secret, secret) != 1 {
		return
	}
	session.cancelCycle()
}
