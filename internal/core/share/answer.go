package share

import (
	"time"

	"corianderspool.example/spool/internal/wire"
)

// Verdict is the result of a request for admission.
type Verdict int

// Verdicts on a request.
const (
	Admitted Verdict = iota // a token was spent on the request
	Queued                  // a later Step admits or refuses the request
	Refused                 // no token is expected before the request's deadline
)

// Answer is the immediate answer to a request for admission; RetryAfter is set if Verdict is Refused.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Refusal identifies a queued request that was refused because no token is expected before its deadline.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Outcome is the result of a client's step; its slices are valid until the next step.
type Outcome struct {
	Admitted []uint64
	Refused  []Refusal
	Request  *wire.GrantRequest // request to send to the team's owner, or nil
}
