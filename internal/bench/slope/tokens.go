package slope

import (
	"math/rand/v2"
	"time"

	"corianderspool.example/spool/internal/core/share"
	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

const (
	tokenSpan   = 100 * time.Second
	tokenSeed   = 7
	ownerAnswer = time.Millisecond
)

// asker plays one team's callers on a proxy whose owner grants everything after a round trip.
type asker struct {
	client   *share.Client
	now      spool.Instant
	answers  []*wire.GrantAnswer // of the request under way
	answerAt spool.Instant
	requests int
}

// tokenRequests counts the requests for tokens while statements arrive at random over the span.
func tokenRequests(statements int) (float64, error) {
	random := rand.New(rand.NewPCG(tokenSeed, uint64(statements)))
	mean := tokenSpan.Seconds() / float64(statements)
	asker := &asker{client: share.NewClient(teamName(1), 1, 0)}
	next := spool.Instant(0)
	for id := uint64(1); ; id++ {
		next = next.Add(time.Duration(random.ExpFloat64() * mean * float64(time.Second)))
		if next >= spool.Instant(tokenSpan) {
			return float64(asker.requests) / tokenSpan.Seconds(), nil
		}
		asker.advance(next)
		asker.client.Ask(id, next.Add(time.Second), next)
		asker.step()
	}
}

// advance lets answers arrive and steps come due until an instant.
func (asker *asker) advance(until spool.Instant) {
	for {
		due := asker.client.Due()
		if len(asker.answers) > 0 {
			due = min(due, asker.answerAt)
		}
		if due >= until {
			asker.now = until
			return
		}
		asker.now = due
		if len(asker.answers) > 0 && due == asker.answerAt {
			asker.client.Receive(asker.answers[0], due)
			asker.answers = nil
		}
		asker.step()
	}
}

func (asker *asker) step() {
	request := asker.client.Step(asker.now).Request
	if request == nil {
		return
	}
	asker.requests++
	asker.answerAt = asker.now.Add(ownerAnswer)
	asker.answers = []*wire.GrantAnswer{{
		Team: request.Team, Sequence: request.Sequence, Grant: request.Sequence, Tokens: request.Want,
		LifeNanos: int64(300 * time.Millisecond),
	}}
}

// aSecond turns a number in the span into one in a second.
func aSecond(size int) float64 { return float64(size) / tokenSpan.Seconds() }
