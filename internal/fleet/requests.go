package fleet

import (
	"time"

	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	// answerTimeout is how long a request counts as in progress without an answer.
	answerTimeout = time.Second
	// maxRequestedMembers bounds the proxies in one request, so that its answer stays small when a proxy knows none of the fleet.
	maxRequestedMembers = 256
	// notifyInterval is the time between bursts of heartbeats that announce changes; the changes within it share one.
	notifyInterval = 50 * time.Millisecond
)

// singleRequest is a request of which one is in progress at a time.
type singleRequest struct {
	sentAt  spool.Instant
	waiting bool // for the answer
}

// begin reports whether no request is in progress and requestInterval has passed since the last one, and if so begins one.
func (request *singleRequest) begin(now spool.Instant) bool {
	pause := requestInterval
	if request.waiting {
		pause = answerTimeout
	}
	if request.sentAt != 0 && now.Sub(request.sentAt) < pause {
		return false
	}
	*request = singleRequest{sentAt: now, waiting: true}
	return true
}

func (peers *peers) beginRequest(request *singleRequest, now spool.Instant) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return request.begin(now)
}

// endRequest ends the request in progress.
func (peers *peers) endRequest(request *singleRequest) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	request.waiting = false
}

// answerConfigRequest sends the configuration to a proxy of an older version, which repeats its request every 100 ms until the
// answer is in force.
func (peers *peers) answerConfigRequest(to spool.VM) {
	now := peers.proxy.timers.Now()
	revision := peers.proxy.currentRevision()
	peers.mutex.Lock()
	last, known := peers.configAnswered[to]
	repeated := known && last.revision == revision && now.Sub(last.at) < configRequestInterval
	if !repeated {
		peers.configAnswered[to] = configAnswer{revision: revision, at: now}
	}
	peers.mutex.Unlock()
	if !repeated {
		peers.sendConfig(to)
	}
}

// configAnswer is the newest configuration that was sent to a proxy of an older version.
type configAnswer struct {
	revision uint64
	at       spool.Instant
}

// burstGate merges bursts that follow each other within notifyInterval.
type burstGate struct {
	last      spool.Instant // when the newest burst was sent
	scheduled bool          // another one follows
}

// request returns how long a burst must wait, and false if one that follows announces the change as well.
func (gate *burstGate) request(now spool.Instant) (wait time.Duration, due bool) {
	if gate.scheduled {
		return 0, false
	}
	if wait = notifyInterval - now.Sub(gate.last); gate.last == 0 || wait <= 0 {
		gate.last = now
		return 0, true
	}
	gate.scheduled = true
	return wait, true
}

// sent records that the scheduled burst is sent.
func (gate *burstGate) sent(now spool.Instant) { *gate = burstGate{last: now} }

// notifyRegion sends heartbeats to the region at once, so that what they announce, such as a newer configuration or newer
// server entries, does not wait for the next round. Changes that follow within notifyInterval are announced together.
func (peers *peers) notifyRegion() {
	peers.mutex.Lock()
	wait, due := peers.bursts.request(peers.proxy.timers.Now())
	peers.mutex.Unlock()
	switch {
	case !due:
	case wait == 0:
		peers.notify(peers.proxy.members.inRegion)
	default:
		peers.proxy.timers.After(wait, spool.TimerFunc(func(now spool.Instant) {
			peers.mutex.Lock()
			peers.bursts.sent(now)
			peers.mutex.Unlock()
			peers.notify(peers.proxy.members.inRegion)
		}))
	}
}

// requestMembers asks a proxy for the names and addresses of unknown proxies in its digest.
func (peers *peers) requestMembers(from spool.VM, unknown []roster.ID, now spool.Instant) {
	if !peers.beginRequest(&peers.membersRequest, now) {
		return
	}
	unknown = unknown[:min(len(unknown), maxRequestedMembers)]
	entries := make([]roster.Entry, 0, len(unknown))
	for _, id := range unknown {
		entries = append(entries, roster.Entry{ID: id})
	}
	request := &wire.MemberRequest{Domains: encodeEntries(entries)}
	peers.transport.Send(from, &wire.Envelope{Body: &wire.Envelope_MemberRequest{MemberRequest: request}})
}
