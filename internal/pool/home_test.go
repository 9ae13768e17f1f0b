package pool_test

import (
	"context"
	"errors"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestTunnelFromBeforeHomeRegionsIsNotReused opens a connection through a proxy of any region and then sets home regions: neither
// an open transaction nor a later request continues on it.
func TestTunnelFromBeforeHomeRegionsIsNotReused(t *testing.T) {
	c := qt.New(t)
	direct := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }
	tunnel := func(ctx context.Context, _ spool.Group, _ spool.Server, address string) (net.Conn, error) {
		return dial(ctx, address)
	}
	fixture := newFixture(t, direct, 9, pool.WithTunnelDialer(tunnel))
	idle, busy := fixture.mustAcquire(pool.Request{Team: "red", Primary: true}), fixture.mustAcquire(pool.Request{Team: "red", Primary: true})
	fixture.pool.Release(idle)
	config := &spool.FleetConfig{TeamRegions: map[spool.Team][]string{"red": {"r"}}}
	homes, _ := place.NewHomeRegions(config, map[spool.Domain]string{"d": "r"})
	home := homes.For("any", "red")
	c.Assert(home.Allows("d"), qt.IsTrue)
	fixture.pool.SetHomes(nil, true)
	c.Assert(busy.Within(home), qt.IsFalse)
	next := fixture.mustAcquire(pool.Request{Team: "red", Primary: true, Allowed: home.Allows})
	c.Assert(next, qt.Not(qt.Equals), idle)
	c.Assert(next.Within(home), qt.IsTrue)
	fixture.pool.Release(busy)
	fixture.pool.Release(next)
	again := fixture.mustAcquire(pool.Request{Team: "red", Primary: true, Allowed: home.Allows})
	c.Assert(again, qt.Equals, next)
	fixture.pool.Release(again)
}

// TestPrimaryOutsideHomeRegionsCannotServe checks the code and the retry time of the refusal, which comes without a wait.
func TestPrimaryOutsideHomeRegionsCannotServe(t *testing.T) {
	c := qt.New(t)
	fixture := newPlacedFixture(t)
	_, refusal := fixture.acquire(pool.Request{Team: "red", Primary: true, Allowed: func(domain spool.Domain) bool { return domain == "zb" }})
	c.Assert(refusal.Code, qt.Equals, spool.CodeNoPrimary)
	c.Assert(refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(refusal.RetryAfter, qt.Equals, place.EvacuationRetry)
}
