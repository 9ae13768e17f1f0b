package terms

import (
	"slices"

	"corianderspool.example/spool/internal/wire"
	"corianderspool.example/spool/pkg/spool"
)

// maxHistory bounds the terms that a record remembers.
const maxHistory = 32

// Lost tells whether what the token has seen did not survive a later term, or whether that can't be told any more.
func Lost(history []*wire.TermStart, token spool.SessionToken) bool {
	for _, start := range history {
		if spool.Term(start.Term) > token.Term && token.Position > spool.Position(start.Start) {
			return true
		}
	}
	return len(history) >= maxHistory && token.Term < spool.Term(history[0].Term)
}

// historyOf returns the starts of the opened terms up to the record's own.
func historyOf(record *wire.TermRecord) []*wire.TermStart {
	if record == nil {
		return nil
	}
	if !record.Opened {
		return record.History
	}
	return extend(record.History, record.Term, record.Start)
}

// extend adds a term's start unless it is there, and forgets the oldest beyond maxHistory.
func extend(history []*wire.TermStart, term, start uint64) []*wire.TermStart {
	for _, known := range history {
		if known.Term == term && known.Start == start {
			return history
		}
	}
	longer := append(slices.Clone(history), &wire.TermStart{Term: term, Start: start})
	return longer[max(0, len(longer)-maxHistory):]
}

// branch adds the position beyond which a server of an older lineage lacks what later terms wrote.
func branch(history []*wire.TermStart, lineage lineage, term uint64) []*wire.TermStart {
	bound := uint64(lineage.position)
	missing := lineage.orphan
	for _, start := range history {
		if spool.Term(start.Term) > lineage.term {
			missing = true
			bound = min(bound, start.Start)
		}
	}
	if !missing {
		return history
	}
	return extend(history, term, bound)
}
