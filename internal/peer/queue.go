package peer

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"corianderspool.example/spool/internal/wire"
)

const (
	maxQueuedEnvelopes = 512       // per peer
	maxQueuedBytes     = 256 << 10 // per peer
	// maxCopyBytes is the part of the queue that copies may take, so that they leave room for small messages.
	maxCopyBytes = maxQueuedBytes / 2
)

// queued is a message that waits to be sent.
type queued struct {
	envelope *wire.Envelope
	kind     string
	bytes    int
	isCopy   bool
	state    heartbeatState
}

// heartbeatState tells heartbeats apart that do not replace each other: a digest or a request for one must not get lost.
type heartbeatState struct {
	heartbeat, digest, introduces bool
	digestScope, askedScope       uint32 // zero if there is none
}

// queue holds the messages to one proxy, bounded by number and bytes; it is safe for concurrent use.
type queue struct {
	mutex   sync.Mutex
	waiting []queued
	sending queued // being sent, which still counts
	bytes   int
	ready   chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// Kind returns the name of the kind of a control message.
func Kind(envelope *wire.Envelope) string {
	switch envelope.Body.(type) {
	case *wire.Envelope_Pulse, *wire.Envelope_Heartbeat:
		return "heartbeat"
	case *wire.Envelope_ConfigRequest, *wire.Envelope_ConfigAnswer:
		return "configuration"
	case *wire.Envelope_CopyRequest, *wire.Envelope_CopyAnswer:
		return "server_entries"
	case *wire.Envelope_MemberRequest, *wire.Envelope_MemberAnswer:
		return "members"
	case *wire.Envelope_TokenRequest, *wire.Envelope_TokenTransfer, *wire.Envelope_GrantRequest, *wire.Envelope_GrantAnswer:
		return "tokens"
	case *wire.Envelope_ProbeRequest, *wire.Envelope_ProbeAnswer:
		return "probe"
	case *wire.Envelope_MarkRequest, *wire.Envelope_MarkAnswer:
		return "watermark"
	case *wire.Envelope_VoteRequest, *wire.Envelope_VoteAnswer, *wire.Envelope_LocateRequest, *wire.Envelope_LocateAnswer:
		return "lease"
	}
	return "other"
}

// isCopy reports whether a message has a copy of data, of which one at a time is enough.
func isCopy(envelope *wire.Envelope) bool {
	switch envelope.Body.(type) {
	case *wire.Envelope_ConfigAnswer, *wire.Envelope_CopyAnswer, *wire.Envelope_MemberAnswer:
		return true
	}
	return false
}

func stateOf(envelope *wire.Envelope) heartbeatState {
	pulse := envelope.GetPulse()
	if pulse == nil {
		return heartbeatState{}
	}
	return heartbeatState{
		heartbeat: true, digest: pulse.Digest != nil, introduces: pulse.Address != "",
		digestScope: pulse.GetDigest().GetScope(), askedScope: pulse.AskedScope,
	}
}

// push queues a message and reports whether it did. A heartbeat replaces a queued one in its place.
func (queue *queue) push(envelope *wire.Envelope) bool {
	added := queued{
		envelope: envelope, kind: Kind(envelope), bytes: proto.Size(envelope), isCopy: isCopy(envelope), state: stateOf(envelope),
	}
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if added.state.heartbeat {
		for i, waiting := range queue.waiting {
			if waiting.state == added.state {
				queue.bytes += added.bytes - waiting.bytes
				queue.waiting[i] = added
				return true
			}
		}
	}
	if !queue.fits(added) {
		return false
	}
	queue.waiting = append(queue.waiting, added)
	queue.bytes += added.bytes
	select {
	case queue.ready <- struct{}{}:
	default:
	}
	return true
}

// fits reports whether there is room for a message. A copy that is larger than the room for copies is taken if no other one
// of its kind waits: proxies of an older version get the configuration in one message.
func (queue *queue) fits(added queued) bool {
	if len(queue.waiting) >= maxQueuedEnvelopes {
		return false
	}
	if !added.isCopy {
		return added.state.heartbeat || queue.bytes-queue.copyBytes()+added.bytes <= maxQueuedBytes-maxCopyBytes
	}
	if queue.copyBytes()+added.bytes <= maxCopyBytes {
		return true
	}
	sameCopy := func(other queued) bool { return other.isCopy && other.kind == added.kind }
	return !sameCopy(queue.sending) && !slices.ContainsFunc(queue.waiting, sameCopy)
}

func (queue *queue) copyBytes() int {
	bytes := 0
	if queue.sending.isCopy {
		bytes = queue.sending.bytes
	}
	for _, waiting := range queue.waiting {
		if waiting.isCopy {
			bytes += waiting.bytes
		}
	}
	return bytes
}

// pop removes the first message, which counts as being sent until sent is called.
func (queue *queue) pop() (queued, bool) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if len(queue.waiting) == 0 {
		return queued{}, false
	}
	first := queue.waiting[0]
	queue.waiting[0] = queued{}
	queue.waiting = queue.waiting[1:]
	if len(queue.waiting) == 0 {
		queue.waiting = nil
	}
	queue.sending = first
	return first, true
}

// sent ends the sending of the popped message.
func (queue *queue) sent() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.bytes -= queue.sending.bytes
	queue.sending = queued{}
}

// clear discards all messages.
func (queue *queue) clear() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.waiting, queue.sending, queue.bytes = nil, queued{}, 0
}

// length returns the number of waiting messages.
func (queue *queue) length() int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return len(queue.waiting)
}
