package demo

import (
	"slices"

	"corianderspool.example/spool/internal/fake/regsrv"
)

// Violations counts differences between a server's log and the outcomes that callers received.
type Violations struct {
	Lost          int // acknowledged writes that are not in the log
	Duplicate     int // writes that were applied more than once
	RefusedButRan int // writes that were refused as not run or not sent, but were applied
	Torn          int // transactions that were applied partially or not atomically
}

// CheckWrites compares the writes with the log of the final primary.
func CheckWrites(writes []Write, log []regsrv.AppliedWrite) Violations {
	byKey := map[string][]regsrv.AppliedWrite{}
	for _, applied := range log {
		byKey[applied.Key] = append(byKey[applied.Key], applied)
	}
	violations := Violations{}
	for _, write := range writes {
		violations.add(write, byKey[write.Key])
	}
	return violations
}

func (violations *Violations) add(write Write, applied []regsrv.AppliedWrite) {
	switch {
	case write.Outcome == OutcomeDuplicateKey || len(applied) > len(write.Values):
		violations.Duplicate++
	case len(applied) == 0 && write.Outcome == OutcomeAnswered:
		violations.Lost++
	case len(applied) > 0 && (write.Outcome == OutcomeNotRun || write.Outcome == OutcomeUnsent):
		violations.RefusedButRan++
	case len(applied) > 0 && !appliedAtomically(write, applied):
		violations.Torn++
	}
}

// appliedAtomically reports whether all values of the write were applied in one transaction.
func appliedAtomically(write Write, applied []regsrv.AppliedWrite) bool {
	values := []string{}
	for _, one := range applied {
		values = append(values, one.Value)
		if one.Position != applied[0].Position {
			return false
		}
	}
	return slices.Equal(values, write.Values)
}
