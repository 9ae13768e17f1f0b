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

// TestPlatformOutage: while the platform hangs, reads and writes go on through every proxy without an unknown outcome or
// a refusal; a proxy that is started anew meanwhile learns the manifest from its peers and serves; a manifest pushed
// after the outage is in force everywhere within 4 s.
func TestPlatformOutage(t *testing.T) {
	outage := scaled(t, 10*time.Second, time.Minute)
	fleet := newFleet(t, nil)
	load := fleet.startLoad()
	leader, _ := fleet.leader()
	restarted := fleet.others(leader)[0]
	begun := time.Now()
	fleet.signal("platform", syscall.SIGSTOP)
	time.Sleep(outage / 4)
	fleet.kill(restarted.Name)
	fleet.startProxy(restarted)
	restartedAt := time.Now()
	load.awaitWrites(restarted, restartedAt, workersPerProxy)
	learned := time.Since(restartedAt)
	time.Sleep(time.Until(begun.Add(outage)))
	gap, shown := load.gaps(fleet.others(restarted), begun)
	fleet.signal("platform", syscall.SIGCONT)
	load.check(time.Time{})
	t.Logf("platform frozen for %v, gaps %s; %s started anew served after %d ms; %s",
		outage, shown, restarted.Name, learned.Milliseconds(), load.figures())
	fleet.Check(gap <= failoverTarget, qt.IsTrue, qt.Commentf("gap %v", gap))
	for _, proxy := range fleet.others(restarted) {
		ledger := load.ledgers[proxy.Name]
		refused := ledger.Counts[demo.NotRun] + ledger.Counts[demo.Unsent] + ledger.Counts[demo.Unknown]
		fleet.Check(refused, qt.Equals, 0, qt.Commentf("%s: %v", proxy.Name, ledger.Problems))
	}
	fleet.manifest = fleet.withRoute("kyushu.after")
	pushed := time.Now()
	fleet.Assert(fleet.push(fleet.manifest), qt.Equals, 0)
	took := fleet.awaitRoute("kyushu.after").Sub(pushed)
	t.Logf("a manifest pushed after the outage was in force everywhere after %d ms", took.Milliseconds())
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

// awaitRoute waits until every proxy serves a route and returns when the last one began.
func (fleet *fleet) awaitRoute(name string) time.Time {
	for _, proxy := range fleet.plan.Proxies {
		fleet.await(proxy.Name+" serves route "+name, func() bool { return fleet.routeError(proxy, name) == nil })
	}
	return time.Now()
}

// version returns the version of the manifest that is in force on a proxy, by its log.
func (fleet *fleet) version(proxy demo.Process) spool.Version {
	version := spool.Version(0)
	for _, line := range fleet.events(proxy) {
		if line.Event == event.ManifestAccepted {
			fleet.Check(line.Version > version, qt.IsTrue, qt.Commentf("%s went from %d to %d", proxy.Name, version, line.Version))
			version = line.Version
		}
	}
	return version
}
