package slope

import (
	"math/rand/v2"
	"time"

	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tokenDuration  = 100 * time.Second
	tokenSeed      = 7
	ownerRoundTrip = time.Millisecond
)

// tokenRequester simulates a team's callers on a proxy; the owner grants all requested tokens after a round trip.
type tokenRequester struct {
	client   *share.Client
	now      spool.Instant
	answers  []*wire.GrantAnswer // to the request in flight; at most one
	answerAt spool.Instant
	requests int
}

// tokenRequests returns the token requests per second while statements arrive as a Poisson process over tokenDuration.
func tokenRequests(statements int) (float64, error) {
	random := rand.New(rand.NewPCG(tokenSeed, uint64(statements)))
	mean := tokenDuration.Seconds() / float64(statements)
	tokenRequester := &tokenRequester{client: share.NewClient(teamName(1), 1, 0)}
	next := spool.Instant(0)
	for id := uint64(1); ; id++ {
		next = next.Add(time.Duration(random.ExpFloat64() * mean * float64(time.Second)))
		if next >= spool.Instant(tokenDuration) {
			return float64(tokenRequester.requests) / tokenDuration.Seconds(), nil
		}
		tokenRequester.advance(next)
		tokenRequester.client.Acquire(id, next.Add(time.Second), next)
		tokenRequester.step()
	}
}

// advance delivers the answers and runs the steps that are due before an instant.
func (tokenRequester *tokenRequester) advance(until spool.Instant) {
	for {
		due := tokenRequester.client.NextStep()
		if len(tokenRequester.answers) > 0 {
			due = min(due, tokenRequester.answerAt)
		}
		if due >= until {
			tokenRequester.now = until
			return
		}
		tokenRequester.now = due
		if len(tokenRequester.answers) > 0 && due == tokenRequester.answerAt {
			tokenRequester.client.Receive(tokenRequester.answers[0], due)
			tokenRequester.answers = nil
		}
		tokenRequester.step()
	}
}

func (tokenRequester *tokenRequester) step() {
	request := tokenRequester.client.Step(tokenRequester.now).Request
	if request == nil {
		return
	}
	tokenRequester.requests++
	tokenRequester.answerAt = tokenRequester.now.Add(ownerRoundTrip)
	tokenRequester.answers = []*wire.GrantAnswer{{
		Team: request.Team, Sequence: request.Sequence, Grant: request.Sequence, Tokens: request.Want,
		LifeNanos: int64(300 * time.Millisecond),
	}}
}

// statementsPerSecond converts a number of statements in tokenDuration to a rate per second.
func statementsPerSecond(size int) float64 { return float64(size) / tokenDuration.Seconds() }
