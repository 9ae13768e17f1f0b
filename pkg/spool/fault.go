package spool

import (
	"slices"
	"strings"
)

// Fault is one validation error of a document.
type Fault struct {
	Path   string // location in the document such as Teams[2].RatePerSecond; empty for the document as a whole
	Reason string
}

// String returns the fault as path and reason.
func (fault Fault) String() string {
	if fault.Path == "" {
		return fault.Reason
	}
	return fault.Path + ": " + fault.Reason
}

// Faults lists all validation errors of a document.
type Faults []Fault

// Error returns one line for each fault.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault.
func (faults *Faults) Add(path, reason string) {
	*faults = append(*faults, Fault{Path: path, Reason: reason})
}

// Sorted returns the faults ordered by path.
func (faults Faults) Sorted() Faults {
	return slices.SortedStableFunc(slices.Values(faults), func(left, right Fault) int {
		return strings.Compare(left.Path, right.Path)
	})
}
