package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/audit"
	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

func TestOutageDetectorReportsEachChangeOnce(t *testing.T) {
	c := qt.New(t)
	outageDetector := newOutageDetector(time.Second, 0)
	now := spool.Instant(0)
	changes := []bool{}
	for _, answered := range []bool{
		true, false, true, // a single failure
		false, false, false, false, false, true, true, // an outage
		false, false, // too short for another outage
	} {
		now = now.Add(400 * time.Millisecond)
		if changed, unreachable := outageDetector.observe(answered, now); changed {
			changes = append(changes, unreachable)
		}
	}
	c.Assert(changes, qt.DeepEquals, []bool{true, false})
}

func TestAuditTrailHoldsEntriesDuringPlatformOutage(t *testing.T) {
	c := qt.New(t)
	timers := &clock.Simulated{}
	auditTrail := &auditTrail{node: &Node{timers: timers}}
	auditTrail.hold("Accept-kyushu-1", audit.Entry{})
	for range 10 {
		timers.Advance(auditHoldTime)
		auditTrail.dropExpired(false, timers.Now())
	}
	c.Assert(auditTrail.held, qt.HasLen, 1)
	timers.Advance(auditHoldTime - time.Second)
	auditTrail.dropExpired(true, timers.Now())
	c.Assert(auditTrail.held, qt.HasLen, 1)
	timers.Advance(time.Second)
	auditTrail.dropExpired(true, timers.Now())
	c.Assert(auditTrail.held, qt.HasLen, 0)
	for range 2 * maxHeldEntries {
		auditTrail.hold("Accept-kyushu-2", audit.Entry{})
	}
	c.Assert(auditTrail.held, qt.HasLen, maxHeldEntries)
}
