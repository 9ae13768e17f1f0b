package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/pkg/spool"
)

// One-way delays between proxies, with the time that a busy proxy takes to handle a message.
const (
	regionDelay = 4 * time.Millisecond
	remoteDelay = 25 * time.Millisecond
)

// overloadedFleet plays a team's operations at the proxies of a large fleet on virtual time, with the delays of messages between
// proxies, as internal/fleet does.
type overloadedFleet struct {
	*issuerFleet
	timers   *clock.Simulated
	waiting  []int
	admitted []spool.Instant
	refused  int
}

func (overloadedFleet *overloadedFleet) after(delay time.Duration, action func()) {
	overloadedFleet.timers.After(delay, spool.TimerFunc(func(spool.Instant) { action() }))
}

func (overloadedFleet *overloadedFleet) delay(from, to int) time.Duration {
	if overloadedFleet.fleet[from].Region == overloadedFleet.fleet[to].Region {
		return regionDelay
	}
	return remoteDelay
}

// operation lets an operation wait for a token for WaitTimeout.
func (overloadedFleet *overloadedFleet) operation(proxy int) {
	began := overloadedFleet.timers.Now()
	var attempt func(retry bool)
	attempt = func(retry bool) {
		now := overloadedFleet.timers.Now()
		decision := overloadedFleet.bucketSets[proxy].Admit(team, retry, overloadedFleet.waiting[proxy], now)
		overloadedFleet.request(proxy, decision)
		switch {
		case decision.Admitted:
			overloadedFleet.bucketSets[proxy].Settle(team, true, now)
			overloadedFleet.admitted = append(overloadedFleet.admitted, now)
		case decision.Exhausted || now.Sub(began) >= WaitTimeout:
			overloadedFleet.refused++
		default:
			overloadedFleet.waiting[proxy]++
			overloadedFleet.after(min(decision.Wait, 5*time.Millisecond)+time.Millisecond, func() {
				overloadedFleet.waiting[proxy]--
				attempt(true)
			})
		}
	}
	attempt(false)
}

// request asks the issuer of the region, or all issuers if the last request failed.
func (overloadedFleet *overloadedFleet) request(proxy int, decision Decision) {
	if decision.TokensToRequest == 0 {
		return
	}
	for _, issuer := range overloadedFleet.issuers {
		sameRegion := overloadedFleet.fleet[issuer].Region == overloadedFleet.fleet[proxy].Region
		if issuer != proxy && (sameRegion || decision.LastRequestFailed) {
			overloadedFleet.after(overloadedFleet.delay(proxy, issuer), func() { overloadedFleet.answer(issuer, proxy, decision.TokensToRequest) })
		}
	}
}

// answer sends the tokens that an issuer can give.
func (overloadedFleet *overloadedFleet) answer(issuer, to int, want float64) {
	now := overloadedFleet.timers.Now()
	issued := 0.0
	if overloadedFleet.share(to, team) > 0 {
		issued = overloadedFleet.bucketSets[issuer].TakeSurplus(team, want, now)
	} else {
		var request Decision
		issued, request = overloadedFleet.bucketSets[issuer].Issue(team, want, now)
		overloadedFleet.request(issuer, request)
	}
	if issued > 0 {
		overloadedFleet.transfer(issuer, to, issued)
	}
}

// transfer moves tokens to a proxy, which returns to their issuer those that it has not used after ReturnDelay.
func (overloadedFleet *overloadedFleet) transfer(issuer, to int, tokens float64) {
	overloadedFleet.after(overloadedFleet.delay(issuer, to), func() {
		overloadedFleet.bucketSets[to].Credit(team, tokens, overloadedFleet.timers.Now())
		overloadedFleet.after(ReturnDelay, func() {
			now := overloadedFleet.timers.Now()
			unused := overloadedFleet.bucketSets[to].TakeUnused(team, overloadedFleet.waiting[to], now)
			overloadedFleet.after(overloadedFleet.delay(to, issuer), func() {
				overloadedFleet.bucketSets[issuer].CreditReturned(team, unused, overloadedFleet.timers.Now())
			})
		})
	})
}

// TestOverloadedTeamGetsItsRate guards against refusals within a team's rate while it asks for more: callers sit at 76 proxies,
// so that each proxy needs a token now and then, and tokens that arrive too late or twice at one proxy must not be lost to the
// others. Without the return of unused tokens about a third of the rate is lost.
func TestOverloadedTeamGetsItsRate(t *testing.T) {
	for _, load := range []struct {
		name   string
		factor float64 // of the rate
		least  float64 // share of what is within the rate that has to be admitted
	}{{"BelowRate", 0.7, 0.97}, {"AtRate", 1, 0.9}, {"TwiceTheRate", 2, 0.95}, {"SevenTimesTheRate", 7, 0.95}} {
		t.Run(load.name, func(t *testing.T) {
			const size, rate, burst, seconds = 76, 20.0, 20.0, 20
			fleet := &overloadedFleet{
				issuerFleet: newIssuerFleet(start, size, rate, burst), timers: &clock.Simulated{}, waiting: make([]int, size),
			}
			fleet.timers.Advance(time.Duration(start))
			random := rand.New(rand.NewPCG(3, 4))
			for i := range int(load.factor * rate * seconds) {
				at := time.Duration(float64(i) / (load.factor * rate) * float64(time.Second))
				fleet.after(at+2*time.Second, func() { fleet.operation(random.IntN(size)) })
			}
			fleet.timers.Advance((seconds + 3) * time.Second)
			within := min(load.factor, 1) * rate * seconds
			got := float64(len(fleet.admitted)) / within
			t.Logf("admitted %d, refused %d, %.3f of what is within the rate", len(fleet.admitted), fleet.refused, got)
			qt.Assert(t, got >= load.least, qt.IsTrue, qt.Commentf("%.3f", got))
			first := 0
			for i, at := range fleet.admitted {
				for at.Sub(fleet.admitted[first]) > window {
					first++
				}
				qt.Assert(t, float64(i-first+1) <= rate*window.Seconds()+burst, qt.IsTrue, qt.Commentf("%d at %v", i-first+1, at))
			}
		})
	}
}
