package node

import (
	"sync"
	"time"

	"corianderspool.example/spool/internal/core/lease"
)

// pendingStreams holds the streams with a forwarded request in flight, by the role that the serving proxy holds.
type pendingStreams struct {
	mutex   sync.Mutex
	streams map[lease.Role]map[*stream]struct{}
}

func (pendingStreams *pendingStreams) add(role lease.Role, pendingStream *stream) {
	pendingStreams.mutex.Lock()
	defer pendingStreams.mutex.Unlock()
	if pendingStreams.streams == nil {
		pendingStreams.streams = map[lease.Role]map[*stream]struct{}{}
	}
	if pendingStreams.streams[role] == nil {
		pendingStreams.streams[role] = map[*stream]struct{}{}
	}
	pendingStreams.streams[role][pendingStream] = struct{}{}
}

func (pendingStreams *pendingStreams) remove(role lease.Role, pendingStream *stream) {
	pendingStreams.mutex.Lock()
	defer pendingStreams.mutex.Unlock()
	delete(pendingStreams.streams[role], pendingStream)
}

// interruptGrace lets answers arrive that were sent before the role moved.
const interruptGrace = 200 * time.Millisecond

// interrupt ends the waits for the former holder of a role, whose later answers would not be valid.
func (pendingStreams *pendingStreams) interrupt(role lease.Role) {
	pendingStreams.mutex.Lock()
	defer pendingStreams.mutex.Unlock()
	for pendingStream := range pendingStreams.streams[role] {
		_ = pendingStream.SetReadDeadline(time.Now().Add(interruptGrace))
	}
}
