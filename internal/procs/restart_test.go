package procs

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/pkg/spool"
)

// TestRollingRestart restarts each proxy in turn by SIGTERM under load and checks that no request is cut off: no outcome
// is unknown, and the only errors are those of sessions that end with 57P01.
func TestRollingRestart(t *testing.T) {
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	slowest := time.Duration(0)
	for _, proxy := range fleet.plan.Proxies {
		slowest = max(slowest, fleet.stop(proxy.Name))
		fleet.startProxy(proxy)
		fleet.awaitServing(proxy)
		served := time.Now()
		for _, every := range fleet.plan.Proxies {
			load.awaitWrites(every, served, workersPerProxy)
		}
	}
	load.verify(time.Time{})
	t.Logf("three proxies restarted, the slowest drain took %d ms; %s; %v",
		slowest.Milliseconds(), load.summary(), load.errorCounts())
	fleet.Check(load.countOutcome(demo.OutcomeUnknown), qt.Equals, 0)
	for text := range load.errorCounts() {
		fleet.Check(strings.HasPrefix(text, spool.CodeShutdown), qt.IsTrue, qt.Commentf("%s", text))
	}
}
