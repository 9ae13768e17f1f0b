package peer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/wire"
)

func configAnswer(bytes int) *wire.Envelope {
	object := &wire.ObjectCopy{Body: make([]byte, bytes)}
	return &wire.Envelope{Body: &wire.Envelope_ConfigAnswer{ConfigAnswer: &wire.ConfigAnswer{Objects: []*wire.ObjectCopy{object}}}}
}

func pulse(sent int64, digest *wire.LiveDigest) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Pulse{Pulse: &wire.Pulse{SentNanos: sent, Digest: digest}}}
}

// TestQueueIsBoundedByBytes guards against megabytes of copies queued before one slow proxy, and against copies that take the
// room of heartbeats and small messages.
func TestQueueIsBoundedByBytes(t *testing.T) {
	c := qt.New(t)
	queue := newQueue()
	accepted := 0
	for range 100 {
		if queue.push(configAnswer(600_000)) {
			accepted++
		}
	}
	c.Assert(accepted, qt.Equals, 1, qt.Commentf("a proxy of an older version gets the configuration in one message"))
	first, found := queue.pop()
	c.Assert(found, qt.IsTrue)
	c.Assert(queue.push(configAnswer(600_000)), qt.IsFalse, qt.Commentf("the first one is being sent"))
	probes := 0
	for range 10_000 {
		if queue.push(&wire.Envelope{Body: &wire.Envelope_ProbeRequest{ProbeRequest: &wire.ProbeRequest{Group: string(make([]byte, 500))}}}) {
			probes++
		}
	}
	c.Assert(probes > 200 && probes < 300, qt.IsTrue, qt.Commentf("%d", probes))
	c.Assert(queue.push(pulse(1, nil)), qt.IsTrue)
	c.Assert(queue.bytes <= maxQueuedBytes+first.bytes, qt.IsTrue, qt.Commentf("%d", queue.bytes))
	queue.sent()
	c.Assert(queue.push(configAnswer(600_000)), qt.IsTrue)
	queue.clear()
	c.Assert(queue.bytes, qt.Equals, 0)
	c.Assert(queue.length(), qt.Equals, 0)
}

// TestNewestHeartbeatReplacesQueuedOne guards against a proxy that receives hundreds of outdated heartbeats after a pause, and
// against a digest that is lost to a heartbeat without one.
func TestNewestHeartbeatReplacesQueuedOne(t *testing.T) {
	c := qt.New(t)
	queue := newQueue()
	queue.push(pulse(1, &wire.LiveDigest{Hash: 1}))
	for scope := range uint32(2) { // a request for a smaller scope must not replace that for a larger one
		asking := pulse(1, nil)
		asking.GetPulse().AskedScope = 3 - scope
		queue.push(asking)
	}
	c.Assert(queue.length(), qt.Equals, 3)
	for range 2 {
		queue.waiting = queue.waiting[:len(queue.waiting)-1]
	}
	queue.bytes = queue.waiting[0].bytes
	for sent := range int64(1000) {
		c.Assert(queue.push(pulse(2+sent, nil)), qt.IsTrue)
	}
	c.Assert(queue.length(), qt.Equals, 2)
	first, _ := queue.pop()
	c.Assert(first.envelope.GetPulse().Digest.GetHash(), qt.Equals, uint64(1))
	queue.sent()
	second, _ := queue.pop()
	c.Assert(second.envelope.GetPulse().SentNanos, qt.Equals, int64(1001))
	queue.sent()
	c.Assert(queue.bytes, qt.Equals, 0)
}
