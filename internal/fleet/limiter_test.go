package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/quota"
	"corianderspool.example/spool/internal/core/roster"
	"corianderspool.example/spool/pkg/spool"
)

// TestFirstOperationIsNotRefusedBeforeAnIssuerAnswers has a proxy of a large fleet that issues none of the team's tokens. The
// first tokens arrive only after quota.WaitTimeout, as while the proxies of a new fleet connect to each other.
func TestFirstOperationIsNotRefusedBeforeAnIssuerAnswers(t *testing.T) {
	c := qt.New(t)
	var fleet []quota.Proxy
	for index := range roster.MeshLimit + 3 {
		fleet = append(fleet, quota.Proxy{VM: spool.VM(fmt.Sprintf("vm%d", index)), Region: "r1"})
	}
	issuer := quota.Issuers("red", quota.Candidates(fleet))[0].VM
	self := fleet[0].VM
	if self == issuer {
		self = fleet[1].VM
	}
	limiter := newLimiter(self, clock.Real{})
	limiter.setFleet(fleet)
	limiter.setTeams(map[spool.Team]spool.TeamSpec{"red": {Name: "red", RatePerSecond: 100, Burst: 100}})
	time.AfterFunc(3*quota.WaitTimeout, func() { limiter.addTokens(issuer, "red", 1) })
	c.Assert(limiter.Admit(context.Background(), "red", 0) == nil, qt.IsTrue)
	began := time.Now()
	c.Assert(limiter.Admit(context.Background(), "red", 0).Code, qt.Equals, spool.CodeRateExceeded)
	c.Assert(time.Since(began) < 6*quota.WaitTimeout, qt.IsTrue)
}
