package quota

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestInvalidNumbersOfTokens guards against a message with a number of tokens that is no positive number, after which a bucket
// would admit every operation or none.
func TestInvalidNumbersOfTokens(t *testing.T) {
	for _, tokens := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e9, 0} {
		c := qt.New(t)
		bucketSet := newTestBucketSet(start, 2, 10, 10)
		now := start.Add(time.Minute)
		bucketSet.TakeSurplus(team, Request{Tokens: tokens}, now)
		bucketSet.Issue("vm", team, Request{Tokens: tokens}, now)
		bucketSet.Issue("vm", team, Request{Tokens: 1, UrgentTokens: math.NaN()}, now)
		bucketSet.CreditReturned(team, tokens, now)
		bucketSet.Credit(team, tokens, now)
		admitted := 0
		for admitted < 100 && bucketSet.Admit(team, Operation{}, now).Admitted {
			admitted++
		}
		c.Assert(admitted, qt.Equals, 5, qt.Commentf("after %v tokens", tokens))
	}
}
