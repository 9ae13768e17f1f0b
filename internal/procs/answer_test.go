package procs

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/pkg/spool"
)

// TestWritesWithLostAnswersRunOnce guards against a second execution of writes whose connections to the primary break
// while it runs them. The primary commits them, so each is in its log once, and its caller gets an unknown outcome.
func TestWritesWithLostAnswersRunOnce(t *testing.T) {
	fleet := newFleet(t, func(fleet *fleet) { fleet.raiseServerLimits() })
	primary, _ := fleet.primary()
	slowWrites := fleet.sendSlowWrites(fleet.plan.Proxies[0], primary)
	enabled, noWork := true, spool.Duration(0)
	fleet.setControl(primary, regsrv.FaultUpdate{CutClients: &enabled, WorkTime: &noWork})
	enabled = false
	fleet.setControl(primary, regsrv.FaultUpdate{CutClients: &enabled})
	slowWrites.sent.Wait()
	time.Sleep(slowWorkTime)
	ran := countSlowWrites(fleet.primaryLog())
	t.Logf("%d writes lost their connection: %d answered, %d unknown, %d values in the log", slowWriteCount,
		slowWrites.history.OutcomeCounts[demo.OutcomeAnswered], slowWrites.history.OutcomeCounts[demo.OutcomeUnknown], ran)
	fleet.Check(ran, qt.Equals, slowWriteCount)
	fleet.Check(slowWrites.verify(), qt.Equals, demo.Violations{})
	fleet.Check(slowWrites.history.OutcomeCounts[demo.OutcomeUnknown], qt.Equals, slowWriteCount)
}
