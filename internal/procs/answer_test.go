package procs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

// TestLostAnswersRunOnce: writes whose connections to the primary break while it works on them, and which it then
// commits, are in its log once; their callers are told that the outcome is unknown.
func TestLostAnswersRunOnce(t *testing.T) {
	fleet := newFleet(t, func(fleet *fleet) { fleet.manySlots() })
	primary, _ := fleet.primary()
	late := fleet.sendSlowly(fleet.plan.Proxies[0], primary)
	cut, none := true, spool.Duration(0)
	fleet.control(primary, regsrv.Control{CutClients: &cut, WorkTime: &none})
	cut = false
	fleet.control(primary, regsrv.Control{CutClients: &cut})
	late.sent.Wait()
	time.Sleep(slowWork)
	ran := countLate(fleet.primaryLog())
	t.Logf("%d writes lost their connection: %d answered, %d unknown, %d values in the log", lateWrites,
		late.ledger.Counts[demo.Answered], late.ledger.Counts[demo.Unknown], ran)
	fleet.Check(ran, qt.Equals, lateWrites)
	fleet.Check(late.judge(), qt.Equals, demo.Verdict{})
	fleet.Check(late.ledger.Counts[demo.Unknown], qt.Equals, lateWrites)
}
