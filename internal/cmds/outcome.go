package cmds

import (
	"errors"
	"fmt"

	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/pkg/spool"
)

// outcome is the outcome of an update.
type outcome string

const (
	outcomeAccepted  outcome = "Accepted"
	outcomeUnchanged outcome = "Unchanged"
	outcomeConflict  outcome = "Conflict"
	outcomeInvalid   outcome = "Invalid"
	outcomeUnknown   outcome = "Unknown"
	outcomeFailed    outcome = "Failed"
)

// updateResult is the result of push and withdraw.
type updateResult struct {
	Outcome outcome
	Partner spool.Partner
	Version spool.Version // the accepted version, or the stored one in a conflict; zero if unknown
	Reason  string
	Faults  spool.Faults
}

// failureResult maps an error of change.Put to a result.
func failureResult(partner spool.Partner, err error) updateResult {
	result := updateResult{Outcome: outcomeFailed, Partner: partner, Reason: err.Error()}
	var conflict *change.ConflictError
	var unknown *change.UnknownOutcomeError
	switch {
	case errors.As(err, &conflict):
		result.Outcome = outcomeConflict
		result.Version = conflict.StoredVersion
	case errors.As(err, &unknown):
		result.Outcome = outcomeUnknown
	}
	return result
}

// report prints the result and returns its exit code.
func (program *Program) report(result updateResult, asJSON bool) Code {
	if asJSON {
		program.printJSON(result)
	} else {
		program.printUpdate(result)
	}
	switch result.Outcome {
	case outcomeAccepted, outcomeUnchanged:
		if result.Reason != "" {
			return Failure
		}
		return Success
	case outcomeConflict:
		return Conflict
	case outcomeInvalid:
		return Invalid
	default:
		return Failure
	}
}

func (program *Program) printUpdate(result updateResult) {
	switch result.Outcome {
	case outcomeAccepted:
		program.printf("accepted: manifest of %s has version %d\n", result.Partner, result.Version)
	case outcomeUnchanged:
		program.printf("unchanged: manifest of %s has version %d\n", result.Partner, result.Version)
	case outcomeConflict:
		program.printf("conflict: manifest of %s has version %d\n", result.Partner, result.Version)
	}
	if result.Reason != "" {
		_, _ = fmt.Fprintf(program.errorOutput, "%s: %s\n", programName, result.Reason)
	}
	for _, fault := range result.Faults {
		_, _ = fmt.Fprintf(program.errorOutput, "%s: %s\n", programName, fault)
	}
}
