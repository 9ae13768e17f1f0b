package node

import (
	"sync"
	"time"

	"corianderspool.example/spool/internal/core/lease"
)

// waits are the streams on which a forwarded request waits for its answer, by the role of the proxy that serves it.
type waits struct {
	mutex   sync.Mutex
	streams map[lease.Role]map[*stream]struct{}
}

func (waits *waits) add(role lease.Role, waiting *stream) {
	waits.mutex.Lock()
	defer waits.mutex.Unlock()
	if waits.streams == nil {
		waits.streams = map[lease.Role]map[*stream]struct{}{}
	}
	if waits.streams[role] == nil {
		waits.streams[role] = map[*stream]struct{}{}
	}
	waits.streams[role][waiting] = struct{}{}
}

func (waits *waits) remove(role lease.Role, waiting *stream) {
	waits.mutex.Lock()
	defer waits.mutex.Unlock()
	delete(waits.streams[role], waiting)
}

// interruptGrace is left to answers that were sent before the role moved.
const interruptGrace = 200 * time.Millisecond

// interrupt ends the waits for a proxy that holds the role no longer; its later answers would not be valid.
func (waits *waits) interrupt(role lease.Role) {
	waits.mutex.Lock()
	defer waits.mutex.Unlock()
	for waiting := range waits.streams[role] {
		_ = waiting.SetReadDeadline(time.Now().Add(interruptGrace))
	}
}
