package rank

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestCapacityIsTheScarcestResource guards against roles on a VM that has processor time but a slow link.
func TestCapacityIsTheScarcestResource(t *testing.T) {
	c := qt.New(t)
	c.Assert(Capacity(0.134, 10e6/8, 136<<20, 3010), qt.Equals, uint32(10))
	c.Assert(Capacity(0.8, 200e6/8, 536<<20, 8192), qt.Equals, uint32(41))
	c.Assert(Capacity(0.8, 5e6/8, 536<<20, 8192), qt.Equals, uint32(5))
	c.Assert(Capacity(0.001, 10e6/8, 136<<20, 3010), qt.Equals, uint32(1))
	c.Assert(Capacity(0, 0, 0, 0), qt.Equals, uint32(ReferenceCapacity))
}

// first returns the VM that comes first for a subject.
func first(subject int, capacities map[string]uint32) string {
	vms := make([]string, 0, len(capacities))
	for vm := range capacities {
		vms = append(vms, vm)
	}
	return slices.MaxFunc(vms, func(left, right string) int {
		name := fmt.Sprint(subject)
		return cmp.Compare(Weighted(Weight(name, left), capacities[left]), Weighted(Weight(name, right), capacities[right]))
	})
}

// TestSubjectsInProportionToCapacity guards against small VMs with as many roles as large ones.
func TestSubjectsInProportionToCapacity(t *testing.T) {
	c := qt.New(t)
	const subjects, large, small = 2000, 3, 30
	capacities := map[string]uint32{}
	for i := range large {
		capacities[fmt.Sprintf("large-%d", i)] = 40
	}
	for i := range small {
		capacities[fmt.Sprintf("small-%d", i)] = 10
	}
	counts := map[string]int{}
	for subject := range subjects {
		counts[first(subject, capacities)[:5]]++
	}
	// 3 of 40 and 30 of 10: the large VMs have 2/7 of the capacity, with a standard deviation of 20.
	c.Assert(counts["large"] > subjects*2/7-80 && counts["large"] < subjects*2/7+80, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestFewSubjectsMoveWithTheFleet adds a VM to a fleet of random capacities: a subject either stays where it was or moves to
// the new VM, so that no role changes between VMs that stay.
func TestFewSubjectsMoveWithTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := map[string]uint32{}
		for i := range rapid.IntRange(2, 20).Draw(t, "vms") {
			capacities[fmt.Sprintf("vm-%d", i)] = uint32(rapid.IntRange(1, 60).Draw(t, "capacity"))
		}
		before := map[int]string{}
		for subject := range 100 {
			before[subject] = first(subject, capacities)
		}
		capacities["added"] = uint32(rapid.IntRange(1, 60).Draw(t, "added"))
		for subject := range 100 {
			if now := first(subject, capacities); now != before[subject] && now != "added" {
				t.Fatalf("subject %d moved from %s to %s", subject, before[subject], now)
			}
		}
	})
}

// TestEqualCapacitiesKeepTheOrderOfTheHashes guards against a move of all roles when a fleet of equal VMs learns capacities.
func TestEqualCapacitiesKeepTheOrderOfTheHashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left, right := rapid.Uint64().Draw(t, "left"), rapid.Uint64().Draw(t, "right")
		capacity := uint32(rapid.IntRange(0, 100).Draw(t, "capacity"))
		if left>>13 != right>>13 && (left < right) != (Weighted(left, capacity) < Weighted(right, capacity)) {
			t.Fatalf("order of %d and %d differs", left, right)
		}
	})
}
