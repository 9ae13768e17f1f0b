package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/pkg/spool"
)

const memberKind = "corianderspool-members"

// newEraCluster returns a fleet whose store announces an era once it runs, and waits until all proxies know it.
func newEraCluster(t *testing.T, proxies int, era uint64) *cluster {
	cluster := newCluster(t, proxies)
	time.Sleep(2 * time.Second) // until the proxies supervise groups
	cluster.store.SetEra(era)
	cluster.awaitEra(era)
	return cluster
}

// awaitEra waits until all proxies know an era.
func (cluster *cluster) awaitEra(era uint64) {
	cluster.Helper()
	for index := range cluster.settings {
		cluster.waitUntil(func() bool { return cluster.era(index) == era })
	}
}

// era returns the era in a proxy's metrics; zero if it is not there.
func (cluster *cluster) era(index int) (era uint64) {
	response, err := http.Get("http://" + cluster.settings[index].Metrics + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(text)) {
		_, _ = fmt.Sscanf(line, "corianderspool_store_era %d", &era)
	}
	return era
}

// answerTo returns the answer of a proxy to a session with a key.
func (cluster *cluster) answerTo(index int, key string) string {
	caller, answer := cluster.open(index, "primary", key)
	caller.Close()
	return answer
}

// TestWithdrawnKeyStaysWithdrawnAcrossAFallBack guards against the return of an older configuration, also at a proxy that
// restarts while the store still shows it; a newer one takes effect.
func TestWithdrawnKeyStaysWithdrawnAcrossAFallBack(t *testing.T) {
	c := qt.New(t)
	cluster := newEraCluster(t, 3, 5)
	snapshot := cluster.store.Snapshot()
	cluster.configure(100, "key-blue")
	for index := range cluster.settings {
		cluster.waitUntil(func() bool { return strings.Contains(cluster.answerTo(index, "key-red"), "NOAUTH") })
	}
	cluster.store.FallBack(snapshot)
	cluster.stopFuncs[2]()
	cluster.settings[2].Seeds = []string{cluster.settings[0].Peers}
	cluster.start(2)
	restarted, accepted := time.Now(), 0
	for time.Since(restarted) < 3*time.Second {
		for index := range cluster.settings {
			if !cluster.ready(index) {
				continue
			}
			c.Assert(cluster.answerTo(index, "key-red"), qt.Contains, "NOAUTH", qt.Commentf("proxy %d", index))
			if cluster.answerTo(index, "key-blue") == "READY I -" {
				accepted++
			}
		}
	}
	c.Assert(cluster.ready(2), qt.IsTrue)
	c.Assert(accepted > 0, qt.IsTrue)
	cluster.awaitEra(6)
	cluster.configure(100, "key-green")
	for index := range cluster.settings {
		cluster.waitUntil(func() bool { return cluster.answerTo(index, "key-green") == "READY I -" })
		c.Assert(cluster.answerTo(index, "key-blue"), qt.Contains, "NOAUTH")
	}
}

// TestRegistrationsAreRestoredAfterAFallBack guards against proxies that stay unregistered, whether their entries are gone or
// show an older address, in two eras in quick succession.
func TestRegistrationsAreRestoredAfterAFallBack(t *testing.T) {
	c := qt.New(t)
	cluster := newEraCluster(t, 3, 1)
	registered := cluster.store.Names(memberKind)
	c.Assert(registered, qt.DeepEquals, []string{"vm0", "vm1", "vm2"})
	whole := cluster.store.Snapshot()
	cluster.store.Remove(memberKind, "vm1")
	cluster.store.Write(memberKind, "vm2", map[string]string{"Address": "127.0.0.1:1", "Domain": "z1"})
	partial := cluster.store.Snapshot()
	cluster.store.FallBack(whole)
	cluster.store.FallBack(partial)
	began := time.Now()
	cluster.waitUntil(func() bool {
		return slices.Equal(cluster.store.Names(memberKind), registered) &&
			strings.Contains(cluster.store.Body(memberKind, "vm2"), cluster.settings[2].Peers)
	})
	t.Logf("registrations restored %v after the fall-back", time.Since(began))
	c.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue) // a reader's interval, its jitter and one second
	cluster.awaitEra(3)
}

// TestFallBackWhilePrimaryIsReplaced guards against two promotions with one fencing token, a lost acknowledged write and a fleet
// that does not return: the store falls back in the middle of a failover, twice.
func TestFallBackWhilePrimaryIsReplaced(t *testing.T) {
	c := qt.New(t)
	cluster := newEraCluster(t, 3, 9)
	caller := cluster.connect(0, "primary", "key-red")
	for i, dead := range []spool.Server{"a", ""} {
		if dead == "" {
			dead = cluster.group.Primary()
		}
		value := fmt.Sprintf("value%d", i)
		c.Assert(caller.execute("WRITE item "+value), qt.Equals, "")
		snapshot := cluster.store.Snapshot()
		began := time.Now()
		cluster.group.Server(dead).Kill()
		cluster.waitUntil(func() bool { return cluster.group.Primary() != dead })
		cluster.store.FallBack(snapshot)
		time.AfterFunc(time.Second, func() { cluster.register("ready") }) // the servers write their entries again
		cluster.waitUntil(func() bool { return caller.execute("READ item") == value })
		t.Logf("served again %v after the primary was killed", time.Since(began))
		c.Assert(time.Since(began) < 6*time.Second, qt.IsTrue)
		c.Assert(cluster.group.Server(dead).Start(), qt.IsNil)
		cluster.waitUntil(func() bool { return caller.execute("WRITE other "+value) == "" })
		time.Sleep(3 * time.Second) // until the registry counts as complete again
	}
	c.Assert(cluster.store.SharedTokens(), qt.Equals, 0)
}

// TestProxyWithoutStoreLearnsOfTheEra guards against a proxy that is cut off from the store and stays in the old era.
func TestProxyWithoutStoreLearnsOfTheEra(t *testing.T) {
	c := qt.New(t)
	cluster := newEraCluster(t, 2, 1)
	unreachable := kvsrv.New(nil)
	t.Cleanup(unreachable.Close)
	unreachable.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable})
	cluster.stopFuncs[1]()
	cluster.settings[1].Seeds, cluster.settings[1].Store = []string{cluster.settings[0].Peers}, unreachable.Address()
	cluster.start(1)
	cluster.awaitEra(1)
	snapshot := cluster.store.Snapshot()
	cluster.configure(100, "key-blue")
	cluster.waitUntil(func() bool { return cluster.answerTo(1, "key-blue") == "READY I -" })
	cluster.store.FallBack(snapshot)
	began := time.Now()
	cluster.awaitEra(2)
	c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
	c.Assert(cluster.answerTo(1, "key-blue"), qt.Equals, "READY I -")
	cluster.configure(100, "key-green")
	cluster.waitUntil(func() bool { return cluster.answerTo(1, "key-green") == "READY I -" })
}

// TestMalformedEraIsNotBelieved guards against trust in a header that is not an era or goes back: the fleet keeps its era and
// serves on, and is in force again once the header is right.
func TestMalformedEraIsNotBelieved(t *testing.T) {
	c := qt.New(t)
	cluster := newEraCluster(t, 2, 7)
	caller := cluster.connect(0, "primary", "key-red")
	for _, header := range []string{"six", "6", "-1", "99999999"} {
		cluster.store.SetFaults(kvsrv.Faults{EraHeader: header})
		time.Sleep(600 * time.Millisecond)
		c.Assert(caller.execute("WRITE item "+header), qt.Equals, "")
		c.Assert([]uint64{cluster.era(0), cluster.era(1)}, qt.DeepEquals, []uint64{7, 7})
	}
	cluster.store.SetFaults(kvsrv.Faults{})
	cluster.configure(100, "key-blue")
	cluster.waitUntil(func() bool { return cluster.answerTo(1, "key-blue") == "READY I -" })
}

// TestWholeFleetRestartsInAnEra guards against a fleet that waits for configurations that no proxy has.
func TestWholeFleetRestartsInAnEra(t *testing.T) {
	c := qt.New(t)
	cluster := newEraCluster(t, 3, 2)
	var stopping sync.WaitGroup
	for _, stop := range cluster.stopFuncs {
		stopping.Go(stop)
	}
	stopping.Wait()
	began := time.Now()
	for index := range cluster.settings {
		cluster.start(index)
	}
	for index := range cluster.settings {
		cluster.waitUntil(func() bool { return cluster.ready(index) })
	}
	t.Logf("all proxies ready %v after the start", time.Since(began))
	c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue)
}
