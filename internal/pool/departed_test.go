package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestServerThatIsBackHasBeenLeavingSinceBefore guards against new work for a leaving server beyond its drain time: its entry lapses
// while it is silent, and is back as leaving.
func TestServerThatIsBackHasBeenLeavingSinceBefore(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9, pool.WithDrain(3100*time.Millisecond)) // new work for 0.1 s
	retired := func() bool {
		for _, server := range fixture.pool.View("g1").Servers {
			if server.Server == "b" {
				return server.Retired
			}
		}
		return false
	}
	leaving := fixture.registration("b")
	leaving.Mode = spool.ServerLeaving
	fixture.pool.SetServer(leaving)
	c.Assert(retired(), qt.IsFalse)
	time.Sleep(150 * time.Millisecond)
	c.Assert(retired(), qt.IsTrue)
	fixture.pool.RemoveServer("b")
	fixture.pool.SetServer(leaving)
	c.Assert(retired(), qt.IsTrue)
	fixture.pool.RemoveServer("b")
	fixture.pool.SetServer(fixture.registration("b"))
	c.Assert(retired(), qt.IsFalse)
}
