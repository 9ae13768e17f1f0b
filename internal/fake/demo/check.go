package demo

import (
	"slices"

	"corianderspool.example/spool/internal/fake/regsrv"
)

// Verdict is the comparison of a server's log with what the callers were told.
type Verdict struct {
	Lost      int // acknowledged writes that the log lacks
	Duplicate int // writes that ran more than once
	NotRunRan int // writes refused as not run that ran all the same
	Torn      int // transactions that ran in part
}

// Judge compares the log of the final primary with the writes.
func Judge(writes []Write, log []regsrv.Applied) Verdict {
	byKey := map[string][]regsrv.Applied{}
	for _, applied := range log {
		byKey[applied.Key] = append(byKey[applied.Key], applied)
	}
	found := Verdict{}
	for _, write := range writes {
		found.add(write, byKey[write.Key])
	}
	return found
}

func (verdict *Verdict) add(write Write, applied []regsrv.Applied) {
	switch {
	case write.Outcome == Duplicate || len(applied) > len(write.Values):
		verdict.Duplicate++
	case len(applied) == 0 && write.Outcome == Answered:
		verdict.Lost++
	case len(applied) > 0 && (write.Outcome == NotRun || write.Outcome == Unsent):
		verdict.NotRunRan++
	case len(applied) > 0 && !whole(write, applied):
		verdict.Torn++
	}
}

// whole tells if all values of the write were applied by one transaction.
func whole(write Write, applied []regsrv.Applied) bool {
	values := []string{}
	for _, one := range applied {
		values = append(values, one.Value)
		if one.Position != applied[0].Position {
			return false
		}
	}
	return slices.Equal(values, write.Values)
}
