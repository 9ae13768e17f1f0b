package procs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgconn"

	"corianderspool.example/spool/internal/config"
	"corianderspool.example/spool/internal/fake/demo"
	"corianderspool.example/spool/internal/objapi"
	"corianderspool.example/spool/pkg/spool"
)

const unreachablePlatform = "http://127.0.0.1:1"

// TestKeyWithdrawnWhileConnected checks that a key withdrawn while sessions use it is refused within 4 s on all proxies,
// for connected and for new sessions, also on a proxy that reaches its peers but not the platform.
func TestKeyWithdrawnWhileConnected(t *testing.T) {
	fleet := newFleet(t, nil)
	isolated := fleet.plan.Proxies[2]
	fleet.stop(isolated.Name)
	fleet.disconnectFromPlatform(isolated)
	fleet.startProxy(isolated)
	fleet.awaitServing(isolated)
	key := fleet.plan.Keys[1]
	withdrawn, err := fleet.plan.Manifest(key.Name)
	fleet.Assert(err, qt.IsNil)
	usableFor, err := demo.MeasureWithdrawal(key, fleet.plan.Proxies, func() error {
		fleet.Check(fleet.push(withdrawn), qt.Equals, 0)
		return nil
	})
	fleet.Assert(err, qt.IsNil)
	for i, proxy := range fleet.plan.Proxies {
		t.Logf("the key worked on %s for %d ms after the push began", proxy.Name, usableFor[i].Milliseconds())
		fleet.Check(usableFor[i] <= configTarget, qt.IsTrue, qt.Commentf("%s", proxy.Name))
		err := fleet.execute(demo.Target{Address: proxy.Address, Key: key}, "GET ready")
		fleet.Check(err, qt.ErrorMatches, `(?s).*28P01.*`)
		err = fleet.execute(demo.Target{Address: proxy.Address, Key: fleet.plan.Keys[0]}, "GET ready")
		fleet.Check(err, qt.IsNil)
	}
}

// TestFleetStartsWithOneProxyUnableToReachPlatform checks that all proxies serve in a fleet that starts while one of them
// reaches its peers but not the platform.
func TestFleetStartsWithOneProxyUnableToReachPlatform(t *testing.T) {
	start := time.Now()
	newFleet(t, func(fleet *fleet) { fleet.disconnectFromPlatform(fleet.plan.Proxies[2]) })
	t.Logf("all proxies served after %d ms", time.Since(start).Milliseconds())
}

// disconnectFromPlatform sets a proxy's platform to an address on which nothing listens.
func (fleet *fleet) disconnectFromPlatform(proxy demo.Process) {
	path := fleet.path(proxy.Name + ".json")
	content, err := os.ReadFile(path)
	fleet.Assert(err, qt.IsNil)
	settings := config.Settings{}
	fleet.Assert(json.Unmarshal(content, &settings), qt.IsNil)
	settings.Platform.URL = unreachablePlatform
	content, err = json.Marshal(settings)
	fleet.Assert(err, qt.IsNil)
	fleet.Assert(os.WriteFile(path, content, 0o600), qt.IsNil)
}

// TestConcurrentPushesConflict pushes two different manifests on the same base version: one gets a conflict, and the other
// is in force on every proxy within 4 s. It stays in force when the proxies restart one after the other and all at once.
func TestConcurrentPushesConflict(t *testing.T) {
	const rounds = 5
	fleet := newFleet(t, nil)
	accepted := ""
	slowest := time.Duration(0)
	for round := range rounds {
		names := []string{fmt.Sprintf("kyushu.north%d", round), fmt.Sprintf("kyushu.south%d", round)}
		start := time.Now()
		winner := fleet.pushConcurrently(fleet.storedVersion(), names)
		accepted = names[winner]
		slowest = max(slowest, fleet.awaitRoute(accepted).Sub(start))
		fleet.expectRoutes(accepted, names[1-winner])
	}
	t.Logf("%d concurrent pushes, each with one conflict; the accepted manifest was in force on all proxies after %d ms at most",
		rounds, slowest.Milliseconds())
	fleet.Check(slowest <= configTarget, qt.IsTrue)
	version := fleet.storedVersion()
	for _, proxy := range fleet.plan.Proxies {
		fleet.stop(proxy.Name)
		fleet.startProxy(proxy)
		fleet.awaitServing(proxy)
		fleet.expectVersion(version)
	}
	for _, proxy := range fleet.plan.Proxies {
		fleet.signal(proxy.Name, syscall.SIGTERM)
	}
	for _, proxy := range fleet.plan.Proxies {
		<-fleet.processes[proxy.Name].done
		fleet.startProxy(proxy)
	}
	fleet.awaitRoute(accepted)
	fleet.expectVersion(version)
	t.Logf("version %d is in force after all proxies were restarted, one after the other and all at once", version)
}

// pushConcurrently pushes a manifest for each route name on the same base version and returns the index of the accepted
// one.
func (fleet *fleet) pushConcurrently(base spool.Version, names []string) int {
	codes := make([]int, len(names))
	operators := sync.WaitGroup{}
	for i, name := range names {
		manifest := fleet.withRoute(name)
		operators.Go(func() { codes[i] = fleet.push(manifest, "--base", strconv.FormatUint(uint64(base), 10)) })
	}
	operators.Wait()
	winner := 0
	if codes[0] != 0 {
		winner = 1
	}
	fleet.Assert(codes[winner], qt.Equals, 0)
	fleet.Assert(codes[1-winner], qt.Equals, exitConflict)
	return winner
}

// storedVersion returns the version of the manifest stored in the platform.
func (fleet *fleet) storedVersion() spool.Version {
	client := objapi.New("http://" + fleet.plan.Platform)
	defer client.Close()
	object, err := client.Get(context.Background(), spool.KindManifest, string(fleet.manifest.Partner))
	fleet.Assert(err, qt.IsNil)
	return object.Version
}

// expectRoutes checks that every proxy serves one route and refuses the other as unknown.
func (fleet *fleet) expectRoutes(served, unknown string) {
	for _, proxy := range fleet.plan.Proxies {
		fleet.Check(fleet.routeError(proxy, served), qt.IsNil)
		var refused *pgconn.PgError
		err := fleet.routeError(proxy, unknown)
		fleet.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%s: %v", proxy.Name, err))
		fleet.Check(refused.Code, qt.Equals, spool.CodeUnknownRoute)
	}
}

func (fleet *fleet) expectVersion(version spool.Version) {
	for _, proxy := range fleet.plan.Proxies {
		fleet.Check(fleet.versionInForce(proxy), qt.Equals, version, qt.Commentf("%s", proxy.Name))
	}
}
