package lease

import (
	"cmp"

	"corianderspool.example/spool/internal/wire"
)

// CompareRecords compares term records by term, then by whether the term is opened, then by version; nil is lowest.
func CompareRecords(left, right *wire.TermRecord) int {
	return cmp.Or(
		cmp.Compare(left.GetTerm(), right.GetTerm()),
		cmp.Compare(openedRank(left), openedRank(right)),
		cmp.Compare(left.GetVersion(), right.GetVersion()),
	)
}

// NewestRecord returns the newer of two term records in the order of CompareRecords.
func NewestRecord(left, right *wire.TermRecord) *wire.TermRecord {
	if CompareRecords(left, right) < 0 {
		return right
	}
	return left
}

func openedRank(record *wire.TermRecord) int {
	if record.GetOpened() {
		return 1
	}
	return 0
}
