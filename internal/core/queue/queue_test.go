package queue_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/internal/core/queue"
	"corianderspool.example/spool/internal/rapids"
	"corianderspool.example/spool/pkg/spool"
)

func TestMain(m *testing.M) { rapids.Main(m, rapids.WithSeed(7), rapids.WithSteps(200)) }

const start = spool.Instant(time.Hour)

// unlimited is a capacity that serves everything.
type unlimited struct{}

// Free implements queue.Capacity.
func (unlimited) Free(spool.Team, queue.Target) (possible, reuse bool) { return true, false }

func item(team spool.Team, priority int, left time.Duration) *queue.Item[int] {
	return &queue.Item[int]{Team: team, Priority: priority, Arrived: start, Deadline: start.Add(left)}
}

// servedOrder serves one item after the other, and returns their values.
func servedOrder(waiting *queue.Queue[int]) []int {
	var order []int
	waiting.Dispatch(start, unlimited{}, func(item *queue.Item[int]) bool {
		order = append(order, item.Value)
		return true
	})
	return order
}

// TestOrderInsideATeam guards against a less urgent request, or one with more time left, being served first.
func TestOrderInsideATeam(t *testing.T) {
	waiting := queue.New[int]()
	waiting.SetPrioritized(true)
	for value, added := range []*queue.Item[int]{item("red", 2, 1), item("red", 0, 9), item("red", 0, 5), item("red", 1, 1)} {
		added.Value = value
		waiting.Push(added, start)
	}
	qt.Assert(t, servedOrder(waiting), qt.DeepEquals, []int{2, 1, 3, 0})
}

// TestUrgentFloodDoesNotStarveOtherTeams has one team flood its urgent route while another waits with a less urgent request:
// the flood is beyond the team's share, so the other team is served first.
func TestUrgentFloodDoesNotStarveOtherTeams(t *testing.T) {
	c := qt.New(t)
	waiting := queue.New[int]()
	waiting.SetPrioritized(true)
	for range 4 {
		waiting.Start("flood", start)
	}
	now := start.Add(time.Second)
	for value := range 20 {
		flood := item("flood", 0, time.Minute)
		flood.Value = value
		waiting.Push(flood, now)
	}
	modest := item("modest", 2, time.Minute)
	modest.Value = 100
	waiting.Push(modest, now)
	c.Assert(waiting.Ahead("modest", queue.Target{}, 2, "", now) <= 1, qt.IsTrue)
	c.Assert(waiting.Ahead("flood", queue.Target{}, 0, "", now), qt.Equals, 21)
	var first int
	served := 0
	waiting.Dispatch(now, unlimited{}, func(item *queue.Item[int]) bool {
		if served == 0 {
			first = item.Value
		}
		served++
		return served == 1
	})
	c.Assert(first, qt.Equals, 100)
}

// TestQueueIsBounded guards against a queue that grows with the load; an urgent request displaces the last one of its team.
func TestQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	waiting := queue.New[int]()
	waiting.SetPrioritized(true)
	for range queue.MaxPerTeam {
		c.Assert(waiting.Push(item("red", 1, time.Second), start), qt.IsNil)
	}
	late := item("red", 1, 2*time.Second)
	c.Assert(waiting.Push(late, start), qt.Equals, late)
	urgent := item("red", 0, time.Second)
	displaced := waiting.Push(urgent, start)
	c.Assert(displaced.Priority, qt.Equals, 1)
	c.Assert(displaced.Waiting(), qt.IsFalse)
	c.Assert(urgent.Waiting(), qt.IsTrue)
	c.Assert(waiting.Len(), qt.Equals, queue.MaxPerTeam)
	teams := 0
	for ; waiting.Len() < queue.MaxPerTarget; teams++ {
		waiting.Push(item(spool.Team(rune('A'+teams)), 1, time.Second), start)
		c.Assert(teams < queue.MaxPerTarget, qt.IsTrue)
	}
	other := item("other", 0, time.Second)
	c.Assert(waiting.Push(other, start), qt.Equals, other)
}

// TestHopelessRequestsAreRefused has urgent requests arrive ahead of a queued one, which can no longer be served in time.
func TestHopelessRequestsAreRefused(t *testing.T) {
	c := qt.New(t)
	waiting := queue.New[int]()
	waiting.SetPrioritized(true)
	last := item("red", 1, 100*time.Millisecond)
	waiting.Push(last, start)
	expected := func(_ queue.Target, ahead int) time.Duration { return time.Duration(ahead+1) * 30 * time.Millisecond }
	var refused []*queue.Item[int]
	refuse := func(item *queue.Item[int], wait time.Duration) {
		refused = append(refused, item)
		c.Assert(wait, qt.Equals, 210*time.Millisecond)
	}
	waiting.RefuseHopeless("", start, expected, refuse)
	c.Assert(refused, qt.HasLen, 0)
	for range 6 {
		waiting.Push(item("red", 0, time.Second), start)
	}
	waiting.RefuseHopeless("", start, expected, refuse)
	c.Assert(refused, qt.HasLen, 1)
	c.Assert(refused[0], qt.Equals, last)
	c.Assert(last.Waiting(), qt.IsFalse)
}

// blocked is a capacity that serves only some teams.
type blocked map[spool.Team]bool

// Free implements queue.Capacity.
func (blocked blocked) Free(team spool.Team, _ queue.Target) (possible, reuse bool) {
	return !blocked[team], false
}

// TestOrderWithOnePriority compares the queue with a naive one, in which every request of a deployment without priorities is
// served in the order of arrival, and those with priorities by priority before that.
func TestOrderWithOnePriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting := queue.New[int]()
		var naive []*queue.Item[int]
		teams := []spool.Team{"a", "b", "c"}
		for value := range rapid.IntRange(1, 60).Draw(t, "items") {
			added := item(rapid.SampledFrom(teams).Draw(t, "team"), rapid.IntRange(0, 1).Draw(t, "priority"), time.Second)
			added.Target.Primary = rapid.Bool().Draw(t, "primary")
			added.Value = value
			if waiting.Push(added, start) == nil {
				naive = append(naive, added)
			}
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
				waiting.Remove(naive[0])
				naive = naive[1:]
			}
		}
		slices.SortStableFunc(naive, func(left, right *queue.Item[int]) int { return cmp.Compare(left.Priority, right.Priority) })
		capacity := blocked{rapid.SampledFrom(teams).Draw(t, "blocked"): true}
		var served, expected []int
		waiting.Dispatch(start, capacity, func(item *queue.Item[int]) bool {
			served = append(served, item.Value)
			return true
		})
		for _, item := range naive {
			if !capacity[item.Team] {
				expected = append(expected, item.Value)
			}
		}
		if !slices.Equal(served, expected) {
			t.Fatalf("served %v, not %v", served, expected)
		}
		if waiting.Len() != len(naive)-len(served) {
			t.Fatalf("%d of %d items remain", waiting.Len(), len(naive)-len(served))
		}
	})
}
