package core_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// ownerCount returns the number of live VMs that consider themselves holders of the only team's role.
func (cluster *cluster) ownerCount() int {
	owners := 0
	for _, vm := range cluster.vms {
		if _, teams := vm.core.HeldLeases(); !vm.dead && teams > 0 {
			owners++
		}
	}
	return owners
}

// stableWitnesses returns the quorum known to the first live VM for which it is not changing.
func (cluster *cluster) stableWitnesses() []spool.VM {
	for _, vm := range cluster.vms {
		if !vm.dead && !vm.core.Quorum().Changing {
			return vm.core.Quorum().Members
		}
	}
	return nil
}

func (cluster *cluster) kill(name spool.VM) {
	for _, vm := range cluster.vms {
		if vm.VM == name {
			vm.dead = true
		}
	}
}

func (cluster *cluster) alive(names []spool.VM) bool {
	return !slices.ContainsFunc(cluster.vms, func(vm *vm) bool { return vm.dead && slices.Contains(names, vm.VM) })
}

// waitFor advances until the condition holds and returns the time taken; it asserts at each step that the role has at
// most one holder.
func (cluster *cluster) waitFor(c *qt.C, limit time.Duration, condition func() bool) time.Duration {
	const step = 20 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= limit; elapsed += step {
		c.Assert(cluster.ownerCount() <= 1, qt.IsTrue)
		if condition() {
			return elapsed
		}
		cluster.Advance(step)
	}
	c.Fatalf("condition not met within %v", limit)
	return 0
}

// TestQuorumReplacesWitnesses kills one witness after another under message loss; each must be replaced by a live VM.
func TestQuorumReplacesWitnesses(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, cluster *cluster) {
		cluster.putManifest(manifest("kyushu", 5, false))
		cluster.lossPercent = 10
		cluster.waitFor(c, 5*time.Second, func() bool { return cluster.ownerCount() == 1 })
		for range 3 {
			cluster.waitFor(c, 10*time.Second, func() bool { return len(cluster.stableWitnesses()) == 3 })
			before := cluster.stableWitnesses()
			cluster.kill(before[cluster.random.IntN(3)])
			cluster.waitFor(c, 3*time.Second, func() bool { return cluster.ownerCount() == 1 })
			cluster.waitFor(c, 25*time.Second, func() bool {
				return !slices.Equal(cluster.stableWitnesses(), before) && cluster.alive(cluster.stableWitnesses())
			})
			cluster.waitFor(c, 3*time.Second, func() bool { return cluster.ownerCount() == 1 })
		}
	})
}

// TestMajorityOfWitnessesDestroyed checks that a dead majority of witnesses is replaced only after the platform removed
// those VMs from its list, and that nobody owns the rate before.
func TestMajorityOfWitnessesDestroyed(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, cluster *cluster) {
		cluster.putManifest(manifest("kyushu", 5, false))
		cluster.waitFor(c, 5*time.Second, func() bool { return cluster.ownerCount() == 1 })
		cluster.waitFor(c, 10*time.Second, func() bool { return len(cluster.stableWitnesses()) == 3 })
		lost := cluster.stableWitnesses()[:2]
		for _, name := range lost {
			cluster.kill(name)
		}
		cluster.Advance(20 * time.Second)
		c.Assert(cluster.ownerCount(), qt.Equals, 0)
		for _, name := range lost {
			cluster.store(spool.Object{Kind: spool.KindMember, Name: string(name), Body: []byte("null")})
		}
		took := cluster.waitFor(c, 45*time.Second, func() bool { return cluster.ownerCount() == 1 })
		c.Assert(took >= 25*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}
