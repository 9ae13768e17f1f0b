package core_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// owners counts the VMs that believe to hold the only team's role.
func (world *world) owners() int {
	owners := 0
	for _, vm := range world.vms {
		if _, teams := vm.core.Held(); !vm.dead && teams > 0 {
			owners++
		}
	}
	return owners
}

// witnesses returns the quorum that most live VMs know.
func (world *world) witnesses() []spool.VM {
	for _, vm := range world.vms {
		if !vm.dead && !vm.core.Quorum().Changing {
			return vm.core.Quorum().Members
		}
	}
	return nil
}

func (world *world) kill(name spool.VM) {
	for _, vm := range world.vms {
		if vm.VM == name {
			vm.dead = true
		}
	}
}

func (world *world) alive(names []spool.VM) bool {
	return !slices.ContainsFunc(world.vms, func(vm *vm) bool { return vm.dead && slices.Contains(names, vm.VM) })
}

// within advances until a condition holds, checks at each step that a role has one holder at the most, and returns the time.
func (world *world) within(c *qt.C, limit time.Duration, holds func() bool) time.Duration {
	const step = 20 * time.Millisecond
	for passed := time.Duration(0); passed <= limit; passed += step {
		c.Assert(world.owners() <= 1, qt.IsTrue)
		if holds() {
			return passed
		}
		world.Advance(step)
	}
	c.Fatalf("not within %v", limit)
	return 0
}

// TestQuorumReplacesWitnesses kills one witness after the other, and the owner of a rate, under loss of messages.
func TestQuorumReplacesWitnesses(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, world *world) {
		world.push(manifest("kyushu", 5, false))
		world.loss = 10
		world.within(c, 5*time.Second, func() bool { return world.owners() == 1 })
		for range 3 {
			world.within(c, 10*time.Second, func() bool { return len(world.witnesses()) == 3 })
			before := world.witnesses()
			world.kill(before[world.random.IntN(3)])
			world.within(c, 3*time.Second, func() bool { return world.owners() == 1 })
			world.within(c, 25*time.Second, func() bool {
				return !slices.Equal(world.witnesses(), before) && world.alive(world.witnesses())
			})
			world.within(c, 3*time.Second, func() bool { return world.owners() == 1 })
		}
	})
}

// TestMajorityOfWitnessesDestroyed expects no owner until the platform tells that the dead VMs are gone for good.
func TestMajorityOfWitnessesDestroyed(t *testing.T) {
	eachSeed(t, 9, 3, func(c *qt.C, world *world) {
		world.push(manifest("kyushu", 5, false))
		world.within(c, 5*time.Second, func() bool { return world.owners() == 1 })
		world.within(c, 10*time.Second, func() bool { return len(world.witnesses()) == 3 })
		lost := world.witnesses()[:2]
		for _, name := range lost {
			world.kill(name)
		}
		world.Advance(20 * time.Second)
		c.Assert(world.owners(), qt.Equals, 0)
		for _, name := range lost {
			world.store(spool.Object{Kind: spool.KindMember, Name: string(name), Body: []byte("null")})
		}
		took := world.within(c, 45*time.Second, func() bool { return world.owners() == 1 })
		c.Assert(took >= 25*time.Second, qt.IsTrue, qt.Commentf("%v", took))
	})
}
