package mirror_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/fake/kvsrv"
)

// TestRefreshShowsAnEntryThatTheWatchMissed guards against a decision on an old copy: the watch receives nothing.
func TestRefreshShowsAnEntryThatTheWatchMissed(t *testing.T) {
	c := qt.New(t)
	server, watcher, recorder := startMirror(t)
	server.SetFaults(kvsrv.Faults{DropEvents: true})
	server.Write(kind, "new", 1)
	c.Assert(recorder.body("new"), qt.Equals, "")
	c.Assert(watcher.Refresh(context.Background()), qt.IsNil)
	c.Assert(recorder.body("new"), qt.Equals, "1")
	server.SetFaults(kvsrv.Faults{Status: 503})
	c.Assert(watcher.Refresh(context.Background()), qt.IsNotNil)
}
