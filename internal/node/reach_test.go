package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

func TestReachChangesOncePerOutage(t *testing.T) {
	c := qt.New(t)
	reach := newReach(time.Second, 0)
	now := spool.Instant(0)
	changes := []bool{}
	for _, answered := range []bool{
		true, false, true, // one failure
		false, false, false, false, false, true, true, // an outage
		false, false, // not yet another one
	} {
		now = now.Add(400 * time.Millisecond)
		if changed, lost := reach.called(answered, now); changed {
			changes = append(changes, lost)
		}
	}
	c.Assert(changes, qt.DeepEquals, []bool{true, false})
}

func TestTrailHoldsEntriesWhileThePlatformIsOut(t *testing.T) {
	c := qt.New(t)
	timers := &clock.Simulated{}
	trail := &trail{node: &Node{timers: timers}}
	trail.hold("Accept-kyushu-1", audit.Entry{})
	for range 10 {
		timers.Advance(trailHold)
		trail.forget(false, timers.Now())
	}
	c.Assert(trail.held, qt.HasLen, 1)
	timers.Advance(trailHold - time.Second)
	trail.forget(true, timers.Now())
	c.Assert(trail.held, qt.HasLen, 1)
	timers.Advance(time.Second)
	trail.forget(true, timers.Now())
	c.Assert(trail.held, qt.HasLen, 0)
	for range 2 * trailLimit {
		trail.hold("Accept-kyushu-2", audit.Entry{})
	}
	c.Assert(trail.held, qt.HasLen, trailLimit)
}
