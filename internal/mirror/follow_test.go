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

// mirrorPair is a mirror that watches the store and a follower that gets its deltas.
type mirrorPair struct {
	*mirror.Mirror
	follower *mirror.Mirror
	observed *recorder
	isLeader atomic.Bool // the follower watches the store itself
}

func startPair(t *testing.T) (*mirrorPair, func(name string, value any), func(name string)) {
	server, leader, _ := startMirror(t)
	pair := &mirrorPair{Mirror: leader, observed: &recorder{bodies: map[string]string{}}}
	client := platform.NewClient(server.Address(), server.Address(), sock.Dialer(time.Second))
	pair.follower = mirror.New(client, clock.Real{}, kind, pair.observed, mirror.WithLeaderCheck(pair.isLeader.Load))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go pair.follower.Run(ctx)
	eventually(t, func() bool { return pair.observed.body("one") == "1" })
	write := func(name string, value any) { server.Write(kind, name, value) }
	return pair, write, func(name string) { server.Remove(kind, name) }
}

// nextDelta waits until the watching mirror has a newer version and returns the changes that the follower lacks.
func (pair *mirrorPair) nextDelta(t *testing.T) mirror.Delta {
	t.Helper()
	eventually(t, func() bool { return pair.Version() > pair.follower.Version() })
	return pair.DeltaSince(pair.follower.Version())
}

func TestFollowerAppliesDeltas(t *testing.T) {
	c := qt.New(t)
	pair, write, remove := startPair(t)
	write("two", 2)
	pair.follower.Apply(pair.nextDelta(t))
	c.Assert(pair.observed.body("two"), qt.Equals, "2")
	remove("one")
	delta := pair.nextDelta(t)
	c.Assert(delta.Objects, qt.HasLen, 0)
	pair.follower.Apply(delta)
	c.Assert(pair.observed.deleted, qt.DeepEquals, []string{"one"})
	pair.follower.Apply(mirror.Delta{After: delta.After, Version: delta.Version})
	c.Assert(pair.observed.body("two"), qt.Equals, "2")
}

// TestDeltaWithGapIsIgnored applies a delta that starts after the follower's version.
func TestDeltaWithGapIsIgnored(t *testing.T) {
	c := qt.New(t)
	pair, write, _ := startPair(t)
	write("two", 2)
	delta := pair.nextDelta(t)
	delta.After = delta.Version + 1
	delta.Version += 2
	pair.follower.Apply(delta)
	c.Assert(pair.observed.body("two"), qt.Equals, "")
}

// TestFollowerRetainsEntriesAfterOutage applies a delta from a mirror whose store failed recently: missing entries may
// have expired in the outage.
func TestFollowerRetainsEntriesAfterOutage(t *testing.T) {
	c := qt.New(t)
	pair, _, remove := startPair(t)
	remove("one")
	delta := pair.nextDelta(t)
	delta.SinceFailure = time.Second
	pair.follower.Apply(delta)
	c.Assert(pair.observed.body("one"), qt.Equals, "1")
	eventually(t, func() bool { return pair.observed.body("one") == "" })
}

// TestFollowerWatchesOnceLeader makes the follower the leader: it catches up by watching the store.
func TestFollowerWatchesOnceLeader(t *testing.T) {
	pair, write, _ := startPair(t)
	write("two", 2)
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, pair.observed.body("two"), qt.Equals, "")
	pair.isLeader.Store(true)
	eventually(t, func() bool { return pair.observed.body("two") == "2" })
}
