package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/platform"
)

// pair is a copy that watches the store and one that follows it.
type pair struct {
	*mirror.Mirror
	follower *mirror.Mirror
	told     *recorder
	leads    atomic.Bool // the follower watches the store itself
}

func startPair(t *testing.T) (*pair, func(name string, value any), func(name string)) {
	server, leader, _ := start(t)
	pair := &pair{Mirror: leader, told: &recorder{bodies: map[string]string{}}}
	client := platform.NewClient(server.Address(), server.Address(), sock.Dialer(time.Second))
	pair.follower = mirror.New(client, clock.Real{}, kind, pair.told, mirror.WithLeaderCheck(pair.leads.Load))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go pair.follower.Run(ctx)
	eventually(t, func() bool { return pair.told.body("one") == "1" })
	write := func(name string, value any) { server.Write(kind, name, value) }
	return pair, write, func(name string) { server.Remove(kind, name) }
}

// advance waits until the watching copy shows a newer version and returns what the follower lacks.
func (pair *pair) advance(t *testing.T) mirror.Delta {
	t.Helper()
	eventually(t, func() bool { return pair.Version() > pair.follower.Version() })
	return pair.DeltaSince(pair.follower.Version())
}

func TestFollowerTakesOverChanges(t *testing.T) {
	c := qt.New(t)
	pair, write, remove := startPair(t)
	write("two", 2)
	pair.follower.Apply(pair.advance(t))
	c.Assert(pair.told.body("two"), qt.Equals, "2")
	remove("one")
	delta := pair.advance(t)
	c.Assert(delta.Objects, qt.HasLen, 0)
	pair.follower.Apply(delta)
	c.Assert(pair.told.deleted, qt.DeepEquals, []string{"one"})
	pair.follower.Apply(mirror.Delta{After: delta.After, Version: delta.Version})
	c.Assert(pair.told.body("two"), qt.Equals, "2")
}

// TestDeltaThatDoesNotReachOnIsIgnored gets changes from behind this copy's version on.
func TestDeltaThatDoesNotReachOnIsIgnored(t *testing.T) {
	c := qt.New(t)
	pair, write, _ := startPair(t)
	write("two", 2)
	delta := pair.advance(t)
	delta.After = delta.Version + 1
	delta.Version += 2
	pair.follower.Apply(delta)
	c.Assert(pair.told.body("two"), qt.Equals, "")
}

// TestFollowerKeepsEntriesAfterAnOutage gets a copy whose store failed of late: what is missing may have lapsed.
func TestFollowerKeepsEntriesAfterAnOutage(t *testing.T) {
	c := qt.New(t)
	pair, _, remove := startPair(t)
	remove("one")
	delta := pair.advance(t)
	delta.SinceFailure = time.Second
	pair.follower.Apply(delta)
	c.Assert(pair.told.body("one"), qt.Equals, "1")
	eventually(t, func() bool { return pair.told.body("one") == "" })
}

// TestFollowerWatchesWhenItLeads lets the follower lead: it catches up with the store itself.
func TestFollowerWatchesWhenItLeads(t *testing.T) {
	pair, write, _ := startPair(t)
	write("two", 2)
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, pair.told.body("two"), qt.Equals, "")
	pair.leads.Store(true)
	eventually(t, func() bool { return pair.told.body("two") == "2" })
}
