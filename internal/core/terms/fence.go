package terms

import "corianderspool.example/spool/pkg/spool"

// Fence is the acknowledgement rule at one moment; the shell swaps it whole after each event.
type Fence struct {
	Until spool.Instant // end of the group's lease, by lease.Holder.Until
	Term  spool.Term    // the open term, zero if none is, by Leader.OpenTerm
}

// Allows tells whether an answer of a connection of the term may be acknowledged now.
func (fence Fence) Allows(term spool.Term, now spool.Instant) bool {
	return term != 0 && term == fence.Term && now < fence.Until
}
