package front

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"
)

const secretKeySize = 4

// cancelRegistry maps the process ID of a CancelRequest to its session.
type cancelRegistry struct {
	mutex    sync.Mutex
	sessions map[uint32]*session
}

func newCancelRegistry() cancelRegistry {
	return cancelRegistry{sessions: map[uint32]*session{}}
}

// add assigns the session a random secret key and a process ID that no other session has.
func (cancelRegistry *cancelRegistry) add(session *session) {
	session.secretKey = make([]byte, secretKeySize)
	_, _ = rand.Read(session.secretKey)
	cancelRegistry.mutex.Lock()
	defer cancelRegistry.mutex.Unlock()
	var number [4]byte
	for {
		_, _ = rand.Read(number[:])
		session.processID = binary.BigEndian.Uint32(number[:]) >> 1
		if _, taken := cancelRegistry.sessions[session.processID]; !taken && session.processID != 0 {
			break
		}
	}
	cancelRegistry.sessions[session.processID] = session
}

func (cancelRegistry *cancelRegistry) remove(session *session) {
	cancelRegistry.mutex.Lock()
	defer cancelRegistry.mutex.Unlock()
	delete(cancelRegistry.sessions, session.processID)
}

// cancel cancels the running cycle of the session with this process ID, unless the secret key is wrong.
func (cancelRegistry *cancelRegistry) cancel(processID uint32, secretKey []byte) {
	cancelRegistry.mutex.Lock()
	session := cancelRegistry.sessions[processID]
	cancelRegistry.mutex.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.secretKey, secretKey) != 1 {
		return
	}
	session.cancelCycle()
}
