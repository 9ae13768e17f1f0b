package slots

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderspool.example/spool/internal/rapids"
	"corianderspool.example/spool/pkg/spool"
)

const millisecond = spool.Instant(time.Millisecond)

func TestMain(m *testing.M) { rapids.Main(m, rapids.WithSeed(4), rapids.WithSteps(400)) }

func up(slots ...int) []Limit {
	var limits []Limit
	for _, count := range slots {
		limits = append(limits, Limit{Slots: count, Connections: 20, Up: true})
	}
	return limits
}

func item(id uint64, team spool.Team, servers Servers) Item {
	return Item{ID: id, Team: team, Servers: servers, Deadline: 1e12}
}

func TestAcquirePrefersServerWithMostFreeSlots(t *testing.T) {
	c := qt.New(t)
	queue := New()
	queue.SetServers(up(1, 3, 2), 0)
	c.Assert(queue.Acquire(item(1, "a", 0b111), 0).Server, qt.Equals, 1)
	c.Assert(queue.Acquire(item(2, "a", 0b101), 0).Server, qt.Equals, 2)
	c.Assert(queue.Acquire(item(3, "a", 0b001), 0).Outcome, qt.Equals, Granted)
	c.Assert(queue.Acquire(item(4, "a", 0b001), 0).Outcome, qt.Equals, Queued)
	c.Assert(queue.Release(0, "a", millisecond), qt.DeepEquals, []Grant{{ID: 4, Team: "a", Server: 0}})
}

func TestFreeSlotGoesToLeastServedTeam(t *testing.T) {
	c := qt.New(t)
	queue := New()
	queue.SetServers(up(1), 0)
	queue.Acquire(item(1, "greedy", 1), 0)
	queue.Acquire(item(2, "greedy", 1), 0)
	queue.Acquire(item(3, "modest", 1), millisecond)
	c.Assert(queue.Release(0, "greedy", 5*millisecond), qt.DeepEquals, []Grant{{ID: 3, Team: "modest", Server: 0}})
	c.Assert(queue.Release(0, "modest", 6*millisecond), qt.DeepEquals, []Grant{{ID: 2, Team: "greedy", Server: 0}})
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	queue := New()
	queue.SetServers(up(1, 1), 0)
	queue.Acquire(item(1, "a", 0b11), 0)
	queue.Acquire(item(2, "a", 0b11), 0)
	queue.Acquire(item(3, "a", 0b11), 0)
	limits := up(1, 1)
	limits[0].Leaving = true
	c.Assert(queue.SetServers(limits, 0), qt.HasLen, 0)
	c.Assert(queue.Release(0, "a", millisecond), qt.HasLen, 0)
	c.Assert(queue.ReserveConnection(0), qt.IsFalse)
	c.Assert(queue.Release(1, "a", millisecond), qt.HasLen, 1)
}

func TestRefusesWhenExpectedWaitExceedsDeadline(t *testing.T) {
	c := qt.New(t)
	queue := New(WithSlotTime(10 * time.Millisecond))
	queue.SetServers(up(1), 0)
	outcomes := map[Outcome]int{}
	for id := range uint64(20) {
		answer := queue.Acquire(Item{ID: id, Team: "a", Servers: 1, Deadline: 55 * millisecond}, 0)
		outcomes[answer.Outcome]++
		c.Assert(answer.Outcome == Refused, qt.Equals, answer.RetryAfter > 0)
	}
	c.Assert(outcomes, qt.DeepEquals, map[Outcome]int{Granted: 1, Queued: 5, Refused: 14})
	c.Assert(queue.Expire(30*millisecond), qt.HasLen, 1)
	c.Assert(queue.Cancel(1), qt.IsTrue)
	c.Assert(queue.Cancel(1), qt.IsFalse)
	c.Assert(queue.Expire(60*millisecond), qt.HasLen, 3)
}

func TestSpareServersUsedWhenWaitIsLong(t *testing.T) {
	c := qt.New(t)
	queue := New(WithSlotTime(10 * time.Millisecond))
	queue.SetServers(up(1, 2), 0)
	longDeadline := Item{Team: "a", Servers: 0b01, Spare: 0b10, Deadline: 1000 * millisecond}
	shortDeadline := longDeadline
	shortDeadline.Deadline = 30 * millisecond
	c.Assert(queue.Acquire(longDeadline, 0).Server, qt.Equals, 0)
	c.Assert(queue.Acquire(longDeadline, 0).Outcome, qt.Equals, Queued)
	c.Assert(queue.Acquire(shortDeadline, 0), qt.Equals, Answer{Outcome: Granted, Server: 1})
	c.Assert(queue.Acquire(shortDeadline, 0).Outcome, qt.Equals, Queued)
}

func TestConnectionsStayWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	queue := New()
	queue.SetServers([]Limit{{Slots: 5, Connections: 2, Up: true}}, 0)
	c.Assert(queue.ReserveConnection(0), qt.IsTrue)
	c.Assert(queue.ReserveConnection(0), qt.IsTrue)
	c.Assert(queue.ReserveConnection(0), qt.IsFalse)
	queue.ReleaseConnection(0)
	c.Assert(queue.ReserveConnection(0), qt.IsTrue)
	for id := range uint64(3) {
		queue.Acquire(item(id, "a", 1), 0)
	}
	c.Assert(queue.servers[0].busy, qt.Equals, 2)
}

// TestOverloadingTeamDelaysOnlyItself sends 2000 items a second of one team and 33 of each of three others to slots that run 300
// a second: the others must be served, except for at most one item, and the first team must use the remaining slots.
func TestOverloadingTeamDelaysOnlyItself(t *testing.T) {
	c := qt.New(t)
	queue := New()
	queue.SetServers(up(3), 0)
	ends := map[spool.Instant][]Grant{}
	asked := map[spool.Team]int{}
	served := map[spool.Team]int{}
	begin := func(grant Grant, now spool.Instant) {
		served[grant.Team]++
		ends[now+10*millisecond] = append(ends[now+10*millisecond], grant)
	}
	id := uint64(0)
	for now := spool.Instant(0); now < 20*1000*millisecond; now += millisecond {
		for _, done := range ends[now] {
			for _, grant := range queue.Release(done.Server, done.Team, now) {
				begin(grant, now)
			}
		}
		delete(ends, now)
		queue.Expire(now)
		for _, team := range []spool.Team{"greedy", "greedy", "a", "b", "c"} {
			id++
			if team != "greedy" && (id/5)%30 != 0 {
				continue
			}
			asked[team]++
			answer := queue.Acquire(Item{ID: id, Team: team, Servers: 1, Deadline: now + 200*millisecond}, now)
			if answer.Outcome == Granted {
				begin(Grant{ID: id, Team: team, Server: answer.Server}, now)
			}
		}
	}
	for _, team := range []spool.Team{"a", "b", "c"} {
		c.Assert(served[team] >= asked[team]-1, qt.IsTrue, qt.Commentf("%v of %v", served, asked))
	}
	c.Assert(served["greedy"] >= 3900, qt.IsTrue, qt.Commentf("%v of %v", served, asked))
}

// TestQueueInvariants checks that no server exceeds its slots, no item is answered twice, and no eligible slot stays free while
// an item waits.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &queueModel{queue: New(), waiting: map[uint64]Item{}}
		model.setServers(t)
		t.Repeat(map[string]func(*rapid.T){
			"ask":     model.acquire,
			"release": model.release,
			"cancel":  model.cancel,
			"expire":  model.expire,
			"servers": model.setServers,
			"":        model.check,
		})
	})
}

type queueModel struct {
	queue   *Queue
	now     spool.Instant
	limits  []Limit
	nextID  uint64
	waiting map[uint64]Item
	running []Grant
}

func (model *queueModel) start(t *rapid.T, grants []Grant) {
	for _, grant := range grants {
		item, found := model.waiting[grant.ID]
		if !found || (item.Servers|item.Spare)&(1<<grant.Server) == 0 || item.Team != grant.Team || item.Deadline <= model.now {
			t.Fatalf("grant %v does not fit item %v", grant, item)
		}
		delete(model.waiting, grant.ID)
		model.begin(t, grant)
	}
}

func (model *queueModel) begin(t *rapid.T, grant Grant) {
	limit := model.limits[grant.Server]
	busy := 0
	for _, other := range model.running {
		if other.Server == grant.Server {
			busy++
		}
	}
	if !limit.Up || limit.Leaving || busy >= min(limit.Slots, limit.Connections) {
		t.Fatalf("server %d with limit %v and %d busy slots got new work", grant.Server, limit, busy)
	}
	model.running = append(model.running, grant)
}

func (model *queueModel) acquire(t *rapid.T) {
	model.now += spool.Instant(rapid.IntRange(0, 3e6).Draw(t, "pause"))
	model.nextID++
	asked := Item{
		ID:       model.nextID,
		Team:     spool.Team(fmt.Sprint("team", rapid.IntRange(0, 3).Draw(t, "team"))),
		Servers:  Servers(rapid.IntRange(1, 7).Draw(t, "servers")),
		Spare:    Servers(rapid.IntRange(0, 7).Draw(t, "spare")),
		Deadline: model.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "patience")) * time.Millisecond),
	}
	answer := model.queue.Acquire(asked, model.now)
	switch answer.Outcome {
	case Granted:
		model.waiting[asked.ID] = asked
		model.start(t, []Grant{{ID: asked.ID, Team: asked.Team, Server: answer.Server}})
	case Queued:
		model.waiting[asked.ID] = asked
	}
}

func (model *queueModel) release(t *rapid.T) {
	if len(model.running) == 0 {
		return
	}
	model.now += spool.Instant(rapid.IntRange(0, 3e6).Draw(t, "pause"))
	index := rapid.IntRange(0, len(model.running)-1).Draw(t, "done")
	done := model.running[index]
	model.running = append(model.running[:index], model.running[index+1:]...)
	model.start(t, model.queue.Release(done.Server, done.Team, model.now))
}

func (model *queueModel) cancel(t *rapid.T) {
	id := rapid.Uint64Range(0, model.nextID).Draw(t, "id")
	_, found := model.waiting[id]
	if model.queue.Cancel(id) && !found {
		t.Fatalf("item %d was cancelled but did not wait", id)
	}
	delete(model.waiting, id)
}

func (model *queueModel) expire(t *rapid.T) {
	for _, refusal := range model.queue.Expire(model.now) {
		if _, found := model.waiting[refusal.ID]; !found {
			t.Fatalf("item %d was refused but did not wait", refusal.ID)
		}
		delete(model.waiting, refusal.ID)
	}
	for id, item := range model.waiting {
		if item.Deadline <= model.now {
			t.Fatalf("item %d waits past its deadline", id)
		}
	}
}

func (model *queueModel) setServers(t *rapid.T) {
	model.limits = nil
	for range 3 {
		model.limits = append(model.limits, Limit{
			Slots:       rapid.IntRange(0, 5).Draw(t, "slots"),
			Connections: rapid.IntRange(1, 6).Draw(t, "connections"),
			Leaving:     rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
			Up:          rapid.IntRange(0, 4).Draw(t, "down") > 0,
		})
	}
	model.start(t, model.queue.SetServers(model.limits, model.now))
}

func (model *queueModel) check(t *rapid.T) {
	for id, item := range model.waiting {
		if _, free := model.queue.mostFree(item.Servers, 0); free && item.Deadline > model.now {
			t.Fatalf("item %d waits although an eligible slot is free", id)
		}
	}
}

func TestFastPathDoesNotAllocate(t *testing.T) {
	queue := New()
	queue.SetServers(up(3, 3, 3), 0)
	queue.Acquire(item(1, "a", 7), 0)
	qt.Assert(t, testing.AllocsPerRun(1000, func() {
		queue.Acquire(item(2, "a", 7), 0)
		queue.Release(queue.Acquire(item(2, "a", 7), 0).Server, "a", 0)
		queue.Release(1, "a", 0)
	}), qt.Equals, 0.0)
}

func BenchmarkAcquireAndRelease(b *testing.B) {
	queue := New()
	queue.SetServers(up(3, 3, 3), 0)
	b.ReportAllocs()
	now := spool.Instant(0)
	for b.Loop() {
		now += 1000
		answer := queue.Acquire(item(1, "a", 7), now)
		queue.Release(answer.Server, "a", now)
	}
}
