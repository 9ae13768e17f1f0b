package front_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

var keyWithdrawn = &spool.Refusal{
	Verdict: spool.VerdictNotRun, Code: spool.CodeNotAllowed, Message: "the key was withdrawn",
}

func TestDrainFinishesTransactions(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	idle, busy, running := harness.connect(), harness.connect(), harness.connect()
	tx, err := busy.Begin(ctx)
	harness.Assert(err, qt.IsNil)
	answered := make(chan error, 1)
	go func() {
		_, err := running.Exec(ctx, "SLEEP 100")
		answered <- err
	}()
	harness.eventually(func() bool { return harness.dispatcher.Executors() == 2 })
	drained := make(chan error, 1)
	go func() { drained <- harness.front.Drain(ctx) }()
	harness.Assert(pgError(idle.PgConn().WaitForNotification(ctx)).Code, qt.Equals, spool.CodeShutdown)
	harness.Assert(<-answered, qt.IsNil)
	_, err = tx.Exec(ctx, "PUT a b")
	harness.Assert(err, qt.IsNil)
	harness.Assert(tx.Commit(ctx), qt.IsNil)
	harness.Assert(<-drained, qt.IsNil)
	harness.Assert(harness.server.Log(), qt.HasLen, 1)
	_, err = busy.Exec(ctx, "GET a")
	harness.Assert(err, qt.IsNotNil)
}

func TestDrainClosesSessionsAtDeadline(t *testing.T) {
	harness := newHarness(t)
	client := harness.connect()
	_, err := client.Begin(harness.context())
	harness.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	harness.Assert(harness.front.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	harness.Assert(pgError(client.PgConn().WaitForNotification(harness.context())).Code, qt.Equals, spool.CodeShutdown)
	harness.eventually(func() bool { return harness.dispatcher.Executors() == 0 })
}

func TestImmediateSessionEndCancelsRunningStatement(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	idle, client := harness.connect(), harness.connect()
	failed := make(chan error, 1)
	go func() {
		_, err := client.Exec(ctx, "SLEEP 60000")
		failed <- err
	}()
	harness.eventually(func() bool { return harness.server.Activity().Executing == 1 })
	harness.dispatcher.End(spool.SessionEnd{AtOnce: true, Refusal: keyWithdrawn})
	harness.Assert(pgError(<-failed).Code, qt.Equals, spool.CodeNotAllowed)
	harness.Assert(pgError(idle.PgConn().WaitForNotification(ctx)).Code, qt.Equals, spool.CodeNotAllowed)
	harness.eventually(func() bool { return harness.server.Activity().Executing == 0 && harness.dispatcher.Executors() == 0 })
	harness.Assert(harness.dispatcher.Idle(), qt.Equals, 0)
}

func TestSessionEndWaitsForTransaction(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client := harness.connect()
	tx, err := client.Begin(ctx)
	harness.Assert(err, qt.IsNil)
	harness.dispatcher.End(spool.SessionEnd{Refusal: keyWithdrawn})
	_, err = tx.Exec(ctx, "PUT a b")
	harness.Assert(err, qt.IsNil)
	harness.Assert(tx.Commit(ctx), qt.IsNil)
	harness.Assert(pgError(client.PgConn().WaitForNotification(ctx)).Code, qt.Equals, spool.CodeNotAllowed)
}

func TestCancelRequest(t *testing.T) {
	harness := newHarness(t)
	ctx := harness.context()
	client, other := harness.connect(), harness.connect()
	failed := make(chan error, 1)
	go func() {
		_, err := client.Exec(ctx, "SLEEP 60000")
		failed <- err
	}()
	harness.eventually(func() bool { return harness.server.Activity().Executing == 1 })
	harness.Assert(other.PgConn().CancelRequest(ctx), qt.IsNil)
	harness.Assert(client.PgConn().CancelRequest(ctx), qt.IsNil)
	harness.Assert(pgError(<-failed).Code, qt.Equals, spool.CodeDeadlineExpired)
	_, err := client.Exec(ctx, "PUT a b")
	harness.Assert(err, qt.IsNil)
}
