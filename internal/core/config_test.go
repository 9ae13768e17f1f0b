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

const inForce = 4 * time.Second

// seeds returns the fixed seeds of CI, or as many as SPOOL_SEEDS asks for.
func seeds() uint64 {
	if count, err := strconv.ParseUint(os.Getenv("SPOOL_SEEDS"), 10, 32); err == nil {
		return count
	}
	return 8
}

func eachSeed(t *testing.T, size, domains int, run func(c *qt.C, world *world)) {
	for seed := range seeds() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			world := newWorld(seed, size, domains)
			world.Advance(3 * time.Second)
			run(qt.New(t), world)
		})
	}
}

// has tells whether a VM has a version or a newer one of a partner's manifest in force.
func (vm *vm) has(version spool.Version) bool {
	return len(vm.versions) > 0 && vm.versions[len(vm.versions)-1] >= version
}

func (vm *vm) works(key string) bool {
	_, known := vm.snapshot.Key(key)
	return known && vm.trusted
}

// TestManifestInForceEverywhere races two operators while messages are lost, VMs restart and the platform pauses.
func TestManifestInForceEverywhere(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, world *world) {
		world.loss = 20
		for round := range 12 {
			version := world.push(manifest("kyushu", float64(round+1), false))
			victim := world.vms[world.random.IntN(len(world.vms))]
			switch world.random.IntN(4) {
			case 0:
				victim.start()
			case 1:
				victim.dead = true
				world.Advance(1500 * time.Millisecond)
				victim.start()
			case 2:
				world.stale = !world.stale
			}
			world.Advance(inForce)
			for _, vm := range world.vms {
				c.Assert(vm.has(version), qt.IsTrue, qt.Commentf("round %d, %s: %v", round, vm.VM, vm.versions))
				c.Assert(slices.IsSorted(vm.versions), qt.IsTrue)
			}
		}
	})
}

// TestRestartWhilePlatformIsDown expects a new proxy to learn the manifests from its peers before it serves.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	eachSeed(t, 6, 3, func(c *qt.C, world *world) {
		version := world.push(manifest("kyushu", 5, false))
		world.Advance(inForce)
		world.down = true
		world.Advance(time.Second)
		restarted := world.vms[world.random.IntN(len(world.vms))]
		restarted.start()
		c.Assert(restarted.works("kyushu.key"), qt.IsFalse)
		world.Advance(inForce)
		c.Assert(restarted.has(version), qt.IsTrue)
		c.Assert(restarted.works("kyushu.key"), qt.IsTrue)
	})
}

// withdrawOverPeers cuts proxies from the platform, withdraws a key and returns the VMs where it works on.
func withdrawOverPeers(world *world) (working []spool.VM) {
	world.push(manifest("kyushu", 5, false))
	world.Advance(inForce)
	world.loss = 20
	for _, vm := range world.vms {
		world.islanded[vm.VM] = vm.Domain != "d0"
	}
	world.Advance(time.Second)
	world.push(manifest("kyushu", 5, true))
	world.Advance(inForce)
	return world.working("kyushu.key")
}

func (world *world) working(key string) (working []spool.VM) {
	for _, vm := range world.vms {
		if vm.works(key) {
			working = append(working, vm.VM)
		}
	}
	return working
}

// TestWithdrawnKeyReachesProxiesOverPeers expects peers to pass a withdrawal on to proxies that the platform can't reach.
func TestWithdrawnKeyReachesProxiesOverPeers(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, world *world) {
		c.Assert(withdrawOverPeers(world), qt.HasLen, 0)
	})
}

func TestWithdrawnKeyWorksOnWithoutExchange(t *testing.T) {
	world := newWorld(0, 9, 3, core.WithoutExchange)
	world.Advance(3 * time.Second)
	qt.Assert(t, withdrawOverPeers(world), qt.Not(qt.HasLen), 0)
}

// withdrawBehindCut cuts a failure domain from everything, withdraws a key and returns the VMs where it works on.
func withdrawBehindCut(world *world) (working []spool.VM) {
	world.push(manifest("kyushu", 5, false))
	world.Advance(inForce)
	for _, vm := range world.vms {
		if vm.Domain == "d1" {
			world.cut[vm.VM], world.islanded[vm.VM] = true, true
		}
	}
	world.push(manifest("kyushu", 5, true))
	world.Advance(inForce)
	return world.working("kyushu.key")
}

func TestCutProxyRefusesKeys(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, world *world) {
		c.Assert(withdrawBehindCut(world), qt.HasLen, 0)
		clear(world.cut)
		clear(world.islanded)
		world.push(manifest("kyushu", 5, false))
		world.Advance(inForce)
		c.Assert(world.working("kyushu.key"), qt.HasLen, 9)
	})
}

func TestCutProxyServesOnWithoutTrust(t *testing.T) {
	world := newWorld(0, 9, 3, core.WithoutTrust)
	world.Advance(3 * time.Second)
	qt.Assert(t, withdrawBehindCut(world), qt.HasLen, 3)
}

// TestOutageKeepsTrust expects keys to work on through an outage of the platform.
func TestOutageKeepsTrust(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, world *world) {
		world.push(manifest("kyushu", 5, false))
		world.Advance(inForce)
		world.down = true
		for range 60 {
			world.Advance(time.Second)
			for _, vm := range world.vms {
				c.Assert(vm.works("kyushu.key"), qt.IsTrue, qt.Commentf("%s", vm.VM))
			}
		}
	})
}

// TestRelaysCarryManifests uses a fleet above the mesh limit, where one VM of each domain watches the platform.
func TestRelaysCarryManifests(t *testing.T) {
	world := newWorld(1, 60, 6)
	c := qt.New(t)
	world.Advance(8 * time.Second)
	world.calls = 0
	version := world.push(manifest("kyushu", 5, false))
	world.Advance(inForce)
	watching := 0
	for _, vm := range world.vms {
		c.Assert(vm.has(version), qt.IsTrue, qt.Commentf("%s", vm.VM))
		if vm.watch != 0 {
			watching++
		}
	}
	c.Assert(watching, qt.Equals, 6)
	c.Assert(world.calls <= 6*5, qt.IsTrue, qt.Commentf("%d calls", world.calls))
}
