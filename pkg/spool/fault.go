package spool

import (
	"slices"
	"strings"
)

// Fault is one reason why a document is refused.
type Fault struct {
	Path   string // place in the document such as Teams[2].RatePerSecond; empty for the document as a whole
	Reason string
}

// String returns the path and the reason.
func (fault Fault) String() string {
	if fault.Path == "" {
		return fault.Reason
	}
	return fault.Path + ": " + fault.Reason
}

// Faults lists every reason why a document is refused.
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

// Sorted returns the faults in the order of their paths.
func (faults Faults) Sorted() Faults {
	return slices.SortedStableFunc(slices.Values(faults), func(left, right Fault) int {
		return strings.Compare(left.Path, right.Path)
	})
}
