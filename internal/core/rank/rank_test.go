package rank

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWeightsSpreadRolesEvenly checks that each VM comes first for about the same number of roles.
func TestWeightsSpreadRolesEvenly(t *testing.T) {
	c := qt.New(t)
	const vms, roles = 40, 8000 // 200 roles per VM with a standard deviation of 14
	first := map[int]int{}
	for role := range roles {
		best := 0
		for vm := range vms {
			if weightOf(role, vm) > weightOf(role, best) {
				best = vm
			}
		}
		first[best]++
	}
	for vm := range vms {
		c.Assert(first[vm] > 140 && first[vm] < 260, qt.IsTrue, qt.Commentf("vm %d comes first for %d roles", vm, first[vm]))
	}
}

// TestWeightsSpreadTheRolesOfALostVM checks that the roles of a lost VM move to many other VMs.
func TestWeightsSpreadTheRolesOfALostVM(t *testing.T) {
	c := qt.New(t)
	const vms, roles = 40, 8000
	successors := map[int]int{}
	for role := range roles {
		next := 1
		for vm := 1; vm < vms; vm++ {
			if weightOf(role, vm) > weightOf(role, next) {
				next = vm
			}
		}
		if weightOf(role, 0) > weightOf(role, next) {
			successors[next]++
		}
	}
	for vm, count := range successors {
		c.Assert(count < 20, qt.IsTrue, qt.Commentf("vm %d takes over %d roles", vm, count))
	}
	c.Assert(len(successors) > 30, qt.IsTrue, qt.Commentf("%d successors", len(successors)))
}

func weightOf(role, vm int) uint64 {
	return Weight(fmt.Sprintf("Group/kyushu.records-%d", role), fmt.Sprintf("vm-%04d", vm))
}
