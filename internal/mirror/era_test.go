package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/platform"
)

// TestEntriesAreRetainedAcrossAFallBack guards against removing servers whose entries a fall-back lost: they stay until their
// writers had time to write them again, then those that stay missing are removed.
func TestEntriesAreRetainedAcrossAFallBack(t *testing.T) {
	c := qt.New(t)
	server, _, recorder := startMirror(t)
	server.SetEra(1)
	snapshot := server.Snapshot()
	server.Write(kind, "one", 2)
	server.Write(kind, "two", 2)
	server.Write(kind, "three", 2)
	eventually(t, func() bool { return recorder.body("three") == "2" })
	server.FallBack(snapshot)
	eventually(t, func() bool { return recorder.body("one") == "1" })
	c.Assert(recorder.body("two"), qt.Equals, "2")
	server.Write(kind, "two", 2)
	time.Sleep(mirror.ExpiryGracePeriod / 2)
	c.Assert(recorder.body("three"), qt.Equals, "2")
	eventually(t, func() bool { return recorder.body("three") == "" })
	c.Assert(recorder.body("two"), qt.Equals, "2")
}

// TestHangingWatchEndsWithTheEra guards against a watch that hangs across a fall-back: it ends once another call or a heartbeat
// announces the era.
func TestHangingWatchEndsWithTheEra(t *testing.T) {
	server, watcher, recorder := startMirror(t)
	server.SetEra(1)
	snapshot := server.Snapshot()
	server.Write(kind, "one", 2)
	eventually(t, func() bool { return recorder.body("one") == "2" })
	server.SetFaults(kvsrv.Faults{DropEvents: true})
	server.FallBack(snapshot)
	time.Sleep(300 * time.Millisecond) // until the watch hangs
	qt.Assert(t, recorder.body("one"), qt.Equals, "2")
	watcher.EraChanged()
	eventually(t, func() bool { return recorder.body("one") == "1" })
}

// TestFollowerAdoptsTheNewEra guards against a follower that stays at the copy of the old era: the versions of the new era are
// greater though their revisions are lower, and a late delta of the old era is ignored.
func TestFollowerAdoptsTheNewEra(t *testing.T) {
	c := qt.New(t)
	server, leader, _ := startMirror(t)
	server.SetEra(1)
	observed := &recorder{bodies: map[string]string{}}
	client := platform.NewClient(server.Address(), server.Address(), sock.Dialer(time.Second))
	var leads atomic.Bool
	follower := mirror.New(client, clock.Real{}, kind, observed, mirror.WithLeaderCheck(leads.Load))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go follower.Run(ctx)
	eventually(t, func() bool { return observed.body("one") == "1" })
	snapshot := server.Snapshot()
	server.Write(kind, "one", 2)
	server.Write(kind, "two", 2)
	eventually(t, func() bool { return leader.Version().Revision() > follower.Version().Revision() })
	late := leader.DeltaSince(follower.Version())
	follower.Apply(late)
	c.Assert(observed.body("one"), qt.Equals, "2")
	server.FallBack(snapshot)
	eventually(t, func() bool { return leader.Version().Era() == 2 })
	c.Assert(leader.Version().Revision() < follower.Version().Revision(), qt.IsTrue)
	follower.Apply(leader.DeltaSince(follower.Version()))
	c.Assert(observed.body("one"), qt.Equals, "1")
	c.Assert(observed.body("two"), qt.Equals, "2") // retained
	late.Version++
	follower.Apply(late)
	c.Assert(observed.body("one"), qt.Equals, "1")
	eventually(t, func() bool { return observed.body("two") == "" })
}
