package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderspool.example/spool/internal/core/member"
	"corianderspool.example/spool/pkg/spool"
)

const (
	vmCount   = 8
	roleCount = 12
)

// TestIncrementalRanksMatchRebuiltRanks compares ranks that were updated through a random history of a view with ranks that
// are built from its final state.
func TestIncrementalRanksMatchRebuiltRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := member.New(spool.Member{VM: "vm0", Domain: "d0"})
		incremental := member.NewRanks(view)
		now := spool.Instant(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
			mutateView(t, view, now)
			if rapid.Bool().Draw(t, "updates") {
				compareRanks(t, view, incremental, now)
			}
			if dropped := rapid.IntRange(0, 2*roleCount).Draw(t, "dropped"); dropped < roleCount {
				incremental.Retain(func(role string) bool { return role != roleName(dropped) })
			}
		}
		compareRanks(t, view, incremental, now)
	})
}

// mutateView applies a random change to the view.
func mutateView(t *rapid.T, view *member.View, now spool.Instant) {
	vm := spool.VM(fmt.Sprintf("vm%d", rapid.IntRange(1, vmCount).Draw(t, "vm")))
	switch rapid.IntRange(0, 20).Draw(t, "change") {
	case 0:
		view.Leave()
	case 1, 2:
		view.RemoveExpired(now)
	case 3, 4:
		view.ApplyList([]spool.Member{{VM: vm, Domain: "d1"}})
	default:
		incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
		leaving := rapid.IntRange(0, 4).Draw(t, "leaving") == 0
		view.RecordHeartbeat(vm, incarnation, heartbeat("d1", leaving), now)
	}
}

func compareRanks(t *rapid.T, view *member.View, incremental *member.Ranks, now spool.Instant) {
	before := listRanks(incremental)
	changed := incremental.Update(now)
	rebuilt := member.NewRanks(view)
	rebuilt.Update(now)
	after := listRanks(incremental)
	if expected := listRanks(rebuilt); !slices.Equal(after, expected) {
		t.Fatalf("incrementally updated ranks are %v, rebuilt ranks are %v", after, expected)
	}
	if !changed && !slices.Equal(after, before) {
		t.Fatalf("ranks changed from %v to %v, but Update returned false", before, after)
	}
}

// listRanks returns the local VM's rank for every role, or -1 where it has none.
func listRanks(ranks *member.Ranks) []int {
	list := []int{}
	for i := range roleCount {
		rank, eligible := ranks.Rank(roleName(i))
		if !eligible {
			rank = -1
		}
		list = append(list, rank)
	}
	return list
}

func roleName(index int) string { return fmt.Sprintf("Team/t%d", index) }
