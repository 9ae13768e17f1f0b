package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

// newStoppedProxy returns a proxy that does not run, and its store.
func newStoppedProxy(t *testing.T) (*Proxy, *kvsrv.Server) {
	store := kvsrv.New(nil)
	t.Cleanup(store.Close)
	settings := spool.FleetSettings{
		VM: "vm0", Domain: "z1", Region: "r1", Regions: map[spool.Domain]string{"z1": "r1"}, Peers: "127.0.0.1:1",
		Store: store.Address(), PromotionAddress: store.Address(), MemoryBytes: 200 << 20, Descriptors: 1000,
	}
	return New(settings, platform.New(settings, sock.Dialer(time.Second)), clock.Real{}, zap.NewNop()), store
}

// TestMembersAreKeptAfterAFallBack guards against shares of rates and connections that rise because the registry lost the
// entries of running proxies, and against the return of a proxy's older address.
func TestMembersAreKeptAfterAFallBack(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	proxy, store := newStoppedProxy(t)
	store.SetEra(1)
	c.Assert(proxy.members.listRegistry(ctx), qt.IsNil) // learns the first era
	time.Sleep(memberRetention)
	store.Write(kindMember, "vm1", memberBody{Address: "127.0.0.1:2", Domain: "z1"})
	snapshot := store.Snapshot()
	store.Write(kindMember, "vm1", memberBody{Address: "127.0.0.1:3", Domain: "z1"})
	store.Write(kindMember, "vm2", memberBody{Address: "127.0.0.1:4", Domain: "z1"})
	c.Assert(proxy.members.listRegistry(ctx), qt.IsNil)
	c.Assert(proxy.members.size(), qt.Equals, 3)
	store.FallBack(snapshot)
	c.Assert(proxy.members.listRegistry(ctx), qt.IsNil)
	c.Assert(proxy.members.size(), qt.Equals, 3)
	address, _ := proxy.members.address("vm1")
	c.Assert(address, qt.Equals, "127.0.0.1:3")
	time.Sleep(memberRetention)
	c.Assert(proxy.members.listRegistry(ctx), qt.IsNil)
	c.Assert(proxy.members.size(), qt.Equals, 2)
}

// TestConfigurationsOfTwoErasAreOrderedByRevision guards against a newer configuration that is refused because an older one
// was written again in a newer era, and against an older one that is accepted for its era.
func TestConfigurationsOfTwoErasAreOrderedByRevision(t *testing.T) {
	c := qt.New(t)
	proxy, _ := newStoppedProxy(t)
	proxy.adapter.ObserveEra(5)
	config := func(revision int, version spool.Version) spool.Object {
		body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"tenants":[],"limits":{}}`, revision)
		return spool.Object{Kind: "config", Name: "main", Version: version, Body: json.RawMessage(body)}
	}
	c.Assert(proxy.applyConfig(config(12, spool.NewVersion(4, 810))), qt.IsTrue)
	c.Assert(proxy.applyConfig(config(13, spool.NewVersion(3, 950))), qt.IsTrue) // from a proxy that read it before the fall-back
	older := config(11, spool.NewVersion(5, 700))
	c.Assert(proxy.applyConfig(older), qt.IsFalse)
	c.Assert(proxy.eras.mayBeNewer(older.Version, proxy.config.Version), qt.IsFalse) // not parsed at each read
	c.Assert(proxy.applyConfig(config(14, spool.NewVersion(5, 701))), qt.IsTrue)
	c.Assert(proxy.applyConfig(config(15, spool.NewVersion(5, 690))), qt.IsFalse)
	c.Assert(proxy.currentRevision(), qt.Equals, uint64(14))
}

// TestRegistrationDespiteOlderEntryAndLostAnswer guards against a starting proxy that stays registered at an older address, or
// not at all because the fall-back undid a write whose answer was lost.
func TestRegistrationDespiteOlderEntryAndLostAnswer(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	proxy, store := newStoppedProxy(t)
	store.SetEra(3)
	empty := store.Snapshot()
	store.Write(kindMember, "vm0", memberBody{Address: "127.0.0.1:9", Domain: "z1"})
	older := store.Snapshot()
	for _, snapshot := range []kvsrv.Snapshot{empty, older, empty} {
		store.SetFaults(kvsrv.Faults{LoseWriteAnswers: 1})
		c.Assert(proxy.members.register(ctx), qt.IsNotNil)
		store.FallBack(snapshot)
		store.SetFaults(kvsrv.Faults{})
		deadline := time.Now().Add(5 * time.Second)
		for proxy.members.register(ctx) != nil {
			c.Assert(time.Now().Before(deadline), qt.IsTrue)
		}
		c.Assert(store.Body(kindMember, "vm0"), qt.Contains, `"127.0.0.1:1"`)
	}
}
