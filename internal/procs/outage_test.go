package procs

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/event"
	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/pkg/spool"
)

// TestPlatformOutage stops the platform (SIGSTOP): reads and writes through every proxy get no unknown outcome and no
// refusal, a proxy that restarts during the outage gets the manifest from its peers and serves, and a manifest pushed
// after the outage is in force on all proxies within 4 s.
func TestPlatformOutage(t *testing.T) {
	outage := scaled(t, 10*time.Second, time.Minute)
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	leader, _ := fleet.leader()
	restarted := fleet.others(leader)[0]
	start := time.Now()
	fleet.signal("platform", syscall.SIGSTOP)
	time.Sleep(outage / 4)
	fleet.kill(restarted.Name)
	fleet.startProxy(restarted)
	restartedAt := time.Now()
	load.awaitWrites(restarted, restartedAt, workersPerProxy)
	servedAfter := time.Since(restartedAt)
	time.Sleep(time.Until(start.Add(outage)))
	gap, gapSummary := load.writeGaps(fleet.others(restarted), start)
	fleet.signal("platform", syscall.SIGCONT)
	load.verify(time.Time{})
	t.Logf("platform stopped for %v, write gaps %s; %s served %d ms after its restart; %s",
		outage, gapSummary, restarted.Name, servedAfter.Milliseconds(), load.summary())
	fleet.Check(gap <= failoverTarget, qt.IsTrue, qt.Commentf("gap %v", gap))
	for _, proxy := range fleet.others(restarted) {
		history := load.histories[proxy.Name]
		notAnswered := history.OutcomeCounts[demo.OutcomeNotRun] + history.OutcomeCounts[demo.OutcomeUnsent] + history.OutcomeCounts[demo.OutcomeUnknown]
		fleet.Check(notAnswered, qt.Equals, 0, qt.Commentf("%s: %v", proxy.Name, history.ErrorCounts))
	}
	fleet.manifest = fleet.withRoute("kyushu.after")
	pushed := time.Now()
	fleet.Assert(fleet.push(fleet.manifest), qt.Equals, 0)
	took := fleet.awaitRoute("kyushu.after").Sub(pushed)
	t.Logf("a manifest pushed after the outage was in force on all proxies after %d ms", took.Milliseconds())
	fleet.Check(took <= configTarget, qt.IsTrue)
}

// withRoute returns the manifest with one more route.
func (fleet *fleet) withRoute(name string) spool.Manifest {
	manifest := fleet.manifest
	route := manifest.Routes[0]
	route.Name = name
	manifest.Routes = append([]spool.RouteSpec{route}, manifest.Routes...)
	return manifest
}

// awaitRoute waits until every proxy serves a route and returns the time at which the last one did.
func (fleet *fleet) awaitRoute(name string) time.Time {
	for _, proxy := range fleet.plan.Proxies {
		fleet.await(proxy.Name+" serves route "+name, func() bool { return fleet.routeError(proxy, name) == nil })
	}
	return time.Now()
}

// versionInForce returns the version of the manifest in force on a proxy, from its log, and checks that versions only
// increased.
func (fleet *fleet) versionInForce(proxy demo.Process) spool.Version {
	version := spool.Version(0)
	for _, logLine := range fleet.events(proxy) {
		if logLine.Event == event.ManifestAccepted {
			fleet.Check(logLine.Version > version, qt.IsTrue, qt.Commentf("%s went from %d to %d", proxy.Name, version, logLine.Version))
			version = logLine.Version
		}
	}
	return version
}
