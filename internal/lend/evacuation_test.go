package lend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/clock"
	"corianderspool.example/spool/internal/core/place"
	"corianderspool.example/spool/pkg/spool"
)

func (fixture *fixture) evacuate(ago time.Duration) {
	var record place.EvacuationRecord
	record.Apply(1, []spool.Domain{"d"}, clock.Real{}.Now().Add(-ago))
	fixture.lenderPool.SetEvacuation(record.Current, nil)
}

// TestLenderRefusesCommandsOfUnawareBorrowers evacuates the failure domain of a lent connection at the lender only: the command
// is refused as not run, and nothing reaches the server.
func TestLenderRefusesCommandsOfUnawareBorrowers(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	conn := acquire(t, fixture.borrower(), nil)
	exchange(t, conn, read)
	arrived := fixture.group.Server("a").LastArrival()
	fixture.evacuate(0)
	answer := exchange(t, conn, read)
	c.Assert(answer.Refusal == nil, qt.IsFalse)
	c.Assert(answer.Refusal.Verdict, qt.Equals, spool.VerdictNotRun)
	c.Assert(answer.Refusal.Code, qt.Equals, spool.CodeNoSlot)
	c.Assert(fixture.group.Server("a").LastArrival(), qt.Equals, arrived)
	fixture.eventually(func() bool { return fixture.group.Server("a").OpenConnections() == 0 })
}

// TestLenderEndsTransactionsOfUnawareBorrowers evacuates the failure domain while a borrower is in a transaction: it continues
// for TransactionTime, and an idle one ends without a statement of the borrower.
func TestLenderEndsTransactionsOfUnawareBorrowers(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(t)
	borrower := fixture.borrower()
	busy, idle := acquire(t, borrower, nil), acquire(t, borrower, nil)
	begin := spool.Command{Verb: spool.VerbBegin}
	exchange(t, busy, begin)
	exchange(t, idle, begin)
	fixture.evacuate(0)
	answer := exchange(t, busy, read)
	c.Assert(answer.Refusal == nil, qt.IsTrue)
	fixture.lender.EndEvacuatedTransactions()
	c.Assert(fixture.lender.ActiveLoans(), qt.Equals, 2)
	fixture.evacuate(place.TransactionTime)
	arrived := fixture.group.Server("a").LastArrival()
	answer = exchange(t, busy, read)
	c.Assert(answer.Refusal.Code, qt.Equals, spool.CodeRolledBack)
	began := time.Now()
	fixture.lender.EndEvacuatedTransactions()
	fixture.eventually(func() bool { return fixture.group.Server("a").OpenConnections() == 0 })
	c.Assert(time.Since(began) < timeout, qt.IsTrue, qt.Commentf("%v", time.Since(began))) // the loan's own timeout is longer
	c.Assert(fixture.group.Server("a").LastArrival(), qt.Equals, arrived)
}
