package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

const testStart = spool.Instant(time.Hour)

// TestOneRequestInProgress guards against requests that are repeated before a slow proxy could answer the first one.
func TestOneRequestInProgress(t *testing.T) {
	c := qt.New(t)
	request := singleRequest{}
	sent := 0
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += 10 * time.Millisecond {
		if request.begin(testStart.Add(elapsed)) {
			sent++
		}
	}
	c.Assert(sent, qt.Equals, 3)
	request.waiting = false
	c.Assert(request.begin(testStart.Add(3*time.Second)), qt.IsTrue)
	c.Assert(request.begin(testStart.Add(3*time.Second+requestInterval)), qt.IsFalse)
}

// TestChangesShareABurst guards against a burst of heartbeats to the region for each of many changes, and against a last change
// that is not announced.
func TestChangesShareABurst(t *testing.T) {
	c := qt.New(t)
	gate := burstGate{}
	wait, due := gate.request(testStart)
	c.Assert(wait, qt.Equals, time.Duration(0))
	c.Assert(due, qt.IsTrue)
	wait, due = gate.request(testStart.Add(10 * time.Millisecond))
	c.Assert(wait, qt.Equals, notifyInterval-10*time.Millisecond)
	c.Assert(due, qt.IsTrue)
	for elapsed := time.Duration(20); elapsed < 50; elapsed++ {
		_, due = gate.request(testStart.Add(elapsed * time.Millisecond))
		c.Assert(due, qt.IsFalse)
	}
	gate.sent(testStart.Add(notifyInterval))
	wait, due = gate.request(testStart.Add(2 * notifyInterval))
	c.Assert(wait, qt.Equals, time.Duration(0))
	c.Assert(due, qt.IsTrue)
}
