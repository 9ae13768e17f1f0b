package spool

import "time"

// Verdict is the outcome of a request.
type Verdict int

// Verdicts of requests.
const (
	VerdictAnswered Verdict = iota // the server's own answer was forwarded completely
	VerdictNotRun                  // no server ran the request
	VerdictUnknown                 // a server may have run the request
	VerdictLost                    // data that the session has seen was lost in a failover
)

// Refusal is the reason why a request was not answered by a server.
type Refusal struct {
	Verdict    Verdict
	Code       string // SQLSTATE
	Message    string
	RetryAfter time.Duration // zero if a retry does not help
	Cause      error         // for the log only, since it may contain addresses and accounts
}

// Refuse returns a refusal with VerdictNotRun.
func Refuse(code, message string) *Refusal {
	return &Refusal{Verdict: VerdictNotRun, Code: code, Message: message}
}

// WithRetryAfter sets the time after which a retry may succeed.
func (refusal *Refusal) WithRetryAfter(retryAfter time.Duration) *Refusal {
	refusal.RetryAfter = retryAfter
	return refusal
}

// WithCause sets the cause, which is only logged.
func (refusal *Refusal) WithCause(cause error) *Refusal {
	refusal.Cause = cause
	return refusal
}

// Error returns the refusal's message.
func (refusal *Refusal) Error() string { return refusal.Message }

// Unwrap returns the cause.
func (refusal *Refusal) Unwrap() error { return refusal.Cause }

// SQLSTATE codes of refusals.
const (
	CodeOutcomeUnknown  = "08007" // transaction_resolution_unknown
	CodeRateExceeded    = "53400" // configuration_limit_exceeded
	CodeNoSlot          = "53300" // too_many_connections
	CodeNoPrimary       = "57P03" // cannot_connect_now
	CodeShutdown        = "57P01" // admin_shutdown
	CodeReadOnly        = "25006" // read_only_sql_transaction
	CodeLostWrite       = "40003" // statement_completion_unknown
	CodeUnsupported     = "0A000" // feature_not_supported
	CodeBadKey          = "28P01" // invalid_password
	CodeNotAllowed      = "28000" // invalid_authorization_specification
	CodeUnknownRoute    = "3D000" // invalid_catalog_name
	CodeProtocol        = "08P01" // protocol_violation
	CodeDeadlineExpired = "57014" // query_canceled
	CodeRolledBack      = "40000" // transaction_rollback
	CodeLagging         = "40001" // serialization_failure: the replica lacks a position
	CodeNoStatement     = "26000" // invalid_sql_statement_name
	CodeServerFailed    = "58000" // system_error: the server ran the statement and failed
	CodeWrongServer     = "08004" // sqlserver_rejected_establishment_of_sqlconnection
)
