package lend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

// TestUnknownVerbEndsOnlyTheLoan guards against a borrower's command that ends the lender's process, since no server takes a
// command with an unknown verb.
func TestUnknownVerbEndsOnlyTheLoan(t *testing.T) {
	for _, verb := range []spool.Verb{-1, spool.VerbUnknown, spool.VerbResume + 1} {
		fixture := newFixture(t)
		borrower := fixture.borrower()
		conn := acquire(t, borrower, nil)
		qt.Assert(t, string(conn.Lender()), qt.Equals, "lender")
		qt.Assert(t, conn.Send(spool.Command{ID: "id", Verb: verb}), qt.IsNil)
		_, err := conn.Receive(time.Now().Add(timeout))
		qt.Assert(t, err, qt.IsNotNil)
		conn.MarkBroken()
		borrower.Release(conn)
		exchange(t, acquire(t, borrower, nil), spool.Command{ID: "id", Verb: spool.VerbRead, Text: "item"})
	}
}
