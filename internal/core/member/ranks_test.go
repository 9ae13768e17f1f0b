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
	drawnVMs   = 8
	drawnRoles = 12
)

// TestRanksThatFollowEqualThoseMadeAnew compares ranks that saw every change with ranks made from the view as it is.
func TestRanksThatFollowEqualThoseMadeAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := member.New(spool.Member{VM: "vm0", Domain: "d0"})
		followed := member.NewRanks(view)
		now := spool.Instant(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
			strike(t, view, now)
			if rapid.Bool().Draw(t, "updates") {
				compare(t, view, followed, now)
			}
			if dropped := rapid.IntRange(0, 2*drawnRoles).Draw(t, "dropped"); dropped < drawnRoles {
				followed.Retain(func(role string) bool { return role != roleName(dropped) })
			}
		}
		compare(t, view, followed, now)
	})
}

// strike changes the view in a drawn way.
func strike(t *rapid.T, view *member.View, now spool.Instant) {
	vm := spool.VM(fmt.Sprintf("vm%d", rapid.IntRange(1, drawnVMs).Draw(t, "vm")))
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

func compare(t *rapid.T, view *member.View, followed *member.Ranks, now spool.Instant) {
	before := places(followed)
	changed := followed.Update(now)
	anew := member.NewRanks(view)
	anew.Update(now)
	after := places(followed)
	if expected := places(anew); !slices.Equal(after, expected) {
		t.Fatalf("places are %v, made anew %v", after, expected)
	}
	if !changed && !slices.Equal(after, before) {
		t.Fatalf("places changed from %v to %v without a word", before, after)
	}
}

// places lists the own place for every drawn role, or -1 where there is none.
func places(ranks *member.Ranks) []int {
	places := []int{}
	for i := range drawnRoles {
		rank, may := ranks.Rank(roleName(i))
		if !may {
			rank = -1
		}
		places = append(places, rank)
	}
	return places
}

func roleName(index int) string { return fmt.Sprintf("Team/t%d", index) }
