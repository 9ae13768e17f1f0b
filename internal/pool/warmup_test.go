package pool_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// countedTokens are tokens that a test hands out; they implement pool.WarmupTokens.
type countedTokens struct {
	mutex    sync.Mutex
	left     int
	lifetime time.Duration
	asked    pool.WarmupServer // in the newest look for a token
}

// Available reports whether there is a token.
func (tokens *countedTokens) Available(server pool.WarmupServer, _ spool.Instant) bool {
	tokens.mutex.Lock()
	defer tokens.mutex.Unlock()
	tokens.asked = server
	return tokens.left > 0
}

// Take takes a token.
func (tokens *countedTokens) Take(_ spool.Server, now spool.Instant) (spool.Instant, bool) {
	tokens.mutex.Lock()
	defer tokens.mutex.Unlock()
	if tokens.left == 0 {
		return 0, false
	}
	tokens.left--
	return now.Add(tokens.lifetime), true
}

func (tokens *countedTokens) add(count int) {
	tokens.mutex.Lock()
	defer tokens.mutex.Unlock()
	tokens.left += count
}

// newColdFixture returns a pool whose servers just started and warm up for a minute.
func newColdFixture(t *testing.T, tokens *countedTokens, cold ...spool.Server) *fixture {
	fixture := newFixture(t, dial, 9, pool.WithWarmupTokens(tokens))
	fixture.pool.SetLimits(map[spool.Group]spool.GroupLimits{
		"g1": {Connections: 9, SyncReplicas: 1, Warmup: time.Minute, WarmupPerSecond: 5},
	})
	for _, server := range cold {
		registration := fixture.registration(server)
		registration.StartMillis = time.Now().UnixMilli()
		fixture.pool.SetServer(registration)
	}
	return fixture
}

// TestColdServerNeedsATokenForEachStatement guards against more requests to a server that warms up than all proxies may send: a
// connection is granted only with a token, one token serves one statement, and an expired token serves none.
func TestColdServerNeedsATokenForEachStatement(t *testing.T) {
	c := qt.New(t)
	tokens := &countedTokens{lifetime: time.Minute}
	fixture := newColdFixture(t, tokens, "a")
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal, qt.IsNotNil)
	c.Assert(tokens.asked, qt.Equals, pool.WarmupServer{Server: "a", Domain: "d", PerSecond: 5})

	tokens.add(1)
	conn := fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	now, soon := clock.Real{}.Now(), time.Now().Add(30*time.Millisecond)
	await := func(deadline time.Time) error {
		_, err := fixture.pool.AwaitWarmup(conn, now, deadline)
		return err
	}
	c.Assert(await(soon), qt.IsNil)
	c.Assert(await(soon), qt.ErrorIs, pool.ErrWarmingUp)
	tokens.add(1)
	c.Assert(await(soon), qt.IsNil)
	fixture.pool.Release(conn)

	tokens.lifetime = 0 // as of a VM that was suspended between the grant and the statement
	tokens.add(1)
	conn = fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	c.Assert(await(time.Now()), qt.ErrorIs, pool.ErrWarmingUp)
	fixture.pool.Release(conn)
}

// TestColdReplicaIsTheLastChoice guards against reads that wait for a cold replica while another server has room, and against a
// group that serves nothing once all of its servers are cold.
func TestColdReplicaIsTheLastChoice(t *testing.T) {
	c := qt.New(t)
	tokens := &countedTokens{lifetime: time.Minute, left: 100}
	fixture := newColdFixture(t, tokens, "b", "c")
	for range 3 {
		conn := fixture.mustAcquire(pool.Request{Team: "red"})
		c.Assert(conn.Server(), qt.Equals, spool.Server("a"))
		defer fixture.pool.Release(conn)
	}
	c.Assert(tokens.left, qt.Equals, 100)
	conn := fixture.mustAcquire(pool.Request{Team: "red", Avoid: []spool.Server{"a"}})
	c.Assert(conn.Server(), qt.Not(qt.Equals), spool.Server("a"))
	c.Assert(tokens.left, qt.Equals, 99)
	fixture.pool.Release(conn)
}

// TestReportedWarmupCounts guards against full load on a server that became cold without a restart and says so.
func TestReportedWarmupCounts(t *testing.T) {
	c := qt.New(t)
	fixture := newColdFixture(t, &countedTokens{})
	fixture.pool.Release(fixture.mustAcquire(pool.Request{Team: "red", Primary: true}))
	registration := fixture.registration("a")
	registration.Warmup = time.Minute
	fixture.pool.SetServer(registration)
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true})
	c.Assert(refusal, qt.IsNotNil)
}
