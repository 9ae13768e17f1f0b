package terms

import "corianderspool.example/spool/pkg/spool"

// Fence decides which writes may be acknowledged; the caller replaces it as a whole after each event.
type Fence struct {
	Until spool.Instant // end of the group's lease, from lease.Holder.Until
	Term  spool.Term    // the open term or zero, from Leader.OpenTerm
}

// Allows reports whether an answer received on a connection of the term may be acknowledged now.
func (fence Fence) Allows(term spool.Term, now spool.Instant) bool {
	return term != 0 && term == fence.Term && now < fence.Until
}
