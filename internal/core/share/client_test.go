package share

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const second = spool.Instant(time.Second)

func TestOwnerGrantsOnceForRepeatedRequest(t *testing.T) {
	c := qt.New(t)
	spec := spool.TeamSpec{Name: "a", RatePerSecond: 10, Burst: 10}
	owner := NewOwner(spec, 0)
	request := &wire.GrantRequest{Team: "a", Sequence: 2, Want: 3}
	first := owner.Grant("vm1", request, 10*second)
	c.Assert(first.GetTokens(), qt.Equals, 3.0)
	c.Assert(owner.Grant("vm1", request, 10*second), qt.Equals, first)
	c.Assert(owner.bucket.outstanding, qt.Equals, 3.0)
	c.Assert(owner.Grant("vm1", &wire.GrantRequest{Team: "a", Sequence: 1, Want: 3}, 10*second), qt.IsNil)
	c.Assert(owner.Grant("vm1", &wire.GrantRequest{Team: "b", Sequence: 3}, 10*second).GetNotOwner(), qt.IsTrue)
}

func TestOwnerCountsAReportOnce(t *testing.T) {
	c := qt.New(t)
	owner := NewOwner(spool.TeamSpec{Name: "a", RatePerSecond: 10, Burst: 10}, 0)
	owner.Grant("vm1", &wire.GrantRequest{Team: "a", Sequence: 1, Want: 5}, 10*second)
	c.Assert(owner.bucket.outstanding, qt.Equals, 5.0)
	returned := []*wire.GrantUse{{Grant: 1, Unused: 2}, {Grant: 1, Unused: 5}, {Grant: 9, Unused: 5}}
	owner.Grant("vm2", &wire.GrantRequest{Team: "a", Sequence: 1, Returned: returned[2:]}, 10*second)
	owner.Grant("vm1", &wire.GrantRequest{Team: "a", Sequence: 2, Returned: returned}, 10*second)
	c.Assert(owner.bucket.outstanding, qt.Equals, 0.0)
	c.Assert(owner.bucket.level, qt.Equals, 7.0)
}

func TestOwnerServesEqualSharesOfDemand(t *testing.T) {
	c := qt.New(t)
	owner := NewOwner(spool.TeamSpec{Name: "a", RatePerSecond: 105, Burst: 105}, 0)
	vms := []spool.VM{"vm1", "vm2", "vm3"}
	perRound := map[spool.VM]float64{"vm1": 0.1, "vm2": 1, "vm3": 1}
	asked := map[spool.VM]float64{}
	got := map[spool.VM]float64{}
	const rounds = 1000
	for round := range uint64(rounds) {
		now := 10*second + spool.Instant(round)*10*1e6
		for _, vm := range vms {
			asked[vm] += perRound[vm]
			request := &wire.GrantRequest{
				Team:     "a",
				Sequence: round + 1,
				Want:     math.Floor(asked[vm] - got[vm]),
				Returned: []*wire.GrantUse{{Grant: round}},
			}
			got[vm] += owner.Grant(vm, request, now).GetTokens()
		}
	}
	for _, vm := range vms {
		share := got[vm] / asked[vm]
		c.Assert(share > 0.45 && share < 0.65, qt.IsTrue, qt.Commentf("%v of %v", got, asked))
	}
}

func TestOwnerResizes(t *testing.T) {
	c := qt.New(t)
	owner := NewOwner(spool.TeamSpec{Name: "a", RatePerSecond: 100, Burst: 100}, 0)
	owner.Resize(spool.TeamSpec{Name: "a", RatePerSecond: 10, Burst: 10}, 10*second)
	answer := owner.Grant("vm1", &wire.GrantRequest{Team: "a", Sequence: 1, Want: 100}, 10*second)
	c.Assert(answer.GetTokens(), qt.Equals, 5.0)
	c.Assert(owner.bucket.level, qt.Equals, 5.0)
	owner.Resize(spool.TeamSpec{Name: "a", RatePerSecond: 1000, Burst: 100}, 10*second)
	answer = owner.Grant("vm1", &wire.GrantRequest{Team: "a", Sequence: 2, Want: 100}, 11*second)
	c.Assert(answer.GetTokens(), qt.Equals, 50.0)
}

func TestClientRefusesEarlyWithRetryAfter(t *testing.T) {
	c := qt.New(t)
	client := NewClient("a", 1, 0)
	c.Assert(client.Acquire(1, second, 0).Verdict, qt.Equals, Queued)
	request := client.Step(0).Request
	c.Assert(request.GetWant(), qt.Equals, 1.0)
	client.Receive(&wire.GrantAnswer{Team: "a", Sequence: request.GetSequence(), RetryNanos: int64(5 * time.Second)}, 1e6)
	outcome := client.Step(1e6)
	c.Assert(outcome.Refused, qt.HasLen, 1)
	c.Assert(outcome.Refused[0].RetryAfter > 1400*time.Millisecond, qt.IsTrue)
	answer := client.Acquire(2, second, 1e6)
	c.Assert(answer.Verdict, qt.Equals, Refused)
	c.Assert(answer.RetryAfter > 1400*time.Millisecond, qt.IsTrue)
	c.Assert(client.Acquire(3, 9*second, 1e6).Verdict, qt.Equals, Queued)
	c.Assert(client.Cancel(3), qt.IsTrue)
	c.Assert(client.Cancel(3), qt.IsFalse)
}

func TestGrantsExpireWhileClientIsPaused(t *testing.T) {
	c := qt.New(t)
	client := NewClient("a", 1, 0)
	client.Acquire(1, second, 0)
	request := client.Step(0).Request
	answer := &wire.GrantAnswer{
		Sequence: request.GetSequence(), Grant: request.GetSequence(), Tokens: 9, LifeNanos: int64(defaultGrantLifetime),
	}
	client.Receive(answer, 1e6)
	client.Receive(answer, 1e6)
	c.Assert(client.Step(1e6).Admitted, qt.DeepEquals, []uint64{1})
	c.Assert(client.limiter.tokens, qt.Equals, 8)
	c.Assert(client.Acquire(2, 2*second, 2e6).Verdict, qt.Equals, Admitted)
	c.Assert(client.Acquire(3, 2*second, spool.Instant(defaultGrantLifetime)).Verdict, qt.Equals, Queued)
}

func TestAdmissionDoesNotAllocate(t *testing.T) {
	client := newClientWithTokens()
	qt.Assert(t, testing.AllocsPerRun(1000, func() { client.Acquire(1, second, 1) }), qt.Equals, 0.0)
}

func BenchmarkAdmission(b *testing.B) {
	client := newClientWithTokens()
	b.ReportAllocs()
	for b.Loop() {
		client.Acquire(1, second, 1)
	}
}

func newClientWithTokens() *Client {
	client := NewClient("a", 1, 0)
	client.limiter.add(heldGrant{grant: 1, remaining: 1 << 40, endsAt: second})
	return client
}
