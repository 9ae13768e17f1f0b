package front_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"corianderspool.example/spool/internal/fake/regsrv"
	"corianderspool.example/spool/internal/front"
	"corianderspool.example/spool/pkg/spool"
)

func TestLeakingStatementsAreRefused(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect()
	for _, text := range []string{
		"LISTEN a", "/* a */ listen a", "SELECT 1; LISTEN a", "PREPARE a AS GET b", "EXECUTE a", "DEALLOCATE ALL",
		"DISCARD ALL", "DECLARE a CURSOR WITH HOLD FOR GET b", "CREATE TEMP TABLE a ()", "CREATE LOCAL TEMPORARY TABLE a ()",
		"SELECT a INTO TEMP b", "SELECT pg_advisory_lock(1)", "SELECT pg_catalog.\"pg_try_advisory_lock\"(1)",
		"SET search_path = a", "SET SESSION AUTHORIZATION a", "RESET ALL", "SELECT set_config('a', 'b', false)",
		"COPY a FROM STDIN", "copy a to stdout",
	} {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			_, err := client.Exec(ctx, text, mode)
			bed.Assert(failure(err).Code, qt.Equals, spool.CodeUnsupported, qt.Commentf(text))
			bed.Assert(failure(err).Detail, qt.Equals, "The statement was not run.")
		}
	}
	bed.Assert(bed.server.Seen().Statements, qt.HasLen, 0)
	tx, err := client.Begin(ctx)
	bed.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "SET LOCAL search_path = a")
	bed.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "PUT a b")
	bed.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "LISTEN a")
	bed.Assert(failure(err).Code, qt.Equals, spool.CodeUnsupported)
	_, err = tx.Exec(ctx, "PUT c d")
	bed.Assert(failure(err).Code, qt.Equals, "25P02")
	bed.Assert(tx.Commit(ctx), qt.ErrorIs, pgx.ErrTxCommitRollback)
	bed.Assert(bed.server.Log(), qt.HasLen, 0)
	_, err = client.Exec(ctx, "PUT a b")
	bed.Assert(err, qt.IsNil)
}

func TestSessionParameters(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect("application_name", "counter 3", "corianderspool.max_age", "1s")
	for _, example := range []struct{ set, name, value string }{
		{"SELECT 1", "application_name", "counter 3"},
		{"SELECT 1", "corianderspool.max_age", "1s"},
		{"SET application_name TO 'it''s'", "application_name", "it's"},
		{"set session corianderspool.max_age = '250ms'", "corianderspool.max_age", "250ms"},
		{"SET corianderspool.token = 'kyushu/3/4'", "corianderspool.token", "kyushu/3/4"},
		{"RESET corianderspool.token", "corianderspool.token", ""},
	} {
		for _, mode := range modes {
			_, err := client.Exec(ctx, example.set, mode)
			bed.Assert(err, qt.IsNil, qt.Commentf(example.set))
			var value string
			bed.Assert(client.QueryRow(ctx, "SHOW "+example.name, mode).Scan(&value), qt.IsNil)
			bed.Assert(value, qt.Equals, example.value)
		}
	}
	_, err := client.Exec(ctx, "SET corianderspool.max_age = 'soon'")
	bed.Assert(failure(err).Code, qt.Equals, "22023")
	for _, executed := range bed.server.Seen().Statements {
		bed.Assert(executed.Verb, qt.Equals, "SELECT")
	}
}

func TestRefusalsOfTheGate(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect()
	bed.gate.Refuse = func(spool.Work) *spool.Refusal {
		return &spool.Refusal{
			Verdict: spool.VerdictNotRun, Code: spool.CodeRateExceeded, Message: "over the rate", RetryAfter: 350 * time.Millisecond,
		}
	}
	for _, mode := range modes {
		_, err := client.Exec(ctx, "PUT $1 b", mode, "a")
		bed.Assert(failure(err).Code, qt.Equals, spool.CodeRateExceeded)
		bed.Assert(failure(err).Detail, qt.Equals, "The statement was not run.")
		bed.Assert(failure(err).Hint, qt.Equals, "Retry after 350ms.")
		bed.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
	}
}

// severed loses its server on one statement.
type severed struct {
	spool.Executor
	bed  *bed
	text string
}

// Exchange cuts the server's connections after the statement was sent.
func (severed severed) Exchange(ctx context.Context, cycle *spool.Cycle, sink spool.Sink) (spool.Result, error) {
	if strings.Contains(string(cycle.Messages), severed.text) {
		cut := true
		time.AfterFunc(20*time.Millisecond, func() { severed.bed.server.Control(regsrv.Control{CutClients: &cut}) })
	}
	return severed.Executor.Exchange(ctx, cycle, sink)
}

func TestServerLostInATransaction(t *testing.T) {
	bed := newBed(t)
	ctx := bed.context()
	client := bed.connect()
	bed.gate.Wrap = func(executor spool.Executor) spool.Executor { return severed{executor, bed, "SLEEP"} }
	tx, err := client.Begin(ctx)
	bed.Assert(err, qt.IsNil)
	_, err = tx.Exec(ctx, "SLEEP 60000")
	bed.Assert(failure(err).Code, qt.Equals, "40000")
	bed.Assert(failure(err).Detail, qt.Equals, "The statement was not run.")
	bed.Assert(client.PgConn().TxStatus(), qt.Equals, byte('E'))
	_, err = tx.Exec(ctx, "PUT $1 b", "a")
	bed.Assert(failure(err).Code, qt.Equals, "25P02")
	bed.Assert(tx.Rollback(ctx), qt.IsNil)
	_, err = client.Exec(ctx, "PUT a b")
	bed.Assert(failure(err).Detail, qt.Equals, "The statement was not run.")
	bed.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
}

func TestServerLostOutsideOfATransaction(t *testing.T) {
	for _, mode := range modes {
		bed := newBed(t)
		ctx := bed.context()
		client := bed.connect()
		bed.gate.Wrap = func(executor spool.Executor) spool.Executor { return severed{executor, bed, "SLEEP"} }
		if mode == pgx.QueryExecModeCacheStatement {
			bed.gate.Wrap = func(executor spool.Executor) spool.Executor { return severed{executor, bed, "\x00\x0560000"} }
		}
		_, err := client.Exec(ctx, "SLEEP $1", mode, "60000")
		bed.Assert(failure(err).Code, qt.Equals, spool.CodeOutcomeUnknown, qt.Commentf(mode.String()))
		bed.Assert(failure(err).Detail, qt.Matches, "The outcome is not known: .*")
		bed.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
	}
}

func TestCommitWhoseAnswerIsLost(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		bed := newBed(t)
		ctx := bed.context()
		client := bed.connect()
		bed.gate.Wrap = func(executor spool.Executor) spool.Executor { return severed{executor, bed, "commit"} }
		_, err := client.Exec(ctx, "begin", mode)
		bed.Assert(err, qt.IsNil)
		frozen := spool.Duration(100 * time.Millisecond)
		bed.server.Control(regsrv.Control{FrozenFor: &frozen})
		_, err = client.Exec(ctx, "commit", mode)
		bed.Assert(failure(err).Code, qt.Equals, spool.CodeOutcomeUnknown)
		bed.Assert(client.PgConn().TxStatus(), qt.Equals, byte('I'))
	}
}

func TestOversizedMessagesAndCycles(t *testing.T) {
	bed := newBed(t, front.WithMessageSize(1<<20), front.WithCycleSize(2<<20))
	ctx := bed.context()
	client, other := bed.connect(), bed.connect()
	large := strings.Repeat("x", 900<<10)
	batch := &pgx.Batch{}
	for range 3 {
		batch.Queue("APPEND $1 $2", "k", large)
	}
	_, err := client.Exec(ctx, "GET $1", pgx.QueryExecModeExec, "k")
	bed.Assert(err, qt.IsNil)
	bed.Assert(failure(client.SendBatch(ctx, batch).Close()).Code, qt.Equals, "54000")
	_, err = client.Exec(ctx, "APPEND $1 $2", "k", large)
	bed.Assert(err, qt.IsNil)
	_, err = client.Exec(ctx, "APPEND $1 $2", "k", large+large)
	bed.Assert(failure(err).Code, qt.Equals, "54000")
	bed.Assert(client.IsClosed(), qt.IsTrue)
	bed.Assert(other.Ping(ctx), qt.IsNil)
	bed.Assert(bed.server.Log(), qt.HasLen, 1)
}

func TestIdleTransactionEnds(t *testing.T) {
	bed := newBed(t, front.WithTransactionTimeout(20*time.Millisecond))
	client := bed.connect()
	_, err := client.Begin(bed.context())
	bed.Assert(err, qt.IsNil)
	bed.Assert(failure(client.PgConn().WaitForNotification(bed.context())).Code, qt.Equals, "25P03")
	bed.eventually(func() bool { return bed.gate.Executors() == 0 })
}
