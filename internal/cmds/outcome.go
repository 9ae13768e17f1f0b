package cmds

import (
	"errors"
	"fmt"

	"corianderspool.example/spool/internal/change"
	"corianderspool.example/spool/pkg/spool"
)

// outcome tells what became of an update.
type outcome string

const (
	outcomeAccepted  outcome = "Accepted"
	outcomeUnchanged outcome = "Unchanged"
	outcomeConflict  outcome = "Conflict"
	outcomeInvalid   outcome = "Invalid"
	outcomeUnknown   outcome = "Unknown"
	outcomeFailed    outcome = "Failed"
)

// update is the result of push and withdraw.
type update struct {
	Outcome outcome
	Partner spool.Partner
	Version spool.Version // accepted, or found in a conflict; zero if not known
	Reason  string
	Faults  spool.Faults
}

// failedUpdate tells what an error of change.Put means.
func failedUpdate(partner spool.Partner, err error) update {
	result := update{Outcome: outcomeFailed, Partner: partner, Reason: err.Error()}
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
func (program *Program) report(result update, asJSON bool) Code {
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

func (program *Program) printUpdate(result update) {
	switch result.Outcome {
	case outcomeAccepted:
		program.printf("accepted: manifest of %s has version %d\n", result.Partner, result.Version)
	case outcomeUnchanged:
		program.printf("unchanged: manifest of %s has version %d\n", result.Partner, result.Version)
	case outcomeConflict:
		program.printf("conflict: manifest of %s has version %d\n", result.Partner, result.Version)
	}
	if result.Reason != "" {
		_, _ = fmt.Fprintf(program.errors, "%s: %s\n", name, result.Reason)
	}
	for _, fault := range result.Faults {
		_, _ = fmt.Fprintf(program.errors, "%s: %s\n", name, fault)
	}
}
