package share

import (
	"time"

	"corianderspool.example/spool/internal/wire"
)

// Verdict says what became of a request that asked for admission.
type Verdict int

// The verdicts on a request.
const (
	Admitted Verdict = iota // the request has its token
	Queued                  // a later Step admits or refuses the request
	Refused                 // the request gets no token before its deadline
)

// Answer is the immediate answer to a request; RetryAfter is set when Verdict is Refused.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
}

// Refusal names a queued request that gets no token before its deadline.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
}

// Outcome lists what a step of a client decided; its slices are valid until the next step.
type Outcome struct {
	Admitted []uint64
	Refused  []Refusal
	Request  *wire.GrantRequest // to send to the team's owner, or nil
}
