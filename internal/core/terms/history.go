package terms

import (
	"slices"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// maxHistory limits the number of earlier terms in a record.
const maxHistory = 32

// WritesLost reports whether writes that the token covers did not survive a later term. It also reports true if the
// history no longer reaches back to the token's term.
func WritesLost(history []*wire.TermStart, token spool.SessionToken) bool {
	for _, start := range history {
		if spool.Term(start.Term) > token.Term && token.Position > spool.Position(start.Start) {
			return true
		}
	}
	return len(history) >= maxHistory && token.Term < spool.Term(history[0].Term)
}

// historyOf returns the starts of the opened terms up to and including the record's own.
func historyOf(record *wire.TermRecord) []*wire.TermStart {
	if record == nil {
		return nil
	}
	if !record.Opened {
		return record.History
	}
	return appendTermStart(record.History, record.Term, record.Start)
}

// appendTermStart adds a term's start unless it is present, and drops the oldest beyond maxHistory.
func appendTermStart(history []*wire.TermStart, term, start uint64) []*wire.TermStart {
	for _, known := range history {
		if known.Term == term && known.Start == start {
			return history
		}
	}
	longer := append(slices.Clone(history), &wire.TermStart{Term: term, Start: start})
	return longer[max(0, len(longer)-maxHistory):]
}

// addBranchPoint adds the start of a new term if its primary lacks writes of later opened terms or has writes of an
// unopened one. The start is the position up to which the primary's log agrees with the opened terms.
func addBranchPoint(history []*wire.TermStart, primary logPosition, term uint64) []*wire.TermStart {
	start := uint64(primary.position)
	branches := primary.unopened
	for _, later := range history {
		if spool.Term(later.Term) > primary.term {
			branches = true
			start = min(start, later.Start)
		}
	}
	if !branches {
		return history
	}
	return appendTermStart(history, term, start)
}
