package lend

import (
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/internal/pool"
	"corianderspool.example/spool/pkg/spool"
)

// TestTextThatFramesCannotCarry guards against answers that never reach the borrower because of a byte in a message of the
// server, and against commands that count as sent, with an unknown outcome, although nothing was.
func TestTextThatFramesCannotCarry(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	c.Cleanup(func() { _, _ = near.Close(), far.Close() })
	borrowedConn := &borrowedConn{stream: NewStream(near)}
	for _, command := range []spool.Command{{ID: "\xff"}, {Name: "\xff"}, {Text: "\xff"}} {
		c.Assert(errors.Is(borrowedConn.Send(command), pool.ErrUnsendable), qt.IsTrue)
	}
	lender := NewStream(far)
	written := make(chan error, 1)
	go func() {
		refusal := &spool.Refusal{Code: spool.CodeServerFailed, Verdict: spool.VerdictAnswered, Message: "near \xff"}
		written <- lender.Write(encodeAnswer(spool.Answer{Refusal: refusal, Digest: "\xff", State: spool.TxIdle}))
	}()
	answer, err := borrowedConn.Receive(time.Now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(<-written, qt.IsNil)
	c.Assert(answer.Refusal.Code, qt.Equals, spool.CodeServerFailed)
	c.Assert(answer.Refusal.Message, qt.Equals, "near ?")
}
