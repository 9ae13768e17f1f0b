package front_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"corianderspool.example/spool/pkg/spool"
)

var withdrawn = &spool.Refusal{Verdict: spool.VerdictNotRun, Code: spool.CodeNotAllowed, Message: "the key was withdrawn"}

func TestDrainFinishesTransactions(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	idle, busy, running := bed.connect(), bed.connect(), bed.connect()
	tx, err := busy.Begin(ctx)
	bed.Assert(err, qt.IsNil)
	answered := make(chan error, 1)
	go func() {
		_, err := running.Exec(ctx, "SLEEP 100")
		answered <- err
	}()
	bed.eventually(func() bool { return bed.gate.Executors() == 2 })
	drained := make(chan error, 1)
	go func() { drained <- bed.front.Drain(ctx) }()
	bed.Assert(failure(idle.PgConn().WaitForNotification(ctx)).Code, qt.Equals, spool.CodeShutdown)
	bed.Assert(<-answered, qt.IsNil)
	_, err = tx.Exec(ctx, "PUT a b")
	bed.Assert(err, qt.IsNil)
	bed.Assert(tx.Commit(ctx), qt.IsNil)
	bed.Assert(<-drained, qt.IsNil)
	bed.Assert(bed.server.Log(), qt.HasLen, 1)
	_, err = busy.Exec(ctx, "GET a")
	bed.Assert(err, qt.IsNotNil)
}

func TestDrainCutsWhenItsTimeIsUp(t *testing.T) {
	bed := newBed(t)
	client := bed.connect()
	_, err := client.Begin(bed.context())
	bed.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	bed.Assert(bed.front.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	bed.Assert(failure(client.PgConn().WaitForNotification(bed.context())).Code, qt.Equals, spool.CodeShutdown)
	bed.eventually(func() bool { return bed.gate.Executors() == 0 })
}

func TestEndingAtOnceCutsARunningStatement(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	idle, client := bed.connect(), bed.connect()
	failed := make(chan error, 1)
	go func() {
		_, err := client.Exec(ctx, "SLEEP 60000")
		failed <- err
	}()
	bed.eventually(func() bool { return bed.server.Seen().Executing == 1 })
	bed.gate.End(spool.SessionEnd{AtOnce: true, Refusal: withdrawn})
	bed.Assert(failure(<-failed).Code, qt.Equals, spool.CodeNotAllowed)
	bed.Assert(failure(idle.PgConn().WaitForNotification(ctx)).Code, qt.Equals, spool.CodeNotAllowed)
	bed.eventually(func() bool { return bed.server.Seen().Executing == 0 && bed.gate.Executors() == 0 })
	bed.Assert(bed.gate.Idle(), qt.Equals, 0)
}

func TestEndingAfterTheTransaction(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect()
	tx, err := client.Begin(ctx)
	bed.Assert(err, qt.IsNil)
	bed.gate.End(spool.SessionEnd{Refusal: withdrawn})
	_, err = tx.Exec(ctx, "PUT a b")
	bed.Assert(err, qt.IsNil)
	bed.Assert(tx.Commit(ctx), qt.IsNil)
	bed.Assert(failure(client.PgConn().WaitForNotification(ctx)).Code, qt.Equals, spool.CodeNotAllowed)
}

func TestCancelRequest(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client, other := bed.connect(), bed.connect()
	failed := make(chan error, 1)
	go func() {
		_, err := client.Exec(ctx, "SLEEP 60000")
		failed <- err
	}()
	bed.eventually(func() bool { return bed.server.Seen().Executing == 1 })
	bed.Assert(other.PgConn().CancelRequest(ctx), qt.IsNil)
	bed.Assert(client.PgConn().CancelRequest(ctx), qt.IsNil)
	bed.Assert(failure(<-failed).Code, qt.Equals, spool.CodeDeadlineExpired)
	_, err := client.Exec(ctx, "PUT a b")
	bed.Assert(err, qt.IsNil)
}
