package mirror_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/fake/kvsrv"
	"corianderspool.example/spool/internal/mirror"
	"corianderspool.example/spool/internal/sock"
	"corianderspool.example/spool/pkg/spool"
	"corianderspool.example/spool/platform"
)

const kind = "things"

// recorder is an observer that records what is reported to it.
type recorder struct {
	mutex   sync.Mutex
	bodies  map[string]string
	deleted []string
	reached []bool
}

func (recorder *recorder) ObjectChanged(object spool.Object) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.bodies[object.Name] = string(object.Body)
}

func (recorder *recorder) ObjectDeleted(name string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	delete(recorder.bodies, name)
	recorder.deleted = append(recorder.deleted, name)
}

func (recorder *recorder) ContentsChanged(spool.Version) {}

func (recorder *recorder) StoreReachable(reached bool, _ error) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.reached = append(recorder.reached, reached)
}

func (recorder *recorder) body(name string) string {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.bodies[name]
}

func startMirror(t *testing.T) (*kvsrv.Server, *mirror.Mirror, *recorder) {
	server := kvsrv.New(nil)
	t.Cleanup(server.Close)
	client := platform.NewClient(server.Address(), server.Address(), sock.Dialer(time.Second))
	recorder := &recorder{bodies: map[string]string{}}
	watcher := mirror.New(client, clock.Real{}, kind, recorder)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	server.Write(kind, "one", 1)
	go watcher.Run(ctx)
	eventually(t, func() bool { return recorder.body("one") == "1" })
	return server, watcher, recorder
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestWatchAppliesChanges(t *testing.T) {
	server, _, recorder := startMirror(t)
	server.Write(kind, "one", 2)
	server.Write(kind, "two", 3)
	eventually(t, func() bool { return recorder.body("one") == "2" && recorder.body("two") == "3" })
	server.Remove(kind, "one")
	eventually(t, func() bool { return recorder.body("one") == "" })
}

func TestRelistsWhenHistoryIsCompacted(t *testing.T) {
	server, _, recorder := startMirror(t)
	server.SetFaults(kvsrv.Faults{DropEvents: true})
	server.Write(kind, "one", 2)
	server.Compact()
	server.SetFaults(kvsrv.Faults{})
	server.Write("others", "x", 1) // ends the wait of the watch, whose history is compacted
	eventually(t, func() bool { return recorder.body("one") == "2" })
}

// TestNotifyVersionEndsUnresponsiveWatch has a watch that receives nothing: only the version read by another proxy reveals
// the change.
func TestNotifyVersionEndsUnresponsiveWatch(t *testing.T) {
	server, watcher, recorder := startMirror(t)
	server.SetFaults(kvsrv.Faults{DropEvents: true})
	server.Write(kind, "one", 2)
	server.Compact()
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, recorder.body("one"), qt.Equals, "1")
	watcher.NotifyVersion(1_000_000)
	eventually(t, func() bool { return recorder.body("one") == "2" })
}

// TestExpiredEntriesAreRetainedDuringGracePeriod deletes objects during an outage, as entries of servers expire.
func TestExpiredEntriesAreRetainedDuringGracePeriod(t *testing.T) {
	c := qt.New(t)
	server, watcher, recorder := startMirror(t)
	server.Write(kind, "two", 1)
	eventually(t, func() bool { return recorder.body("two") == "1" })
	server.SetFaults(kvsrv.Faults{Status: http.StatusServiceUnavailable, DropEvents: true})
	watcher.NotifyVersion(1_000_000) // ends the watch that still waits
	eventually(t, func() bool {
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		return len(recorder.reached) == 1 && !recorder.reached[0]
	})
	server.Remove(kind, "one")
	server.Remove(kind, "two")
	server.SetFaults(kvsrv.Faults{})
	eventually(t, func() bool {
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		return len(recorder.reached) == 2 && recorder.reached[1]
	})
	time.Sleep(500 * time.Millisecond)
	c.Assert(recorder.body("one"), qt.Equals, "1")
	server.Write(kind, "one", 1)
	eventually(t, func() bool { return recorder.body("two") == "" })
	c.Assert(recorder.body("one"), qt.Equals, "1")
	c.Assert(recorder.deleted, qt.DeepEquals, []string{"two"})
}
