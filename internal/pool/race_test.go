package pool_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/pool"
)

// TestRegistrationChangesWhileConnectionsAreUsed guards against connections that read their server's registration while it is
// replaced: a torn read of a name would crash the process. It needs the race detector.
func TestRegistrationChangesWhileConnectionsAreUsed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t, dial, 9)
	registration := fixture.registration("a")
	var changing sync.WaitGroup
	stop := make(chan struct{})
	changing.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				fixture.pool.SetServer(registration)
			}
		}
	})
	for range 20 {
		c.Check(fixture.pool.ProbePrimary("g1", "a", "red"), qt.IsNil)
		conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
		c.Check(string(conn.Server()), qt.Equals, "a")
		fixture.pool.Release(conn)
	}
	close(stop)
	changing.Wait()
}
