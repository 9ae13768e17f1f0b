package core_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core"
	"corianderspool.example/spool/pkg/spool"
)

const configDelay = 4 * time.Second

// seeds returns the number of seeds to run: 8, or the value of SPOOL_SEEDS.
func seeds() uint64 {
	if count, err := strconv.ParseUint(os.Getenv("SPOOL_SEEDS"), 10, 32); err == nil {
		return count
	}
	return 8
}

func eachSeed(t *testing.T, size, domains int, run func(c *qt.C, cluster *cluster)) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			cluster := newCluster(seed, size, domains)
			cluster.Advance(3 * time.Second)
			run(qt.New(t), cluster)
		})
	}
}

// hasVersion reports whether the VM has applied a manifest of that version or a newer one.
func (vm *vm) hasVersion(version spool.Version) bool {
	return len(vm.versions) > 0 && vm.versions[len(vm.versions)-1] >= version
}

func (vm *vm) acceptsKey(key string) bool {
	_, known := vm.snapshot.Key(key)
	return known && vm.trusted
}

// TestManifestReachesAllProxies checks that every proxy applies a new manifest within 4 s and never an older one after
// it, while messages are lost, VMs restart or fail and the platform returns lists without manifests.
func TestManifestReachesAllProxies(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, cluster *cluster) {
		cluster.lossPercent = 20
		for round := range 12 {
			version := cluster.putManifest(manifest("kyushu", float64(round+1), false))
			victim := cluster.vms[cluster.random.IntN(len(cluster.vms))]
			switch cluster.random.IntN(4) {
			case 0:
				victim.start()
			case 1:
				victim.dead = true
				cluster.Advance(1500 * time.Millisecond)
				victim.start()
			case 2:
				cluster.stale = !cluster.stale
			}
			cluster.Advance(configDelay)
			for _, vm := range cluster.vms {
				c.Assert(vm.hasVersion(version), qt.IsTrue, qt.Commentf("round %d, %s: %v", round, vm.VM, vm.versions))
				c.Assert(slices.IsSorted(vm.versions), qt.IsTrue)
			}
		}
	})
}

// TestRestartWhilePlatformIsDown checks that a restarted proxy accepts keys only after it got the manifests from its
// peers.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	eachSeed(t, 6, 3, func(c *qt.C, cluster *cluster) {
		version := cluster.putManifest(manifest("kyushu", 5, false))
		cluster.Advance(configDelay)
		cluster.down = true
		cluster.Advance(time.Second)
		restarted := cluster.vms[cluster.random.IntN(len(cluster.vms))]
		restarted.start()
		c.Assert(restarted.acceptsKey("kyushu.key"), qt.IsFalse)
		cluster.Advance(configDelay)
		c.Assert(restarted.hasVersion(version), qt.IsTrue)
		c.Assert(restarted.acceptsKey("kyushu.key"), qt.IsTrue)
	})
}

// withdrawWithPlatformCut disconnects proxies from the platform, withdraws a key and returns the VMs that still accept
// it.
func withdrawWithPlatformCut(cluster *cluster) (accepting []spool.VM) {
	cluster.putManifest(manifest("kyushu", 5, false))
	cluster.Advance(configDelay)
	cluster.lossPercent = 20
	for _, vm := range cluster.vms {
		cluster.platformCut[vm.VM] = vm.Domain != "d0"
	}
	cluster.Advance(time.Second)
	cluster.putManifest(manifest("kyushu", 5, true))
	cluster.Advance(configDelay)
	return cluster.acceptingVMs("kyushu.key")
}

func (cluster *cluster) acceptingVMs(key string) (accepting []spool.VM) {
	for _, vm := range cluster.vms {
		if vm.acceptsKey(key) {
			accepting = append(accepting, vm.VM)
		}
	}
	return accepting
}

// TestWithdrawnKeyReachesProxiesOverPeers checks that proxies without the platform learn of a withdrawal from peers.
func TestWithdrawnKeyReachesProxiesOverPeers(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, cluster *cluster) {
		c.Assert(withdrawWithPlatformCut(cluster), qt.HasLen, 0)
	})
}

func TestWithdrawnKeyStaysValidWithoutExchange(t *testing.T) {
	cluster := newCluster(0, 9, 3, core.WithoutExchange)
	cluster.Advance(3 * time.Second)
	qt.Assert(t, withdrawWithPlatformCut(cluster), qt.Not(qt.HasLen), 0)
}

// withdrawWithDomainCut isolates a failure domain, withdraws a key and returns the VMs that still accept it.
func withdrawWithDomainCut(cluster *cluster) (accepting []spool.VM) {
	cluster.putManifest(manifest("kyushu", 5, false))
	cluster.Advance(configDelay)
	for _, vm := range cluster.vms {
		if vm.Domain == "d1" {
			cluster.cut[vm.VM], cluster.platformCut[vm.VM] = true, true
		}
	}
	cluster.putManifest(manifest("kyushu", 5, true))
	cluster.Advance(configDelay)
	return cluster.acceptingVMs("kyushu.key")
}

func TestIsolatedProxyRefusesKeys(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, cluster *cluster) {
		c.Assert(withdrawWithDomainCut(cluster), qt.HasLen, 0)
		clear(cluster.cut)
		clear(cluster.platformCut)
		cluster.putManifest(manifest("kyushu", 5, false))
		cluster.Advance(configDelay)
		c.Assert(cluster.acceptingVMs("kyushu.key"), qt.HasLen, 9)
	})
}

func TestIsolatedProxyAcceptsKeysWithoutTrust(t *testing.T) {
	cluster := newCluster(0, 9, 3, core.WithoutTrust)
	cluster.Advance(3 * time.Second)
	qt.Assert(t, withdrawWithDomainCut(cluster), qt.HasLen, 3)
}

// TestKeysStayValidDuringOutage checks that all proxies accept keys during an outage of the platform.
func TestKeysStayValidDuringOutage(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, cluster *cluster) {
		cluster.putManifest(manifest("kyushu", 5, false))
		cluster.Advance(configDelay)
		cluster.down = true
		for range 60 {
			cluster.Advance(time.Second)
			for _, vm := range cluster.vms {
				c.Assert(vm.acceptsKey("kyushu.key"), qt.IsTrue, qt.Commentf("%s", vm.VM))
			}
		}
	})
}

// TestRelaysCarryManifests runs a fleet above the full-mesh limit, in which one VM per failure domain watches the
// platform.
func TestRelaysCarryManifests(t *testing.T) {
	cluster := newCluster(1, 60, 6)
	c := qt.New(t)
	cluster.Advance(8 * time.Second)
	cluster.calls = 0
	version := cluster.putManifest(manifest("kyushu", 5, false))
	cluster.Advance(configDelay)
	watching := 0
	for _, vm := range cluster.vms {
		c.Assert(vm.hasVersion(version), qt.IsTrue, qt.Commentf("%s", vm.VM))
		if vm.watch != 0 {
			watching++
		}
	}
	c.Assert(watching, qt.Equals, 6)
	c.Assert(cluster.calls <= 6*5, qt.IsTrue, qt.Commentf("%d calls", cluster.calls))
}
