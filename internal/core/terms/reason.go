package terms

// Reason is the cause of a leader's step.
type Reason string

// Reasons of a leader's steps.
const (
	ReasonLeaseGained         Reason = "lease gained"
	ReasonLeaseLost           Reason = "lease lost"
	ReasonPrimarySuspected    Reason = "primary suspected"
	ReasonPrimaryReturned     Reason = "primary answers again"
	ReasonFailureConfirmed    Reason = "majority does not reach the primary"
	ReasonSuspicionRefuted    Reason = "majority reaches the primary"
	ReasonNewerTerm           Reason = "a newer term is recorded"
	ReasonNoCandidate         Reason = "no server can be promoted"
	ReasonPromoting           Reason = "promotion ordered"
	ReasonCandidateFailed     Reason = "candidate failed"
	ReasonOpened              Reason = "term opened"
	ReasonWriteUnknown        Reason = "outcome of the conditional update unknown"
	ReasonPrimaryMismatch     Reason = "primary answers in another role or term"
	ReasonPrimaryLeaving      Reason = "primary leaves"
	ReasonUnopenedTerm        Reason = "later term seen that was never opened"
	ReasonPlatformUnreachable Reason = "platform out of reach"
)
