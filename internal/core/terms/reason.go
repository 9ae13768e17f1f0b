package terms

// Reason says why a leader took a step.
type Reason string

// Reasons of a leader's steps.
const (
	ReasonLeaseGained   Reason = "lease gained"
	ReasonLeaseLost     Reason = "lease lost"
	ReasonSuspected     Reason = "primary suspected"
	ReasonReturned      Reason = "primary answers again"
	ReasonConfirmed     Reason = "majority does not reach the primary"
	ReasonContradicted  Reason = "majority reaches the primary"
	ReasonReplaced      Reason = "a newer term is recorded"
	ReasonNoCandidate   Reason = "no server can be promoted"
	ReasonPromoting     Reason = "promotion ordered"
	ReasonCandidateGone Reason = "candidate failed"
	ReasonOpened        Reason = "term opened"
	ReasonWriteUnknown  Reason = "outcome of the conditional update unknown"
	ReasonMisplaced     Reason = "primary answers in another role or term"
	ReasonLeaving       Reason = "primary leaves"
	ReasonRaised        Reason = "later term seen that was never opened"
	ReasonPlatformGone  Reason = "platform out of reach"
)
