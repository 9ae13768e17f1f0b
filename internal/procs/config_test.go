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

const deadPlatform = "http://127.0.0.1:1"

// TestKeyWithdrawnWhileConnected: a key that is withdrawn while sessions use it is dead within 4 s on all proxies, also
// on one that reaches only its peers, for connected sessions and for new ones.
func TestKeyWithdrawnWhileConnected(t *testing.T) {
	fleet := newFleet(t, nil)
	cut := fleet.plan.Proxies[2]
	fleet.stop(cut.Name)
	fleet.cutFromPlatform(cut)
	fleet.startProxy(cut)
	fleet.awaitServing(cut)
	key := fleet.plan.Keys[1]
	withdrawn, err := fleet.plan.Manifest(key.Name)
	fleet.Assert(err, qt.IsNil)
	lasted, err := demo.Withdraw(key, fleet.plan.Proxies, func() error {
		fleet.Check(fleet.push(withdrawn), qt.Equals, 0)
		return nil
	})
	fleet.Assert(err, qt.IsNil)
	for i, proxy := range fleet.plan.Proxies {
		t.Logf("the key worked on %s for %d ms after the push began", proxy.Name, lasted[i].Milliseconds())
		fleet.Check(lasted[i] <= configTarget, qt.IsTrue, qt.Commentf("%s", proxy.Name))
		err := fleet.try(demo.Target{Address: proxy.Address, Key: key}, "GET ready")
		fleet.Check(err, qt.ErrorMatches, `(?s).*28P01.*`)
		err = fleet.try(demo.Target{Address: proxy.Address, Key: fleet.plan.Keys[0]}, "GET ready")
		fleet.Check(err, qt.IsNil)
	}
}

// TestFleetStartsWithOneProxyCutFromPlatform: a fleet that starts while one of its proxies reaches only its peers serves on
// all proxies.
func TestFleetStartsWithOneProxyCutFromPlatform(t *testing.T) {
	begun := time.Now()
	newFleet(t, func(fleet *fleet) { fleet.cutFromPlatform(fleet.plan.Proxies[2]) })
	t.Logf("all proxies served after %d ms", time.Since(begun).Milliseconds())
}

// cutFromPlatform gives a proxy a platform at which nobody listens.
func (fleet *fleet) cutFromPlatform(proxy demo.Process) {
	path := fleet.path(proxy.Name + ".json")
	content, err := os.ReadFile(path)
	fleet.Assert(err, qt.IsNil)
	settings := config.Settings{}
	fleet.Assert(json.Unmarshal(content, &settings), qt.IsNil)
	settings.Platform.URL = deadPlatform
	content, err = json.Marshal(settings)
	fleet.Assert(err, qt.IsNil)
	fleet.Assert(os.WriteFile(path, content, 0o600), qt.IsNil)
}

// TestOperatorsRace: of two operators who push different manifests from the same version one gets a conflict; the
// accepted manifest is in force on every proxy within 4 s, and stays so when the proxies are started anew one after the
// other and all at once.
func TestOperatorsRace(t *testing.T) {
	const rounds = 5
	fleet := newFleet(t, nil)
	accepted := ""
	slowest := time.Duration(0)
	for round := range rounds {
		names := []string{fmt.Sprintf("kyushu.north%d", round), fmt.Sprintf("kyushu.south%d", round)}
		begun := time.Now()
		winner := fleet.race(fleet.stored(), names)
		accepted = names[winner]
		slowest = max(slowest, fleet.awaitRoute(accepted).Sub(begun))
		fleet.expectOnly(accepted, names[1-winner])
	}
	t.Logf("%d races, each with one conflict; the accepted manifest was in force everywhere after %d ms at most",
		rounds, slowest.Milliseconds())
	fleet.Check(slowest <= configTarget, qt.IsTrue)
	version := fleet.stored()
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
	t.Logf("version %d is in force after all proxies were started anew, one after the other and at once", version)
}

// race lets two operators push at once, each with a route of its own, and returns which one was accepted.
func (fleet *fleet) race(base spool.Version, names []string) int {
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

// stored returns the version of the manifest in the platform.
func (fleet *fleet) stored() spool.Version {
	client := objapi.New("http://" + fleet.plan.Platform)
	defer client.Close()
	object, err := client.Get(context.Background(), spool.KindManifest, string(fleet.manifest.Partner))
	fleet.Assert(err, qt.IsNil)
	return object.Version
}

// expectOnly expects every proxy to serve one route and not the other.
func (fleet *fleet) expectOnly(served, unknown string) {
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
		fleet.Check(fleet.version(proxy), qt.Equals, version, qt.Commentf("%s", proxy.Name))
	}
}
